package batchrun

import (
	"context"
	"log/slog"
	"time"

	"go.opentelemetry.io/otel"
	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/metric"

	"github.com/nutmegway/nutmegway/internal/backend/inventory"
	"github.com/nutmegway/nutmegway/internal/rollout/placing"
)

const (
	// waitLogInterval is the shortest time between two reports of waiting items.
	waitLogInterval = time.Second
	// longWait is how long an item waits for an engine before it is reported.
	longWait = time.Second
)

// waitingByObstacle returns how many items have waited for an engine for longer than longWait, by
// the obstacle. The caller holds the runner's mutex.
func (br *batchRun) waitingByObstacle(now time.Time) map[placing.Obstacle]int {
	waiting := make(map[placing.Obstacle]int)
	for _, s := range br.items {
		if !s.done && !s.running && !s.textComplete && s.obstacle != "" && now.Sub(s.readySince) > longWait {
			waiting[s.obstacle]++
		}
	}
	return waiting
}

// reportWaiting logs what the items wait for that have waited for long, one line for each
// batch and at most once in waitLogInterval. The caller holds the runner's mutex.
func (r *Runner) reportWaiting(now time.Time) {
	if now.Sub(r.lastWaitLog) < waitLogInterval {
		return
	}
	r.lastWaitLog = now
	for _, br := range r.runs {
		waiting := br.waitingByObstacle(now)
		if len(waiting) == 0 {
			continue
		}
		_, running, _ := br.countItems()
		r.Logger.Info("items wait for an engine", slog.String("batch", br.batch.ID), slog.Any("waiting", waiting),
			slog.Int("running", running), slog.Duration("after", now.Sub(br.head.Submitted())))
	}
}

// reportTooLarge logs how many items are larger than every engine, each time that number changes.
// They wait for a larger engine or another configuration until the item limit of their route. The
// caller holds the runner's mutex.
func (br *batchRun) reportTooLarge(candidates []inventory.Candidate) {
	count, tokens, memory := 0, 0, 0
	for _, s := range br.items {
		if !s.done && s.obstacle == placing.ObstacleMemory {
			count, tokens = count+1, max(tokens, s.item.Tokens)
		}
	}
	if count == br.tooLarge {
		return
	}
	br.tooLarge = count
	for _, c := range candidates {
		memory = max(memory, c.KVTokens)
	}
	br.runner.Logger.Warn("items are larger than the memory of every engine", slog.String("batch", br.batch.ID), slog.Int("items", count),
		slog.Int("of", len(br.items)), slog.Int("largest", tokens), slog.Int("memory", memory))
}

// registerWaiting registers the gauge of the items that wait for an engine.
func (r *Runner) registerWaiting() {
	_, err := otel.Meter("nutmegway/batchrun").Int64ObservableGauge("nutmegway.batch.items.waiting",
		metric.WithDescription("Items that have waited for an engine for more than a second, by what they wait for."),
		metric.WithInt64Callback(func(_ context.Context, o metric.Int64Observer) error {
			r.mu.Lock()
			defer r.mu.Unlock()
			total := make(map[placing.Obstacle]int)
			for _, br := range r.runs {
				for obstacle, n := range br.waitingByObstacle(time.Now()) {
					total[obstacle] += n
				}
			}
			for obstacle, n := range total {
				o.Observe(int64(n), metric.WithAttributes(attribute.String("obstacle", string(obstacle))))
			}
			return nil
		}))
	if err != nil {
		r.Logger.Error("cannot create metric", slog.Any("error", err))
	}
}
