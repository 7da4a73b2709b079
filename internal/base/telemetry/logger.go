// Package telemetry sets up logs, metrics and traces.
package telemetry

import (
	"io"
	"log/slog"
)

// NewLogger returns a logger that writes each event as one line of key=value pairs.
func NewLogger(w io.Writer, level slog.Level) *slog.Logger {
	return slog.New(slog.NewTextHandler(w, &slog.HandlerOptions{Level: level}))
}
