// Package affinity measures the share of prompt tokens that the engines find in
// their prefix caches, compared with a policy that knows the contents of all caches
// at any time.
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

// The bounds that the product must keep: the number of requests of the busiest engine
// relative to the mean, and the hit share relative to that with perfect knowledge.
const (
	maxLoadRatio = 1.2
	minHitRatio  = 0.9
)

// The parameters of the engine stand-ins and of the load.
const (
	answerTokens      = 60
	cacheBlocks       = 1500
	dropEventEvery    = 5
	eventLag          = 300 * time.Millisecond
	requestTimeout    = 10 * time.Second
	requestsPerSecond = 150
	engineSlots       = 8
	tokensPerSecond   = 250
	// zipfExponent is the exponent of the Zipf distribution from which documents are
	// drawn.
	zipfExponent = 1.1
)

// Measure is one run. The fields are set before Run.
type Measure struct {
	// Documents is the number of documents that questions are about.
	Documents int
	// Duration is the time for which questions are sent.
	Duration time.Duration
	Seed     uint64
	Shape    deployment.Shape
}

// trialResult holds the results of one deployment: the answered prompts, their tokens and
// how many of these were cached, the failed requests, and the number of requests of each
// engine.
type trialResult struct {
	cachedTokens     int
	failed           int
	requestsByEngine []int
	prompts          []string
	promptTokens     int
}

// Run measures the product and round robin, and simulates perfect knowledge of the
// caches for the prompts that the product answered.
func (m Measure) Run(ctx context.Context) (*report.Report, error) {
	r := &report.Report{Name: "affinity"}
	product, err := m.runTrial(ctx, nil)
	if err != nil {
		return r, err
	}
	baseline, err := m.runTrial(ctx, func() balance.Policy[direct.Candidate] { return &balance.RoundRobin[direct.Candidate]{} })
	if err != nil {
		return r, err
	}
	perfect := simulatePerfectKnowledge(product.prompts, m.Shape.Engines)
	for _, row := range []struct {
		name   string
		result trialResult
	}{{"product", product}, {"baseline", baseline}, {"perfect", perfect}} {
		r.AddRow(
			report.Value{Key: "policy", Value: row.name},
			report.Value{Key: "hit-share", Value: row.result.hitShare()},
			report.Value{Key: "load-ratio", Value: row.result.loadRatio()},
			report.Value{Key: "answers", Value: len(row.result.prompts)},
			report.Value{Key: "failed", Value: row.result.failed},
		)
	}
	hits := product.hitShare() / perfect.hitShare()
	r.Add("hit-share-ratio", hits)
	r.Add("baseline-hit-share-ratio", baseline.hitShare()/perfect.hitShare())
	r.Add("load-ratio", product.loadRatio())
	r.Add("baseline-load-ratio", baseline.loadRatio())
	r.Requiref(hits >= minHitRatio, "hit share is %.3f of that with perfect knowledge, want at least %.2f", hits, minHitRatio)
	r.Requiref(product.loadRatio() <= maxLoadRatio, "the busiest engine got %.3f times the mean number of requests, want at most %.2f", product.loadRatio(), maxLoadRatio)
	r.Requiref(product.failed == 0, "%d requests failed, want 0", product.failed)
	return r, nil
}

func (r trialResult) hitShare() float64 {
	return float64(r.cachedTokens) / max(1, float64(r.promptTokens))
}

// loadRatio returns the highest number of requests of an engine divided by the mean.
func (r trialResult) loadRatio() float64 {
	highest, total := 0, 0
	for _, n := range r.requestsByEngine {
		highest = max(highest, n)
		total += n
	}
	return float64(highest*len(r.requestsByEngine)) / max(1, float64(total))
}

func (m Measure) runTrial(ctx context.Context, policy func() balance.Policy[direct.Candidate]) (trialResult, error) {
	d := &deployment.Deployment{NewBaselinePolicy: policy, Shape: m.Shape, Configure: func(_ int, e *engine.Engine) {
		e.CacheBlocks = cacheBlocks
		e.DropEventEvery = dropEventEvery
		e.EventLag = eventLag
		e.Slots = engineSlots
		e.TokensPerSecond = tokensPerSecond
	}}
	var result trialResult
	err := d.Run(ctx, func(ctx context.Context) error {
		m.sendQuestions(ctx, d, &result)
		for _, e := range d.Engines {
			result.requestsByEngine = append(result.requestsByEngine, len(e.GroundTruth().Runs))
		}
		return ctx.Err()
	})
	return result, err
}

// sendQuestions sends questions about documents of different popularity to random
// nodes, at a rate that does not depend on the answers (open loop).
func (m Measure) sendQuestions(ctx context.Context, d *deployment.Deployment, result *trialResult) {
	random := rand.New(rand.NewPCG(m.Seed, 1))
	documents := m.documents()
	zipf := rand.NewZipf(random, zipfExponent, 8, uint64(len(documents)-1))
	var mu sync.Mutex
	var group errgroup.Group
	start := time.Now()
	next := time.Duration(0)
	for i := 0; ; i++ {
		next += time.Duration(random.ExpFloat64() / requestsPerSecond * float64(time.Second))
		if next > m.Duration || ctx.Err() != nil {
			break
		}
		time.Sleep(time.Until(start.Add(next)))
		prompt := fmt.Sprintf("%s Question %d: what follows for filing %d? [tokens=%d]",
			documents[zipf.Uint64()], i, random.IntN(1000), answerTokens/2+random.IntN(answerTokens))
		node := d.Nodes[random.IntN(len(d.Nodes))]
		group.Go(func() error {
			cached, err := sendQuestion(ctx, node.Dispatcher(), m.Shape, fmt.Sprintf("q-%d", i), prompt)
			mu.Lock()
			defer mu.Unlock()
			if err != nil {
				result.failed++
				return nil
			}
			result.cachedTokens += cached
			result.prompts = append(result.prompts, prompt)
			result.promptTokens += backend.PromptTokens(prompt)
			return nil
		})
	}
	_ = group.Wait() // The requests record their outcomes in result.
}

// documents returns texts of minBlocks to maxBlocks blocks that share a prefix of
// prefixBlocks blocks.
func (m Measure) documents() []string {
	const minBlocks, maxBlocks, prefixBlocks = 20, 70, 4
	random := rand.New(rand.NewPCG(m.Seed, 2))
	head := strings.Repeat("Assess by the rules. ", prefixBlocks*backend.BlockBytes/21+1)[:prefixBlocks*backend.BlockBytes]
	documents := make([]string, m.Documents)
	for i := range documents {
		length := (minBlocks + random.IntN(maxBlocks-minBlocks)) * backend.BlockBytes
		var b strings.Builder
		b.WriteString(head)
		for b.Len() < length {
			fmt.Fprintf(&b, "%x ", random.Uint32())
		}
		documents[i] = b.String()
	}
	return documents
}

func sendQuestion(ctx context.Context, dispatcher dispatch.Dispatcher, shape deployment.Shape, id, prompt string) (cached int, err error) {
	ctx, cancel := context.WithTimeout(ctx, requestTimeout)
	defer cancel()
	stream, err := dispatcher.Dispatch(ctx, dispatch.Call{
		Class: dispatch.ClassRollout, Deadline: time.Now().Add(requestTimeout), Service: shape.EngineService,
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
