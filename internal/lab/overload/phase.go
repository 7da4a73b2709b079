package overload

import (
	"errors"
	"slices"
	"sync"
	"time"

	"github.com/nutmegway/nutmegway/internal/base/kind"
	"github.com/nutmegway/nutmegway/internal/lab/report"
	standin "github.com/nutmegway/nutmegway/internal/standin/engine"
)

// outcome is the result of one request as its sender saw it.
type outcome struct {
	started time.Time
	check   bool
	err     error
	prompt  string
	share   string
	text    string
	tokens  int
	latency time.Duration
}

// phase holds the outcomes of the requests at one level of load.
type phase struct {
	duration time.Duration
	name     string

	// duplicated counts the requests that finished more than once, falseNotRun those
	// that ran although they were refused as not executed, and lost those whose answer
	// was wrong or did not arrive.
	duplicated, falseNotRun, lost int

	outcomes *[]outcome
	mu       *sync.Mutex
}

func (p *phase) add(o outcome) {
	p.mu.Lock()
	defer p.mu.Unlock()
	*p.outcomes = append(*p.outcomes, o)
}

// countFailures compares the outcomes with the engines' own records.
func (p *phase) countFailures(engines []*standin.Engine) {
	finished := map[string]int{}
	ran := map[string]bool{}
	for _, e := range engines {
		for _, runs := range e.GroundTruth().Runs {
			for _, run := range runs {
				ran[run.Prompt] = true
				if run.Finished {
					finished[run.Prompt]++
				}
			}
		}
	}
	for _, o := range *p.outcomes {
		var refused *kind.Error
		want, _ := standin.ExpectedCompletion(o.prompt, 1, 2*max(checkTokens, rolloutTokens))
		switch {
		case o.err == nil && o.text != want:
			p.lost++
		case o.err != nil && !errors.As(o.err, &refused):
			p.lost++
		case o.err != nil && kind.Of(refused).Ran == kind.RanNo && ran[o.prompt]:
			p.falseNotRun++
		}
		if finished[o.prompt] > 1 {
			p.duplicated++
		}
	}
}

// row returns the phase's values for the report.
func (p *phase) row() []report.Value {
	answered, refused, unknown := 0, 0, 0
	for _, o := range *p.outcomes {
		switch {
		case !o.check:
		case o.err == nil:
			answered++
		case kind.Of(o.err).Ran == kind.RanNo:
			refused++
		default:
			unknown++
		}
	}
	return []report.Value{
		{Key: "phase", Value: p.name},
		{Key: "checks-answered", Value: answered},
		{Key: "checks-refused", Value: refused},
		{Key: "checks-unknown", Value: unknown},
		{Key: "check-p50-ms", Value: p.checkQuantile(0.5)},
		{Key: "check-p99-ms", Value: p.checkQuantile(0.99)},
		{Key: "goodput-tokens-per-second", Value: p.goodput()},
		{Key: "rollout-share", Value: p.rolloutShare()},
		{Key: "fairness", Value: p.fairness()},
	}
}

func (p *phase) checkMilliseconds() []float64 {
	var all []float64
	for _, o := range *p.outcomes {
		if o.check && o.err == nil {
			all = append(all, float64(o.latency)/float64(time.Millisecond))
		}
	}
	slices.Sort(all)
	return all
}

func (p *phase) checkQuantile(q float64) float64 {
	all := p.checkMilliseconds()
	if len(all) == 0 {
		return 0
	}
	return all[min(int(q*float64(len(all))), len(all)-1)]
}

// goodput returns the tokens per second of complete answers within the measured
// window.
func (p *phase) goodput() float64 {
	total := 0
	for _, tokens := range p.tokensByShare() {
		total += tokens
	}
	return float64(total) / p.measuredWindow().Seconds()
}

// measuredWindow returns the length of the phase without its first fifth, in which
// the engines fill.
func (p *phase) measuredWindow() time.Duration { return p.duration * 4 / 5 }

// tokensByShare returns the answered tokens of each share within the measured window.
func (p *phase) tokensByShare() map[string]int {
	tokens := map[string]int{}
	if len(*p.outcomes) == 0 {
		return tokens
	}
	first := slices.MinFunc(*p.outcomes, func(a, b outcome) int { return a.started.Compare(b.started) }).started
	from, until := first.Add(p.duration-p.measuredWindow()), first.Add(p.duration)
	for _, o := range *p.outcomes {
		end := o.started.Add(o.latency)
		if o.err == nil && end.After(from) && end.Before(until) {
			tokens[o.share] += o.tokens
		}
	}
	return tokens
}

func (p *phase) rolloutShare() float64 {
	total, rollouts := 0, 0
	for share, tokens := range p.tokensByShare() {
		total += tokens
		if share != "checks" {
			rollouts += tokens
		}
	}
	return float64(rollouts) / max(float64(total), 1)
}

// fairness returns Jain's fairness index of the trainers' tokens.
func (p *phase) fairness() float64 {
	var sum, squares float64
	tokens := p.tokensByShare()
	for _, trainer := range trainers {
		t := float64(tokens[trainer.name])
		sum += t
		squares += t * t
	}
	if squares == 0 {
		return 0
	}
	return sum * sum / (float64(len(trainers)) * squares)
}
