package deployment_test

import (
	"context"
	"net/http"
	"slices"
	"strings"
	"testing"

	"github.com/matryer/is"
	"go.opentelemetry.io/otel"
	"go.opentelemetry.io/otel/propagation"
	"go.opentelemetry.io/otel/sdk/trace"
	"go.opentelemetry.io/otel/sdk/trace/tracetest"

	"github.com/nutmegway/nutmegway/internal/lab/deployment"
)

// The trace context that the test's caller sends.
const (
	callerTrace       = "0af7651916cd43dd8448eb211c80319c"
	callerTraceParent = "00-" + callerTrace + "-b7ad6b7169203331-01"
)

// TestTraceCoversEachHop checks that the trace of a request has a span for each hop from
// the caller over two entry hosts to the engine.
func TestTraceCoversEachHop(t *testing.T) {
	is := is.New(t)
	spans := tracetest.NewSpanRecorder()
	previous := otel.GetTracerProvider()
	otel.SetTracerProvider(trace.NewTracerProvider(trace.WithSpanProcessor(spans)))
	otel.SetTextMapPropagator(propagation.TraceContext{})
	defer otel.SetTracerProvider(previous)
	d := &deployment.Deployment{Shape: smallShape()}
	err := d.Run(t.Context(), func(ctx context.Context) error {
		for _, node := range d.Nodes {
			request, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+node.CallerAddress+"/v1/completions",
				strings.NewReader(`{"model":"reviewer","prompt":"Assess.","max_tokens":4}`))
			if err != nil {
				return err
			}
			request.Header.Set("Traceparent", callerTraceParent)
			response, err := http.DefaultClient.Do(request)
			if err != nil {
				return err
			}
			_ = response.Body.Close()
		}
		return eventually(ctx, func() bool { return len(paths(spans.Ended())) >= len(d.Nodes) })
	})
	is.NoErr(err)
	for _, path := range paths(spans.Ended()) {
		is.Equal(path[0], "POST /v1/completions") // the entry host that the caller chose
		is.True(slices.Contains(path, "dispatch"))
		is.True(slices.Contains(path, "queue")) // the entry host that owns the engine's queue
	}
}

// paths returns, for each engine call in the caller's trace, the names of its span and
// of that span's recorded ancestors, outermost first.
func paths(ended []trace.ReadOnlySpan) [][]string {
	byID := make(map[string]trace.ReadOnlySpan, len(ended))
	for _, span := range ended {
		byID[span.SpanContext().SpanID().String()] = span
	}
	var all [][]string
	for _, span := range ended {
		if span.Name() != "engine.generate" || span.SpanContext().TraceID().String() != callerTrace {
			continue
		}
		var path []string
		for ok := true; ok; span, ok = byID[span.Parent().SpanID().String()] {
			path = append(path, span.Name())
		}
		slices.Reverse(path)
		all = append(all, path)
	}
	return all
}
