package batchrun

import (
	"context"
	"log/slog"
	"time"

	"github.com/nutmegway/nutmegway/internal/fleet/config"
)

const (
	// configReadTimeout bounds one read of the configuration. It allows for a direct call
	// of the store without an answer and a relayed one.
	configReadTimeout = 2 * time.Second
	// configReadInterval is the shortest time between two reads of the configuration.
	configReadInterval = 250 * time.Millisecond
)

// configCheck holds when this host last read the configuration from the store because
// batches depended on it. The runner's mutex guards it.
type configCheck struct {
	// confirmedAt is the start of the last successful read, and triedAt that of the last one.
	confirmedAt, triedAt time.Time
	reading              bool
}

// findRoute returns the route of the batch, or the reason why its items can't be run any
// more.
func (br *batchRun) findRoute(c *config.Config, now time.Time) (route config.Route, expiry string) {
	route, ok := c.Match(br.batch.Host, br.batch.Target)
	switch {
	case !ok:
		return route, "no route matches the batch"
	case route.ItemTimeout > 0 && now.Sub(br.head.Submitted()) > route.ItemTimeout:
		return route, "item limit of the route exceeded"
	}
	return route, ""
}

// isConfigCurrent reports whether the configuration was read from the store after the first
// call for the batch, and reads it if not. The scheduler runs again after the read. While
// the store can't be reached, the configuration isn't current: if that lasts, other hosts
// take the batch over. The caller holds the runner's mutex.
func (r *Runner) isConfigCurrent(ctx context.Context, br *batchRun, now time.Time) bool {
	if br.configDoubtedAt.IsZero() {
		br.configDoubtedAt = now
	}
	check := &r.configCheck
	if r.RefreshConfig == nil || check.confirmedAt.After(br.configDoubtedAt) {
		return true
	}
	if check.reading || now.Sub(check.triedAt) < configReadInterval {
		return false
	}
	check.reading, check.triedAt = true, now
	r.Logger.LogAttrs(ctx, slog.LevelInfo, "configuration read for batch", slog.String("batch", br.batch.ID),
		slog.Int64("accepted-under", br.batch.ConfigVersion), slog.Int64("version", r.configVersion()))
	r.Go("read of configuration", func() error {
		ctx, cancel := context.WithTimeout(ctx, configReadTimeout)
		defer cancel()
		began, confirmed := time.Now(), false
		defer func() {
			r.mu.Lock()
			defer r.mu.Unlock()
			check.reading = false
			if confirmed {
				check.confirmedAt = began
			}
			r.wakeUp()
		}()
		err := r.RefreshConfig(ctx)
		confirmed = err == nil
		r.Logger.LogAttrs(ctx, slog.LevelInfo, "read of configuration for batches ended", slog.Int64("version", r.configVersion()),
			slog.Duration("after", time.Since(began)), slog.Any("error", err))
		return nil
	})
	return false
}

// configVersion returns the version of the configuration in force, or zero if there is none.
func (r *Runner) configVersion() int64 {
	if c := r.Config(); c != nil {
		return c.Version
	}
	return 0
}
