// Package guard keeps the panic of one piece of work from ending the process.
package guard

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
	// maxStack bounds the logged stack in bytes.
	maxStack = 4 << 10
	// againAfter is the pause before work that panicked begins again.
	againAfter = time.Second
)

// Call runs f. A panic is logged with its stack and becomes an error of kind internal.
func Call(logger *slog.Logger, work string, f func() error) (err error) {
	defer func() {
		cause := recover()
		if cause == nil {
			return
		}
		stack := debug.Stack()
		logger.Error("panic caught", slog.String("work", work), slog.Any("panic", cause),
			slog.String("stack", string(stack[:min(len(stack), maxStack)])))
		count(logger, work)
		err = kind.New(kind.Internal, "%s panicked: %v", work, cause)
	}()
	return f()
}

// Supervise runs f until it returns, and again after a pause whenever it panicked.
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
		wait.For(ctx, againAfter)
	}
}

func count(logger *slog.Logger, work string) {
	panics, err := otel.Meter("nutmegway/guard").Int64Counter("nutmegway.panics",
		metric.WithDescription("Panics that were caught, by the work that they ended."))
	if err != nil {
		logger.Error("metric not made", slog.Any("error", err))
		return
	}
	panics.Add(context.Background(), 1, metric.WithAttributes(attribute.String("work", work)))
}
