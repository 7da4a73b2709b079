package main

import (
	"context"
	"os"
	"time"

	"go.opentelemetry.io/otel"
	"go.opentelemetry.io/otel/propagation"
	"golang.org/x/sync/errgroup"

	"github.com/nutmegway/nutmegway/internal/base/kind"
	"github.com/nutmegway/nutmegway/internal/base/telemetry"
	"github.com/nutmegway/nutmegway/internal/entry/settings"
)

// traceFlushTimeout limits the export of the remaining spans at shutdown.
const traceFlushTimeout = 5 * time.Second

func newGroup() *errgroup.Group { return new(errgroup.Group) }

// startTraces exports spans as configured. Trace contexts are propagated even if no
// exporter is configured.
func startTraces(ctx context.Context, s settings.Settings) (stop func(), err error) {
	otel.SetTextMapPropagator(propagation.TraceContext{})
	stop = func() {}
	if s.Trace.Exporter == settings.ExporterNone {
		return stop, nil
	}
	traces := telemetry.Traces{Endpoint: s.Trace.Endpoint, NodeID: s.Node.ID, Ratio: s.Trace.Ratio}
	var file *os.File
	if s.Trace.Exporter == settings.ExporterFile {
		file, err = os.OpenFile(s.Trace.File, os.O_APPEND|os.O_CREATE|os.O_WRONLY, 0o600)
		if err != nil {
			return stop, kind.Wrap(kind.InvalidSettings, err)
		}
		traces.Endpoint, traces.File = "", file
	}
	provider, err := traces.NewProvider(ctx)
	if err != nil {
		return stop, err
	}
	otel.SetTracerProvider(provider)
	return func() {
		ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), traceFlushTimeout)
		defer cancel()
		_ = provider.Shutdown(ctx)
		if file != nil {
			_ = file.Close()
		}
	}, nil
}
