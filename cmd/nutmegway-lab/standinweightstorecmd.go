package main

import (
	"context"
	"io"

	"github.com/alecthomas/kingpin/v2"

	"github.com/nutmegway/nutmegway/internal/standin/weightstore"
)

func addStandinWeightstoreCommand(standin *kingpin.CmdClause) command {
	c := standin.Command("weightstore", "Run a stand-in for the weight store.")
	s := &weightstore.Server{}
	c.Flag("burst", "Maximum burst of calls.").Default("20").IntVar(&s.Burst)
	c.Flag("listen", "Address to listen on.").Default("127.0.0.1:0").StringVar(&s.ListenAddress)
	c.Flag("rate", "Maximum sustained rate of calls per second.").Default("20").Float64Var(&s.Rate)
	return command{name: "standin weightstore", run: func(ctx context.Context, stdout, _ io.Writer) error {
		return serveStandin(ctx, stdout, s, s.URL)
	}}
}
