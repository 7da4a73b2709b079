package main

import (
	"context"
	"fmt"
	"io"
	"os"
	"os/signal"
	"syscall"

	"github.com/alecthomas/kingpin/v2"

	"github.com/nutmegway/nutmegway/internal/base/kind"
)

// command is one subcommand: its name and the function that runs it.
type command struct {
	name string
	run  func(ctx context.Context, stdout, stderr io.Writer) error
}

// measureCommands lists the subcommands of measure in alphabetical order.
var measureCommands = []func(*kingpin.CmdClause) command{
	addMeasureAffinityCommand,
	addMeasureBookingsCommand,
	addMeasureControlCostCommand,
	addMeasureFailoverCommand,
	addMeasureOutageCommand,
	addMeasureOverlayCommand,
	addMeasureOverloadCommand,
	addMeasurePathCommand,
	addMeasurePoisonCommand,
	addMeasureRetryStormCommand,
	addMeasureSpreadCommand,
	addMeasureStepsCommand,
	addMeasureSwapCommand,
}

// topCommands lists the other top-level commands.
var topCommands = []func(*kingpin.Application) command{
	addCapacityCommand,
	addChaosCommand,
	addFaultProxyCommand,
	addReferenceCommand,
	addSoakCommand,
}

// run parses args, runs the chosen command and returns the exit code.
func run(args []string, stdout, stderr io.Writer) int {
	app := kingpin.New("nutmegway-lab", "Stand-ins, fault injection and measurements for nutmegway.")
	app.UsageWriter(stdout).ErrorWriter(stderr)
	commands := map[string]command{}
	for _, add := range topCommands {
		c := add(app)
		commands[c.name] = c
	}
	standin := app.Command("standin", "Run a stand-in for a platform service or a backend server until interrupted.")
	for _, add := range standinCommands {
		c := add(standin)
		commands[c.name] = c
	}
	measure := app.Command("measure", "Measure the effect of one design decision. The last line of the output holds the figures.")
	for _, add := range measureCommands {
		c := add(measure)
		commands[c.name] = c
	}
	name, err := app.Parse(args)
	if err != nil {
		fmt.Fprintln(stderr, "nutmegway-lab:", err)
		return kind.BadRequest.Properties().ExitCode
	}
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	if err := commands[name].run(ctx, stdout, stderr); err != nil {
		fmt.Fprintln(stderr, "nutmegway-lab:", err)
		return kind.Of(err).Kind.Properties().ExitCode
	}
	return 0
}
