package main

import (
	"context"
	"io"
	"log/slog"

	"github.com/alecthomas/kingpin/v2"

	"github.com/nutmegway/nutmegway/internal/base/telemetry"
	"github.com/nutmegway/nutmegway/internal/external/weightstore"
	"github.com/nutmegway/nutmegway/internal/standin/engine"
)

func addStandinEngineCommand(standin *kingpin.CmdClause) command {
	c := standin.Command("engine", "Run a stand-in for a model engine.")
	e := &engine.Engine{}
	var weights string
	c.Flag("enforce-fence", "Refuse orders with an outdated fencing token.").BoolVar(&e.EnforceFence)
	c.Flag("id", "ID of the engine in logs.").Default("engine").StringVar(&e.ID)
	c.Flag("listen", "Address to listen on.").Default("127.0.0.1:0").StringVar(&e.Address)
	c.Flag("load-lag", "Maximum age of a load report.").Default("500ms").DurationVar(&e.LoadLag)
	c.Flag("model", "Model that the engine serves.").StringVar(&e.Model)
	c.Flag("pause-on-swap", "Generate no tokens while a weight version is being loaded.").BoolVar(&e.PauseOnSwap)
	c.Flag("slots", "Number of requests that run concurrently.").Default("8").IntVar(&e.Slots)
	c.Flag("swap-time", "Time to load a weight version.").Default("100ms").DurationVar(&e.SwapTime)
	c.Flag("tokens-per-second", "Generation speed of a request that runs alone.").Default("2000").Float64Var(&e.TokensPerSecond)
	c.Flag("version", "Weight version at the start.").Default("1").Int64Var(&e.Version)
	c.Flag("weight-store", "URL of the weight store; if empty, no weights are fetched.").StringVar(&weights)
	return command{name: "standin engine", run: func(ctx context.Context, stdout, stderr io.Writer) error {
		e.Logger = telemetry.NewLogger(stderr, slog.LevelInfo)
		if weights != "" {
			e.Weights = &weightstore.Client{BaseURL: weights}
		}
		return serveStandin(ctx, stdout, e, func() string { return e.Address })
	}}
}
