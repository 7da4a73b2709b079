package telemetry

import (
	"context"
	"io"

	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/exporters/otlp/otlptrace/otlptracehttp"
	"go.opentelemetry.io/otel/exporters/stdout/stdouttrace"
	"go.opentelemetry.io/otel/sdk/resource"
	"go.opentelemetry.io/otel/sdk/trace"
)

// Traces configures the sampling and export of spans.
type Traces struct {
	// Endpoint is the URL of an OTLP collector. If it is empty, spans go to File.
	Endpoint string
	// File receives one JSON object for each span.
	File io.Writer
	// NodeID identifies the process in its spans.
	NodeID string
	// Ratio is the fraction of requests that are traced, from 0 to 1. A request with
	// a trace context follows the sampling decision of its caller instead.
	Ratio float64
}

// NewProvider returns a tracer provider that exports spans in batches. The caller shuts it
// down to export the remaining ones.
func (t Traces) NewProvider(ctx context.Context) (*trace.TracerProvider, error) {
	exporter, err := t.exporter(ctx)
	if err != nil {
		return nil, classError.Wrap(err)
	}
	return trace.NewTracerProvider(
		trace.WithBatcher(exporter),
		trace.WithResource(resource.NewSchemaless(
			attribute.String("service.instance.id", t.NodeID),
			attribute.String("service.name", "nutmegway"),
		)),
		trace.WithSampler(trace.ParentBased(trace.TraceIDRatioBased(t.Ratio))),
	), nil
}

func (t Traces) exporter(ctx context.Context) (trace.SpanExporter, error) {
	if t.Endpoint != "" {
		return otlptracehttp.New(ctx, otlptracehttp.WithEndpointURL(t.Endpoint))
	}
	return stdouttrace.New(stdouttrace.WithWriter(t.File))
}
