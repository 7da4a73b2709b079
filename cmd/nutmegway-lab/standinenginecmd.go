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
	c.Flag("enforce-fence", "Refuse orders with an old fencing number.").BoolVar(&e.EnforceFence)
	c.Flag("id", "Name in its logs.").Default("engine").StringVar(&e.ID)
	c.Flag("listen", "Address to listen on.").Default("127.0.0.1:0").StringVar(&e.Address)
	c.Flag("load-lag", "Age that a load report may have.").Default("500ms").DurationVar(&e.LoadLag)
	c.Flag("model", "Model that it serves.").StringVar(&e.Model)
	c.Flag("pause-on-swap", "Produce no tokens while a version is loaded.").BoolVar(&e.PauseOnSwap)
	c.Flag("slots", "Requests that run at once.").Default("8").IntVar(&e.Slots)
	c.Flag("swap-time", "Time that loading a version takes.").Default("100ms").DurationVar(&e.SwapTime)
	c.Flag("tokens-per-second", "Speed of one request that runs alone.").Default("2000").Float64Var(&e.TokensPerSecond)
	c.Flag("version", "Weight version at the start.").Default("1").Int64Var(&e.Version)
	c.Flag("weight-store", "URL of the weight store; without it nothing is fetched.").StringVar(&weights)
	return command{name: "standin engine", run: func(ctx context.Context, stdout, stderr io.Writer) error {
		e.Logger = telemetry.NewLogger(stderr, slog.LevelInfo)
		if weights != "" {
			e.Weights = &weightstore.Client{BaseURL: weights}
		}
		return serveStandin(ctx, stdout, e, func() string { return e.Address })
	}}
}
