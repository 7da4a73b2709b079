package main

import (
	"context"
	"io"

	"github.com/alecthomas/kingpin/v2"

	"github.com/nutmegway/nutmegway/internal/standin/etcd"
)

func addStandinEtcdCommand(standin *kingpin.CmdClause) command {
	c := standin.Command("etcd", "Run a stand-in for the key-value service.")
	s := &etcd.Server{}
	c.Flag("listen", "Address to listen on.").Default("127.0.0.1:0").StringVar(&s.ListenAddress)
	c.Flag("seed", "Random seed of the injected faults.").Default("1").Uint64Var(&s.Seed)
	return command{name: "standin etcd", run: func(ctx context.Context, stdout, _ io.Writer) error {
		return serveStandin(ctx, stdout, s, s.Address)
	}}
}
