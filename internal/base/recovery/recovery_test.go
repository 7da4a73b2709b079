package recovery_test

import (
	"bytes"
	"context"
	"errors"
	"log/slog"
	"strings"
	"testing"
	"testing/synctest"

	"github.com/matryer/is"

	"github.com/nutmegway/nutmegway/internal/base/kind"
	"github.com/nutmegway/nutmegway/internal/base/recovery"
)

func TestCallReturnsPanicAsError(t *testing.T) {
	is := is.New(t)
	var log bytes.Buffer
	logger := slog.New(slog.NewTextHandler(&log, nil))
	err := recovery.Call(logger, "a batch", func() error { panic("no such item") })
	is.True(kind.Is(err, kind.Internal))
	is.True(strings.Contains(log.String(), "no such item"))
	is.True(strings.Contains(log.String(), "recovery_test.go")) // the log has the stack
	failure := errors.New("failed")
	is.Equal(recovery.Call(logger, "a batch", func() error { return failure }), failure)
}

func TestSuperviseRestartsOnlyAfterPanic(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		runs := 0
		failure := errors.New("failed")
		err := recovery.Supervise(t.Context(), slog.New(slog.DiscardHandler), "a watch", func(context.Context) error {
			runs++
			if runs < 3 {
				panic(runs)
			}
			return failure
		})
		is.Equal(err, failure)
		is.Equal(runs, 3)
	})
}
