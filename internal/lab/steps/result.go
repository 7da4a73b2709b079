package steps

import (
	"time"

	"github.com/nutmegway/nutmegway/internal/lab/deployment"
	"github.com/nutmegway/nutmegway/internal/lab/report"
	"github.com/nutmegway/nutmegway/internal/standin/engine"
)

// makespanBound returns a lower bound for the makespan of a run under any scheduler. It
// is the larger of two times. The first is the time in which the whole fleet generates
// all tokens, plus one training step. The second is the critical path of one trainer,
// whose steps are sequential.
func (m Measure) makespanBound(shape deployment.Shape, tokens int) time.Duration {
	perToken := (1 + engine.DefaultBatchSlowdown*(engineSlots-1)) / tokensPerSecond
	fleet := float64(tokens) * perToken / float64(shape.Engines*engineSlots)
	// With StepsAhead, the generation of a step overlaps the training of the previous
	// step, so only the longest sample of the first step adds to the training time.
	// It is taken to have the full length, which about 8% of the groups have.
	critical := stepCount*trainTime.Seconds() + maxTokens/tokensPerSecond
	// The training of the last step starts after its last sample.
	return time.Duration(max(fleet+trainTime.Seconds(), critical) * float64(time.Second))
}

func (r result) meanStaleness() float64 {
	if len(r.staleness) == 0 {
		return 0
	}
	var sum int64
	for _, s := range r.staleness {
		sum += s
	}
	return float64(sum) / float64(len(r.staleness))
}

func (r result) stalenessQuantile(q float64) int64 {
	if len(r.staleness) == 0 {
		return 0
	}
	return r.staleness[min(int(q*float64(len(r.staleness))), len(r.staleness)-1)]
}

// idleShare returns the share of the trainers' time that they spent waiting.
func (r result) idleShare(trainers int) float64 {
	return r.idleTime.Seconds() / (r.makespan.Seconds() * float64(trainers))
}

func (m Measure) report(shape deployment.Shape, product, baseline result) *report.Report {
	r := &report.Report{Name: "steps"}
	bound := m.makespanBound(shape, product.tokens)
	ratio := product.makespan.Seconds() / bound.Seconds()
	idleRatio := product.idleTime.Seconds() / max(baseline.idleTime.Seconds(), 1e-9)
	for _, arm := range []struct {
		name string
		result
	}{{name: "baseline", result: baseline}, {name: "product", result: product}} {
		r.AddRow(
			report.Value{Key: "arm", Value: arm.name},
			report.Value{Key: "seconds", Value: arm.makespan.Seconds()},
			report.Value{Key: "bound-seconds", Value: bound.Seconds()},
			report.Value{Key: "idle-seconds", Value: arm.idleTime.Seconds()},
			report.Value{Key: "staleness-mean", Value: arm.meanStaleness()},
			report.Value{Key: "samples", Value: len(arm.staleness)},
			report.Value{Key: "lost", Value: arm.lost},
			report.Value{Key: "over-bound", Value: arm.overBound},
		)
	}
	r.Add("clairvoyant-ratio", ratio)
	r.Add("idle-share", product.idleShare(m.Trainers))
	r.Add("baseline-idle-ratio", idleRatio)
	r.Add("staleness-mean", product.meanStaleness())
	r.Add("staleness-p99", product.stalenessQuantile(0.99))
	r.Add("staleness-max", product.stalenessQuantile(1))
	r.Add("lost", product.lost)
	r.Add("duplicated", product.duplicated)
	r.Add("mislabelled", product.mislabelled)
	r.Add("over-bound", product.overBound)
	target := ratioTarget
	if m.Faults {
		target = faultyTarget
	}
	r.Requiref(ratio <= target, "clairvoyant-ratio is %.3f, want at most %.2f", ratio, target)
	r.Requiref(idleRatio <= idleTarget, "baseline-idle-ratio is %.3f, want at most %.2f", idleRatio, idleTarget)
	bad := product.lost + product.duplicated + product.mislabelled + product.overBound + product.wrong
	r.Requiref(bad == 0, "%d samples are lost, duplicated, mislabelled, too stale or wrong, want 0; the first: %s", bad, product.firstViolation)
	return r
}
