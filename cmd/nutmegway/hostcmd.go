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
	"runtime/debug"
	"strconv"
	"syscall"
	"time"

	"github.com/alecthomas/kingpin/v2"
	"go.opentelemetry.io/otel"

	"github.com/nutmegway/nutmegway/internal/backend/plain"
	"github.com/nutmegway/nutmegway/internal/base/telemetry"
	"github.com/nutmegway/nutmegway/internal/entry/host"
	"github.com/nutmegway/nutmegway/internal/external/kv"
	"github.com/nutmegway/nutmegway/internal/fleet/duty"
	"github.com/nutmegway/nutmegway/platform"
)

const (
	// hostCommand is the name of the command that runs a host with the platform's settings
	// file. The command handles signals itself; see execute.
	hostCommand = "host"
	// defaultMetricsPort is the conventional port of OpenTelemetry's Prometheus
	// exporters.
	defaultMetricsPort = "9464"
	// logLinesPerSecond limits the log output of one process.
	logLinesPerSecond = 400
	// heapShare is the share of the process's memory up to which garbage may stay. The rest is
	// for the program itself and what the runtime doesn't count.
	heapShare = 0.75
	// With keepAliveInterval and keepAliveProbes, the kernel detects a dead connection
	// to a backend server within three seconds.
	keepAliveInterval = time.Second
	keepAliveProbes   = 2
)

func addHost(app *kingpin.Application) command {
	cmd := app.Command(hostCommand, "Run a host on the users' platform until SIGTERM.\n\nExample: nutmegway host")
	path := cmd.Flag("settings", "Settings file of the platform.").Envar(platform.SettingsVariable).Required().String()
	level := cmd.Flag("log-level", "Minimum level of log lines: debug, info, warn or error.").Default("info").String()
	metricsPort := cmd.Flag("metrics-port", "Port that serves metrics under /metrics; 0 disables metrics.").
		Default(defaultMetricsPort).Int()
	return command{name: cmd.FullCommand(), run: func(ctx context.Context, stdout, _ io.Writer) error {
		settings, err := platform.LoadSettings(*path)
		if err != nil {
			return err
		}
		var minLevel slog.Level
		if err := minLevel.UnmarshalText([]byte(*level)); err != nil {
			return err
		}
		settings.MetricsAddress = metricsAddress(settings, *metricsPort)
		return runHost(ctx, *path, settings, minLevel, stdout)
	}}
}

// runHost runs a host with the settings until ctx is cancelled or a signal has
// drained it. path is the settings file to compare with at SIGHUP.
func runHost(ctx context.Context, path string, settings host.Settings, level slog.Level, stdout io.Writer) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	if settings.MemoryBytes > 0 {
		debug.SetMemoryLimit(int64(heapShare * float64(settings.MemoryBytes)))
	}
	out := &telemetry.BoundedWriter{LinesPerSecond: logLinesPerSecond, Writer: stdout}
	stopLog := out.Start()
	defer stopLog()
	logger := telemetry.NewLogger(out, level)
	// net/http logs unsolicited responses from servers to the standard logger.
	log.SetFlags(0)
	log.SetOutput(slog.NewLogLogger(logger.Handler(), slog.LevelInfo).Writer())
	dialer := &net.Dialer{KeepAliveConfig: net.KeepAliveConfig{
		Enable: true, Idle: keepAliveInterval, Interval: keepAliveInterval, Count: keepAliveProbes,
	}}
	client := &plain.Client{Dial: dialer.DialContext}
	h := &host.Host{
		Dialect: platform.Dialect(), Decoder: platform.EntryDecoder{}, Engines: platform.Engines{Plain: client},
		Logger: logger, Plain: client, Settings: settings, DirectStore: &platform.Store{Address: settings.StoreAddress},
		Duties: func(holder *duty.Holder) duty.Platform {
			return &platform.Duties{Address: settings.DutyAddress, Holder: holder, PerSecond: settings.DutyRate}
		},
	}
	if settings.MetricsAddress != "" {
		if err := enableMetrics(h); err != nil {
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
	stopReloads := onReload(func() { logChangedSettings(path, settings, logger) })
	defer stopReloads()
	if err := h.Run(ctx); err != nil && ctx.Err() == nil {
		return err
	}
	return nil
}

// metricsAddress returns the address that serves metrics. It consists of the IP address
// of the listener for callers and of port, and is empty if either is missing.
func metricsAddress(settings host.Settings, port int) string {
	ip, _, err := net.SplitHostPort(settings.CallerAddress)
	if err != nil || port == 0 {
		return ""
	}
	return net.JoinHostPort(ip, strconv.Itoa(port))
}

// enableMetrics gives h a handler for metrics and counts its calls to the store.
func enableMetrics(h *host.Host) error {
	provider, handler, err := telemetry.NewMetrics()
	if err != nil {
		return err
	}
	otel.SetMeterProvider(provider)
	instrumented, err := kv.NewInstrumentedRangeStore(h.DirectStore, provider.Meter("nutmegway/store"))
	if err != nil {
		return err
	}
	h.DirectStore, h.Metrics = instrumented, handler
	return nil
}

// logChangedSettings reads the settings file again and logs which settings will
// change at the next start.
func logChangedSettings(path string, current host.Settings, logger *slog.Logger) {
	reread, err := platform.LoadSettings(path)
	if err != nil {
		logger.Warn("cannot read settings file again; current settings stay in force", slog.Any("error", err))
		return
	}
	logger.Info("settings file read again", slog.Any("changed-at-next-start", current.Changed(reread)))
}

// onReload calls reload on each SIGHUP until stop is called.
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
