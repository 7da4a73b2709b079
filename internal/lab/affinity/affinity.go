// Package affinity measures how much of the prompts the engines find in their
// prefix caches, against a choice that knows all caches at every moment.
package affinity

import (
	"context"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"strings"
	"sync"
	"time"

	"golang.org/x/sync/errgroup"

	backend "github.com/nutmegway/nutmegway/internal/backend/engine"
	"github.com/nutmegway/nutmegway/internal/lab/deployment"
	"github.com/nutmegway/nutmegway/internal/lab/report"
	"github.com/nutmegway/nutmegway/internal/request/balance"
	"github.com/nutmegway/nutmegway/internal/request/direct"
	"github.com/nutmegway/nutmegway/internal/request/dispatch"
	"github.com/nutmegway/nutmegway/internal/standin/engine"
)

// The promises.
const (
	maxLoadRatio = 1.2
	minHitRatio  = 0.9
)

// The engines' model and the load.
const (
	answerTokens    = 60
	cacheBlocks     = 1500
	dropEventEvery  = 5
	eventLag        = 300 * time.Millisecond
	patience        = 10 * time.Second
	perSecond       = 150
	slots           = 8
	tokensPerSecond = 250
	// popularity is the exponent of the documents' popularity.
	popularity = 1.1
)

// Measure is one run. The fields are set before Run.
type Measure struct {
	Documents int
	Length    time.Duration
	Seed      uint64
	Shape     deployment.Shape
}

// found is what one deployment's answers showed.
type found struct {
	cached  int
	failed  int
	load    []int
	prompts []string
	tokens  int
}

// Run measures the product and round robin, and works out from the prompts that
// the product got what perfect knowledge would have found.
func (m Measure) Run(ctx context.Context) (*report.Report, error) {
	r := &report.Report{Name: "affinity"}
	product, err := m.trial(ctx, nil)
	if err != nil {
		return r, err
	}
	baseline, err := m.trial(ctx, func() balance.Policy[direct.Candidate] { return &balance.RoundRobin[direct.Candidate]{} })
	if err != nil {
		return r, err
	}
	perfect := perfectKnowledge(product.prompts, m.Shape.Engines)
	for _, row := range []struct {
		name  string
		found found
	}{{"product", product}, {"baseline", baseline}, {"perfect", perfect}} {
		r.AddRow(
			report.Value{Key: "policy", Value: row.name},
			report.Value{Key: "hit-share", Value: row.found.hitShare()},
			report.Value{Key: "load-ratio", Value: row.found.loadRatio()},
			report.Value{Key: "answers", Value: len(row.found.prompts)},
			report.Value{Key: "failed", Value: row.found.failed},
		)
	}
	hits := product.hitShare() / perfect.hitShare()
	r.Add("hit-share-ratio", hits)
	r.Add("baseline-hit-share-ratio", baseline.hitShare()/perfect.hitShare())
	r.Add("load-ratio", product.loadRatio())
	r.Add("baseline-load-ratio", baseline.loadRatio())
	r.Requiref(hits >= minHitRatio, "hit share ratio %.3f is under %.2f", hits, minHitRatio)
	r.Requiref(product.loadRatio() <= maxLoadRatio, "load ratio %.3f is over %.2f", product.loadRatio(), maxLoadRatio)
	r.Requiref(product.failed == 0, "%d requests failed", product.failed)
	return r, nil
}

func (f found) hitShare() float64 { return float64(f.cached) / max(1, float64(f.tokens)) }

// loadRatio is the highest number of requests of an engine over the mean.
func (f found) loadRatio() float64 {
	highest, total := 0, 0
	for _, n := range f.load {
		highest = max(highest, n)
		total += n
	}
	return float64(highest*len(f.load)) / max(1, float64(total))
}

func (m Measure) trial(ctx context.Context, policy func() balance.Policy[direct.Candidate]) (found, error) {
	d := &deployment.Deployment{Baseline: policy, Shape: m.Shape, Configure: func(_ int, e *engine.Engine) {
		e.CacheBlocks = cacheBlocks
		e.DropEventEvery = dropEventEvery
		e.EventLag = eventLag
		e.Slots = slots
		e.TokensPerSecond = tokensPerSecond
	}}
	var f found
	err := d.Run(ctx, func(ctx context.Context) error {
		m.offer(ctx, d, &f)
		for _, e := range d.Engines {
			f.load = append(f.load, len(e.GroundTruth().Runs))
		}
		return ctx.Err()
	})
	return f, err
}

// offer sends questions about documents, some more popular than others, to the
// nodes in turn, at a rate that does not wait for answers.
func (m Measure) offer(ctx context.Context, d *deployment.Deployment, f *found) {
	random := rand.New(rand.NewPCG(m.Seed, 1))
	documents := m.documents()
	zipf := rand.NewZipf(random, popularity, 8, uint64(len(documents)-1))
	var mu sync.Mutex
	var group errgroup.Group
	start := time.Now()
	next := time.Duration(0)
	for i := 0; ; i++ {
		next += time.Duration(random.ExpFloat64() / perSecond * float64(time.Second))
		if next > m.Length || ctx.Err() != nil {
			break
		}
		time.Sleep(time.Until(start.Add(next)))
		prompt := fmt.Sprintf("%s Question %d: what follows for filing %d? [tokens=%d]",
			documents[zipf.Uint64()], i, random.IntN(1000), answerTokens/2+random.IntN(answerTokens))
		node := d.Nodes[random.IntN(len(d.Nodes))]
		group.Go(func() error {
			cached, err := ask(ctx, node.Dispatcher(), m.Shape, fmt.Sprintf("q-%d", i), prompt)
			mu.Lock()
			defer mu.Unlock()
			if err != nil {
				f.failed++
				return nil
			}
			f.cached += cached
			f.prompts = append(f.prompts, prompt)
			f.tokens += backend.PromptTokens(prompt)
			return nil
		})
	}
	_ = group.Wait() // The requests report to f.
}

// documents returns texts of 20 to 70 blocks that begin with one template.
func (m Measure) documents() []string {
	const shortest, longest, template = 20, 70, 4
	random := rand.New(rand.NewPCG(m.Seed, 2))
	head := strings.Repeat("Assess by the rules. ", template*backend.BlockBytes/21+1)[:template*backend.BlockBytes]
	documents := make([]string, m.Documents)
	for i := range documents {
		length := (shortest + random.IntN(longest-shortest)) * backend.BlockBytes
		var b strings.Builder
		b.WriteString(head)
		for b.Len() < length {
			fmt.Fprintf(&b, "%x ", random.Uint32())
		}
		documents[i] = b.String()
	}
	return documents
}

func ask(ctx context.Context, dispatcher dispatch.Dispatcher, shape deployment.Shape, id, prompt string) (cached int, err error) {
	ctx, cancel := context.WithTimeout(ctx, patience)
	defer cancel()
	stream, err := dispatcher.Dispatch(ctx, dispatch.Call{
		Class: dispatch.ClassRollout, Deadline: time.Now().Add(patience), Service: shape.EngineService,
		Share: "assessments", Team: shape.Team,
		Request: backend.Request{ID: id, MaxTokens: 2 * answerTokens, Model: shape.EngineService, Prompt: prompt, Seed: 1},
	})
	if err != nil {
		return 0, err
	}
	defer stream.Close() //nolint:errcheck // The answer was read.
	for {
		chunk, err := stream.Next()
		if errors.Is(err, io.EOF) {
			return cached, nil
		}
		if err != nil {
			return 0, err
		}
		cached += chunk.CachedTokens
	}
}
