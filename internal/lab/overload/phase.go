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

// answer is what became of one request.
type answer struct {
	begun  time.Time
	check  bool
	err    error
	prompt string
	share  string
	text   string
	tokens int
	took   time.Duration
}

// phase holds the answers to one amount of load.
type phase struct {
	length time.Duration
	name   string

	// The counts of broken promises.
	doubled, falseNotRun, lost int

	answers *[]answer
	mu      *sync.Mutex
}

func (p *phase) add(a answer) {
	p.mu.Lock()
	defer p.mu.Unlock()
	*p.answers = append(*p.answers, a)
}

// judge compares the answers with what the engines counted.
func (p *phase) judge(engines []*standin.Engine) {
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
	for _, a := range *p.answers {
		var refused *kind.Error
		want, _ := standin.ExpectedCompletion(a.prompt, 1, 2*max(checkTokens, rolloutTokens))
		switch {
		case a.err == nil && a.text != want:
			p.lost++
		case a.err != nil && !errors.As(a.err, &refused):
			p.lost++
		case a.err != nil && kind.Of(refused).Ran == kind.RanNo && ran[a.prompt]:
			p.falseNotRun++
		}
		if finished[a.prompt] > 1 {
			p.doubled++
		}
	}
}

// row describes the phase.
func (p *phase) row() []report.Value {
	answered, refused, unknown := 0, 0, 0
	for _, a := range *p.answers {
		switch {
		case !a.check:
		case a.err == nil:
			answered++
		case kind.Of(a.err).Ran == kind.RanNo:
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
	for _, a := range *p.answers {
		if a.check && a.err == nil {
			all = append(all, float64(a.took)/float64(time.Millisecond))
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

// goodput is the rate of the tokens of whole answers that came while the load
// was offered, without the first fifth in which the engines fill.
func (p *phase) goodput() float64 {
	total := 0
	for _, tokens := range p.tokens() {
		total += tokens
	}
	return float64(total) / p.window().Seconds()
}

func (p *phase) window() time.Duration { return p.length * 4 / 5 }

// tokens sums up the answered tokens of each share in the window.
func (p *phase) tokens() map[string]int {
	tokens := map[string]int{}
	if len(*p.answers) == 0 {
		return tokens
	}
	first := slices.MinFunc(*p.answers, func(a, b answer) int { return a.begun.Compare(b.begun) }).begun
	from, until := first.Add(p.length-p.window()), first.Add(p.length)
	for _, a := range *p.answers {
		end := a.begun.Add(a.took)
		if a.err == nil && end.After(from) && end.Before(until) {
			tokens[a.share] += a.tokens
		}
	}
	return tokens
}

func (p *phase) rolloutShare() float64 {
	total, rollouts := 0, 0
	for share, tokens := range p.tokens() {
		total += tokens
		if share != "checks" {
			rollouts += tokens
		}
	}
	return float64(rollouts) / max(float64(total), 1)
}

// fairness is Jain's index of the trainers' tokens.
func (p *phase) fairness() float64 {
	var sum, squares float64
	tokens := p.tokens()
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
