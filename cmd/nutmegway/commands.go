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

// documentCommands lists the subcommands of the document command.
var documentCommands = []func(*kingpin.CmdClause) command{
	addDocumentApply,
	addDocumentCheck,
	addDocumentDiff,
	addDocumentGet,
	addDocumentHistory,
}

// topCommands lists the other commands.
var topCommands = []func(*kingpin.Application) command{
	addAddresses,
	addCertificate,
	addCriticalPath,
	addDatagramKey,
	addErrors,
	addExplain,
	addHost,
	addQuickstart,
	addServe,
	addStatus,
	addToken,
}

// newApp returns the command-line parser and the commands by full name.
func newApp(stdout, stderr io.Writer) (*kingpin.Application, map[string]command) {
	app := kingpin.New("nutmegway", "A rollout service for reinforcement learning.")
	app.UsageWriter(stdout).ErrorWriter(stderr)
	commands := make(map[string]command)
	for _, add := range topCommands {
		c := add(app)
		commands[c.name] = c
	}
	documents := app.Command("document", "Read and edit the configuration document of a service.")
	for _, add := range documentCommands {
		c := add(documents)
		commands[c.name] = c
	}
	return app, commands
}

// run parses args, runs the chosen command and returns the exit code.
func run(args []string, stdout, stderr io.Writer) int {
	app, commands := newApp(stdout, stderr)
	helpShown := false
	app.Terminate(func(int) {
		helpShown = true
		app.UsageWriter(io.Discard) // Parse continues after Terminate and would print the help again.
	})
	name, err := app.Parse(args)
	if helpShown {
		return 0
	}
	if err != nil {
		fmt.Fprintln(stderr, "nutmegway:", err)
		return kind.BadRequest.Properties().ExitCode
	}
	return execute(commands[name], stdout, stderr)
}

// execute runs c and returns the exit code. The first SIGINT or SIGTERM cancels the
// context of every command except serve and host, which handle signals themselves.
func execute(c command, stdout, stderr io.Writer) int {
	ctx := context.Background()
	if c.name != serveCommand && c.name != hostCommand {
		var stop context.CancelFunc
		ctx, stop = signal.NotifyContext(ctx, os.Interrupt, syscall.SIGTERM)
		defer stop()
	}
	if err := c.run(ctx, stdout, stderr); err != nil {
		fmt.Fprintln(stderr, "nutmegway:", err)
		return kind.Of(err).Kind.Properties().ExitCode
	}
	return 0
}
