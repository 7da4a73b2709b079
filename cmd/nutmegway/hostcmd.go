package main

import (
	"context"
	"io"
	"log"
	"log/slog"
	"net"
	"net/http"
	"os"
	"os/signal"
	"strconv"
	"syscall"
	"time"

	"github.com/alecthomas/kingpin/v2"
	"go.opentelemetry.io/otel"

	"github.com/nutmegway/nutmegway/internal/backend/plain"
	"github.com/nutmegway/nutmegway/internal/base/telemetry"
	"github.com/nutmegway/nutmegway/internal/entry/host"
	"github.com/nutmegway/nutmegway/internal/external/kv"
	"github.com/nutmegway/nutmegway/platform"
)

const (
	// hostName is the command that handles its signals itself.
	hostName = "host"
	// defaultMetricsPort is the port that exporters of the library use.
	defaultMetricsPort = "9464"
	// logLinesPerSecond bounds the log of one process.
	logLinesPerSecond = 400
	// serverProbe and serverProbes let the kernel find a silent connection to a
	// backend server within three seconds.
	serverProbe  = time.Second
	serverProbes = 2
)

func addHost(app *kingpin.Application) command {
	cmd := app.Command(hostName, "Run a host on the users' platform until SIGTERM.\n\nExample: nutmegway host")
	path := cmd.Flag("settings", "The platform's settings file.").Envar(platform.SettingsVariable).Required().String()
	level := cmd.Flag("log-level", "The lowest level that is logged: debug, info, warn or error.").Default("info").String()
	metricsPort := cmd.Flag("metrics-port", "The port at which metrics are served under /metrics; 0 serves none.").
		Default(defaultMetricsPort).Int()
	return command{name: cmd.FullCommand(), run: func(ctx context.Context, stdout, _ io.Writer) error {
		settings, err := platform.LoadSettings(*path)
		if err != nil {
			return err
		}
		var lowest slog.Level
		if err := lowest.UnmarshalText([]byte(*level)); err != nil {
			return err
		}
		settings.MetricsAddress = metricsAddress(settings, *metricsPort)
		return runHost(ctx, *path, settings, lowest, stdout)
	}}
}

// runHost runs the host that the settings describe.
func runHost(ctx context.Context, path string, settings host.Settings, level slog.Level, stdout io.Writer) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	out := &telemetry.BoundedWriter{LinesPerSecond: logLinesPerSecond, Writer: stdout}
	stopLog := out.Start()
	defer stopLog()
	logger := telemetry.NewLogger(out, level)
	// The HTTP library reports what servers sent unasked to the standard logger.
	log.SetFlags(0)
	log.SetOutput(slog.NewLogLogger(logger.Handler(), slog.LevelInfo).Writer())
	dialer := &net.Dialer{KeepAliveConfig: net.KeepAliveConfig{
		Enable: true, Idle: serverProbe, Interval: serverProbe, Count: serverProbes,
	}}
	client := &plain.Client{Dial: dialer.DialContext}
	h := &host.Host{
		Dialect: platform.Dialect(), Documents: platform.Documents{}, Engines: platform.Engines{Plain: client},
		Logger: logger, Plain: client, Settings: settings, Direct: &platform.Store{Address: settings.StoreAddress},
	}
	if settings.MetricsAddress != "" {
		if err := countCalls(h); err != nil {
			return err
		}
	}
	h.SetUp()
	callers := platform.CallerAPI{Host: h, Logger: logger}
	h.Callers = callers
	h.Directory = http.HandlerFunc(callers.ServeLookup)
	h.Readiness = http.HandlerFunc(callers.ServeReady)
	stopSignals := onSignals(logger, h.Drain, cancel)
	defer stopSignals()
	stopReloads := onReload(func() { checkReload(path, settings, logger) })
	defer stopReloads()
	if err := h.Run(ctx); err != nil && ctx.Err() == nil {
		return err
	}
	return nil
}

// metricsAddress is on the address at which the host serves callers.
func metricsAddress(settings host.Settings, port int) string {
	ip, _, err := net.SplitHostPort(settings.CallerAddress)
	if err != nil || port == 0 {
		return ""
	}
	return net.JoinHostPort(ip, strconv.Itoa(port))
}

// countCalls serves metrics and counts the host's calls of the store.
func countCalls(h *host.Host) error {
	provider, handler, err := telemetry.NewMetrics()
	if err != nil {
		return err
	}
	otel.SetMeterProvider(provider)
	counted, err := kv.NewInstrumentedRangeStore(h.Direct, provider.Meter("nutmegway/store"))
	if err != nil {
		return err
	}
	h.Direct, h.Metrics = counted, handler
	return nil
}

// checkReload reads the settings file again and tells what has changed.
func checkReload(path string, inForce host.Settings, logger *slog.Logger) {
	changed, err := platform.LoadSettings(path)
	if err != nil {
		logger.Warn("settings not read again, those in force stay", slog.Any("error", err))
		return
	}
	logger.Info("settings read again", slog.Any("changed-at-next-start", inForce.Changed(changed)))
}

// onReload calls reload at each SIGHUP.
func onReload(reload func()) (stop func()) {
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGHUP)
	group := newGroup()
	done := make(chan struct{})
	group.Go(func() error {
		for {
			select {
			case <-signals:
				reload()
			case <-done:
				return nil
			}
		}
	})
	return func() {
		signal.Stop(signals)
		close(done)
		_ = group.Wait()
	}
}
