package main

import (
	"context"
	"io"
	"log/slog"
	"os"
	"os/signal"
	"syscall"

	"github.com/alecthomas/kingpin/v2"

	"github.com/nutmegway/nutmegway/internal/base/telemetry"
	"github.com/nutmegway/nutmegway/internal/entry/node"
	"github.com/nutmegway/nutmegway/internal/entry/settings"
	"github.com/nutmegway/nutmegway/internal/external/etcd"
	"github.com/nutmegway/nutmegway/internal/external/hostlist"
	"github.com/nutmegway/nutmegway/internal/external/weightstore"
)

// serveCommand is the name of the command that runs an entry host from an INI file. The
// command handles signals itself; see execute.
const serveCommand = "serve"

func addServe(app *kingpin.Application) command {
	cmd := app.Command(serveCommand, "Run an entry host until SIGTERM. A second SIGTERM aborts the requests in flight.\n\nExample: nutmegway serve --settings /etc/nutmegway/entry.ini")
	path := cmd.Flag("settings", "Settings file.").Required().String()
	check := cmd.Flag("check", "Check the settings and exit.").Bool()
	return command{name: cmd.FullCommand(), run: func(ctx context.Context, _, stderr io.Writer) error {
		s, err := settings.Load(*path)
		if err != nil || *check {
			return err
		}
		return serve(ctx, s, stderr)
	}}
}

// serve runs an entry host until a signal has drained it. It logs to stderr.
func serve(ctx context.Context, s settings.Settings, stderr io.Writer) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	logger := telemetry.NewLogger(stderr, s.Log.Level)
	stopTraces, err := startTraces(ctx, s)
	if err != nil {
		return err
	}
	defer stopTraces()
	store := &etcd.Store{Endpoints: s.Platform.KeyValue}
	defer func() { _ = store.Close() }()
	n := &node.Node{
		Hosts:    hostlist.Client{BaseURL: s.Platform.HostList},
		Logger:   logger,
		Settings: s,
		Store:    store,
		Weights:  weightstore.Client{BaseURL: s.Platform.WeightStore},
	}
	stopSignals := onSignals(logger, n.Drain, cancel)
	defer stopSignals()
	return n.Run(ctx)
}

// onSignals calls drain on the first SIGINT or SIGTERM and abort on the second. After stop
// is called, it calls neither.
func onSignals(logger *slog.Logger, drain, abort func()) (stop func()) {
	signals := make(chan os.Signal, 2)
	signal.Notify(signals, syscall.SIGINT, syscall.SIGTERM)
	group := newGroup()
	done := make(chan struct{})
	group.Go(func() error {
		for _, handle := range []func(){drain, abort} {
			select {
			case received := <-signals:
				logger.Info("signal received", slog.String("signal", received.String()))
				handle()
			case <-done:
				return nil
			}
		}
		return nil
	})
	return func() {
		signal.Stop(signals)
		close(done)
		_ = group.Wait()
	}
}
