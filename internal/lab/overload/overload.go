// Package overload measures how admission control protects checks and rollouts
// that share engines while the offered load exceeds the engines' capacity.
package overload

import (
	"context"
	"fmt"
	"sync"
	"time"

	"github.com/nutmegway/nutmegway/internal/lab/deployment"
	"github.com/nutmegway/nutmegway/internal/lab/report"
	"github.com/nutmegway/nutmegway/internal/request/balance"
	"github.com/nutmegway/nutmegway/internal/request/direct"
	"github.com/nutmegway/nutmegway/internal/standin/engine"
)

// The bounds that the product must keep at three times the capacity: the 99th percentile
// of the check latency relative to the unloaded one, Jain's fairness index of the
// trainers, the goodput relative to the highest of all phases, and the share of the
// answered tokens that belongs to rollouts.
const (
	maxCheckRatio   = 1.5
	minFairness     = 0.98
	minGoodputRatio = 0.95
	minRolloutShare = 0.2
)

// The parameters of the engine stand-ins and of the offered load.
const (
	checkTokens     = 40
	rolloutTokens   = 60
	engineSlots     = 8
	tokensPerSecond = 100
	// unloadedShare is the share of the capacity that checks use in the reference
	// phase, with which the other phases are compared.
	unloadedShare = 0.1
)

// Measure is one run. The fields are set before Run.
type Measure struct {
	Phase time.Duration
	Seed  uint64
	Shape deployment.Shape
}

// Run measures the product and, on a new deployment, the baseline, which chooses
// the engine with the fewest outstanding requests and has no admission control.
func (m Measure) Run(ctx context.Context) (*report.Report, error) {
	r := &report.Report{Name: "overload", XLabel: "check latency in ms", YLabel: "share"}
	product, err := m.measure(ctx, "product", nil, []float64{unloadedShare, 1, 2, 3})
	if err != nil {
		return r, err
	}
	baseline, err := m.measure(ctx, "baseline", func() balance.Policy[direct.Candidate] {
		return balance.LeastOutstanding[direct.Candidate]{Outstanding: direct.Outstanding}
	}, []float64{unloadedShare, 3})
	if err != nil {
		return r, err
	}
	m.compare(r, product, baseline)
	return r, nil
}

func (m Measure) compare(r *report.Report, product, baseline []phase) {
	peakGoodput := 0.0
	for _, p := range append(product, baseline...) {
		r.AddRow(p.row()...)
	}
	for _, p := range product {
		peakGoodput = max(peakGoodput, p.goodput())
	}
	reference, highestLoad := product[0], product[len(product)-1]
	baselineHighestLoad := baseline[len(baseline)-1]
	checkRatio := highestLoad.checkQuantile(0.99) / reference.checkQuantile(0.99)
	goodputRatio := highestLoad.goodput() / peakGoodput
	lost, duplicated, falseNotRun := 0, 0, 0
	for _, p := range product {
		lost, duplicated, falseNotRun = lost+p.lost, duplicated+p.duplicated, falseNotRun+p.falseNotRun
	}
	r.Add("check-p99-ratio", checkRatio)
	r.Add("baseline-check-p99-ratio", baselineHighestLoad.checkQuantile(0.99)/baseline[0].checkQuantile(0.99))
	r.Add("goodput-ratio", goodputRatio)
	r.Add("rollout-share", highestLoad.rolloutShare())
	r.Add("fairness", highestLoad.fairness())
	r.Add("lost", lost)
	r.Add("doubled", duplicated)
	r.Add("false-not-run", falseNotRun)
	r.Curves = []report.Curve{
		report.Cumulative("unloaded", reference.checkMilliseconds()),
		report.Cumulative("product at 3x", highestLoad.checkMilliseconds()),
		report.Cumulative("baseline at 3x", baselineHighestLoad.checkMilliseconds()),
	}
	r.Requiref(checkRatio <= maxCheckRatio, "check p99 latency is %.2f times the unloaded one, want at most %.2f", checkRatio, maxCheckRatio)
	r.Requiref(goodputRatio >= minGoodputRatio, "goodput at the highest load is %.3f of the peak, want at least %.2f", goodputRatio, minGoodputRatio)
	r.Requiref(highestLoad.rolloutShare() >= minRolloutShare, "rollouts got a share of %.3f of the answered tokens, want at least %.2f", highestLoad.rolloutShare(), minRolloutShare)
	r.Requiref(highestLoad.fairness() >= minFairness, "fairness between the trainers (Jain's index) is %.3f, want at least %.2f", highestLoad.fairness(), minFairness)
	r.Requiref(lost+duplicated+falseNotRun == 0, "%d answers lost or wrong, %d requests finished more than once, %d requests ran although refused as not executed; want 0 of each", lost, duplicated, falseNotRun)
}

// measure runs one phase for each load on a new deployment. Loads are given as
// multiples of the engines' capacity.
func (m Measure) measure(ctx context.Context, name string, policy func() balance.Policy[direct.Candidate], loads []float64) ([]phase, error) {
	d := &deployment.Deployment{NewBaselinePolicy: policy, Shape: m.Shape, Configure: func(_ int, e *engine.Engine) {
		e.LoadLag = 500 * time.Millisecond
		e.Slots = engineSlots
		e.TokensPerSecond = tokensPerSecond
	}}
	var phases []phase
	err := d.Run(ctx, func(ctx context.Context) error {
		for i, load := range loads {
			p := &phase{outcomes: &[]outcome{}, mu: &sync.Mutex{}, name: fmt.Sprintf("%s-%g", name, load)}
			generator := loadGenerator{deployed: d, load: load, duration: m.Phase, phase: p, seed: m.Seed + uint64(i)}
			generator.run(ctx)
			p.countFailures(d.Engines)
			phases = append(phases, *p)
		}
		return ctx.Err()
	})
	return phases, err
}
