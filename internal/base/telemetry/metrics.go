package telemetry

import (
	"net/http"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/promhttp"
	"github.com/zeebo/errs"
	otelprometheus "go.opentelemetry.io/otel/exporters/prometheus"
	"go.opentelemetry.io/otel/sdk/metric"
)

var classError = errs.Class("telemetry")

// NewMetrics returns a meter provider and the HTTP handler that serves its metrics to
// Prometheus.
func NewMetrics() (*metric.MeterProvider, http.Handler, error) {
	registry := prometheus.NewRegistry()
	exporter, err := otelprometheus.New(otelprometheus.WithRegisterer(registry))
	if err != nil {
		return nil, nil, classError.Wrap(err)
	}
	provider := metric.NewMeterProvider(metric.WithReader(exporter))
	return provider, promhttp.HandlerFor(registry, promhttp.HandlerOpts{}), nil
}
