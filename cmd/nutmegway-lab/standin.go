package main

import (
	"context"
	"fmt"
	"io"

	"github.com/alecthomas/kingpin/v2"
)

// standinCommands lists the subcommands of standin.
var standinCommands = []func(*kingpin.CmdClause) command{
	addStandinEtcdCommand,
	addStandinEngineCommand,
	addStandinHostlistCommand,
	addStandinPlainCommand,
	addStandinWeightstoreCommand,
}

// server is the part of a stand-in that serveStandin uses.
type server interface {
	Listen() error
	Run(ctx context.Context) error
}

// serveStandin runs s until ctx ends. It prints the address of s once s accepts
// connections.
func serveStandin(ctx context.Context, stdout io.Writer, s server, address func() string) error {
	if err := s.Listen(); err != nil {
		return err
	}
	fmt.Fprintf(stdout, "listening address=%s\n", address())
	return s.Run(ctx)
}
