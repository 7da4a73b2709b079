package main

import (
	"context"
	"io"

	"github.com/alecthomas/kingpin/v2"

	"github.com/nutmegway/nutmegway/internal/standin/plain"
)

func addStandinPlainCommand(standin *kingpin.CmdClause) command {
	c := standin.Command("plain", "Run a stand-in for a plain service.")
	s := &plain.Server{}
	c.Flag("listen", "Address to listen on.").Default("127.0.0.1:0").StringVar(&s.Address)
	c.Flag("service-time", "Time that each request takes.").Default("0s").DurationVar(&s.ServiceTime)
	return command{name: "standin plain", run: func(ctx context.Context, stdout, _ io.Writer) error {
		return serveStandin(ctx, stdout, s, func() string { return s.Address })
	}}
}
