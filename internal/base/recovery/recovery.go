// Package recovery recovers from panics, so that a panic in one task does not end the
// process.
package recovery

import (
	"context"
	"log/slog"
	"runtime/debug"
	"time"

	"go.opentelemetry.io/otel"
	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/metric"

	"github.com/nutmegway/nutmegway/internal/base/kind"
	"github.com/nutmegway/nutmegway/internal/base/wait"
)

const (
	// maxStackBytes bounds the logged stack.
	maxStackBytes = 4 << 10
	// restartDelay is the delay before Supervise restarts a function that panicked.
	restartDelay = time.Second
)

// Call runs f. If f panics, Call logs the panic with its stack and returns an error
// of kind internal. work names the task in the log and the metric.
func Call(logger *slog.Logger, work string, f func() error) (err error) {
	defer func() {
		cause := recover()
		if cause == nil {
			return
		}
		stack := debug.Stack()
		logger.Error("panic caught", slog.String("work", work), slog.Any("panic", cause),
			slog.String("stack", string(stack[:min(len(stack), maxStackBytes)])))
		countPanic(logger, work)
		err = kind.New(kind.Internal, "%s panicked: %v", work, cause)
	}()
	return f()
}

// Supervise runs f until f returns. If f panics while ctx has not ended, Supervise runs it
// again after restartDelay.
func Supervise(ctx context.Context, logger *slog.Logger, work string, f func(context.Context) error) error {
	for {
		returned := false
		err := Call(logger, work, func() error {
			err := f(ctx)
			returned = true
			return err
		})
		if returned || ctx.Err() != nil {
			return err
		}
		wait.For(ctx, restartDelay)
	}
}

func countPanic(logger *slog.Logger, work string) {
	panics, err := otel.Meter("nutmegway/guard").Int64Counter("nutmegway.panics",
		metric.WithDescription("Panics that were caught, by the work that they ended."))
	if err != nil {
		logger.Error("cannot create metric", slog.Any("error", err))
		return
	}
	panics.Add(context.Background(), 1, metric.WithAttributes(attribute.String("work", work)))
}
