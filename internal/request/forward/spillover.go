package forward

import (
	"context"
	"log/slog"
	"sync"
	"time"

	"github.com/nutmegway/nutmegway/internal/request/spillover"
)

// spilloverLogInterval is the minimum time between two log lines about requests of one service
// that leave the availability zone.
const spilloverLogInterval = time.Second

// spilloverLog bounds the log lines about requests that leave the zone.
type spilloverLog struct {
	mu sync.Mutex
	// left counts the requests of each service that have left since its last line.
	left map[string]int
	next map[string]time.Time
}

// count counts a request that leaves. It returns the number of those since the last line if
// another line is due.
func (l *spilloverLog) count(service string, now time.Time) (left int, due bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.left == nil {
		l.left, l.next = make(map[string]int), make(map[string]time.Time)
	}
	l.left[service]++
	if now.Before(l.next[service]) {
		return 0, false
	}
	left = l.left[service]
	l.left[service], l.next[service] = 0, now.Add(spilloverLogInterval)
	return left, true
}

// recordSpillover records where a request goes by a decision on leaving the zone, which may
// be nil.
func (f *Forwarder) recordSpillover(ctx context.Context, service string, decision *spillover.Decision, zone string) {
	if decision == nil {
		return
	}
	leaves := zone != f.Zone
	f.metrics.countSpillover(ctx, string(decision.Reason), leaves)
	if !leaves {
		return
	}
	if left, due := f.spillovers.count(service, time.Now()); due {
		f.Logger.LogAttrs(ctx, slog.LevelInfo, "requests leave the zone", slog.String("service", service),
			slog.String("reason", string(decision.Reason)), slog.Float64("share", decision.Share), slog.String("to", zone),
			slog.Int("home-requests", decision.Home.Requests), slog.Int("home-slots", decision.Home.Slots), slog.Int("left", left))
	}
}
