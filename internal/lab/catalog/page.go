package catalog

import (
	"fmt"
	"io"
	"strings"
)

// WriteEvents writes the reference page of the log events.
func (c Catalog) WriteEvents(w io.Writer) {
	fmt.Fprint(w, `# Log events

One line of key=value pairs for each event, on standard error, with `+"`time`, `level` and `msg`"+`
before the attributes of the event. The page is written by `+"`make reference`"+`.

| package | level | msg | attributes |
| --- | --- | --- | --- |
`)
	for _, event := range c.Events {
		fmt.Fprintf(w, "| %s | %s | %s | %s |\n", event.Package, event.Level, event.Message, strings.Join(event.Attributes, ", "))
	}
}

// WriteMetrics writes the reference page of the metrics.
func (c Catalog) WriteMetrics(w io.Writer) {
	fmt.Fprint(w, `# Metrics

OpenTelemetry instruments, scraped at `+"`/metrics`"+` on the metrics listener. The scraped
names have underscores for dots and hyphens, and the unit and the kind as
suffixes. The page is written by `+"`make reference`"+`.

| name | instrument | unit | package | meaning |
| --- | --- | --- | --- | --- |
`)
	for _, metric := range c.Metrics {
		fmt.Fprintf(w, "| %s | %s | %s | %s | %s |\n", metric.Name, metric.Instrument, metric.Unit, metric.Package, metric.Description)
	}
}
