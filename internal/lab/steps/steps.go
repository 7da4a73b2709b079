// Package steps measures the training steps of trainers that share engines: how
// long the trainers wait, how stale their samples are, and how close the makespan of
// a run is to that of a clairvoyant scheduler, which knows all lengths in advance.
package steps

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"slices"
	"strings"
	"time"

	"github.com/zeebo/xxh3"
	"golang.org/x/sync/errgroup"

	"github.com/nutmegway/nutmegway/internal/lab/deployment"
	"github.com/nutmegway/nutmegway/internal/lab/report"
	"github.com/nutmegway/nutmegway/internal/request/balance"
	"github.com/nutmegway/nutmegway/internal/request/direct"
	"github.com/nutmegway/nutmegway/internal/standin/caller"
	"github.com/nutmegway/nutmegway/internal/standin/engine"
	"github.com/nutmegway/nutmegway/internal/standin/trainer"
)

// The workload of a run.
const (
	engineSlots     = 8
	groupsPerStep   = 12
	maxTokens       = 48
	promptWords     = 8
	samplesPerGroup = 8
	stalenessBound  = 2
	stepCount       = 5
	swapTime        = 200 * time.Millisecond
	tokensPerSecond = 40.0
	trainTime       = 700 * time.Millisecond
	tryTimeout      = 4 * time.Second
	runLimit        = 20 * time.Second
)

// The targets of the measure. idleTarget is the largest allowed idle time of the
// product's trainers relative to the baseline. ratioTarget, and with faults faultyTarget,
// is the largest allowed makespan relative to its lower bound.
const (
	idleTarget   = 0.6
	ratioTarget  = 1.15
	faultyTarget = 1.4
)

// Measure is one run. The fields are set before Run.
type Measure struct {
	// Deployment is "brazos" or "halvorsen".
	Deployment string
	Faults     bool
	Seed       uint64
	Trainers   int
}

// result holds the values of one arm of the measure, the product or the baseline.
type result struct {
	duplicated     int
	firstViolation string
	idleTime       time.Duration
	lost           int
	mislabelled    int
	overBound      int
	staleness      []int64
	// makespan is the time from the start of the trainers until they have finished and
	// their samples have been checked.
	makespan time.Duration
	// tokens is the number of tokens of all samples.
	tokens int
	wrong  int
}

// Run runs the baseline and then the product on the same workload.
func (m Measure) Run(ctx context.Context) (*report.Report, error) {
	shape, ok := deployment.Named(m.Deployment)
	if !ok {
		return nil, fmt.Errorf("unknown deployment %q", m.Deployment)
	}
	baseline, err := m.runArm(ctx, shape, func() balance.Policy[direct.Candidate] {
		return balance.LeastOutstanding[direct.Candidate]{Outstanding: direct.Outstanding}
	})
	if err != nil {
		return nil, err
	}
	product, err := m.runArm(ctx, shape, nil)
	if err != nil {
		return nil, err
	}
	return m.report(shape, product, baseline), nil
}

// runArm runs the workload on a new deployment. A nil baseline measures the product.
func (m Measure) runArm(ctx context.Context, shape deployment.Shape, baseline func() balance.Policy[direct.Candidate]) (result, error) {
	d := &deployment.Deployment{NewBaselinePolicy: baseline, Shape: shape, Configure: func(_ int, e *engine.Engine) {
		e.Slots, e.SwapTime, e.TokensPerSecond = engineSlots, swapTime, tokensPerSecond
	}}
	var res result
	err := d.Run(ctx, func(ctx context.Context) error {
		ctx, cancel := context.WithTimeout(ctx, runLimit)
		defer cancel()
		trainers := m.newTrainers(d)
		begin := time.Now()
		if err := m.runTrainers(ctx, d, trainers); err != nil {
			return err
		}
		res = checkSamples(d, trainers)
		res.makespan = time.Since(begin)
		return nil
	})
	return res, err
}

func (m Measure) newTrainers(d *deployment.Deployment) []*trainer.Trainer {
	versions := &trainer.Versions{}
	versions.SetInitial(1)
	var entries []string
	for _, node := range d.Nodes {
		entries = append(entries, node.CallerAddress)
	}
	trainers := make([]*trainer.Trainer, m.Trainers)
	for i := range trainers {
		trainers[i] = &trainer.Trainer{
			StepsAhead: 1,
			Caller: &caller.Caller{
				AvailabilityZone: d.Shape.Zones[i%len(d.Shape.Zones)],
				EntryHosts:       entries,
				HTTP:             &http.Client{},
				Random:           rand.New(rand.NewPCG(m.Seed, uint64(i))),
				Service:          d.Shape.EngineService,
				AttemptTimeout:   tryTimeout,
			},
			GroupsPerStep: groupsPerStep, MaxTokens: maxTokens,
			Name:   fmt.Sprintf("trainer-%d-%d", m.Seed, i),
			Prompt: groupPrompt, SampleCount: samplesPerGroup,
			// Only the first trainer publishes versions. The others use samples of its
			// versions.
			Publish: i == 0,
			Service: d.Shape.EngineService, StalenessBound: stalenessBound, Steps: stepCount,
			TrainTime: trainTime, Versions: versions,
		}
	}
	return trainers
}

// subjects are the words of the prompts. The prompts differ in their words, as real
// prompts do, because prompts that differ only in numbers count as the same content.
var subjects = [...]string{
	"appointment", "bench", "cedar", "dawn", "extension", "family", "granite", "hemlock",
	"inscription", "juniper", "lichen", "moss", "office", "plot", "quiet", "valley",
}

// groupPrompt returns the prompt of a group. The prompt sets the length of all samples of
// the group, because all answers to a hard task are long. The samples of about 45% of
// the groups are shorter than a quarter of maxTokens, and those of about 8% have
// maxTokens.
func groupPrompt(id string) string {
	hash := xxh3.HashString(id)
	u := float64(hash%1000) / 1000
	tokens := int(maxTokens * min(1, 0.15+0.85*u*u*u*1.3))
	words := make([]string, promptWords)
	for i := range words {
		words[i] = subjects[hash%uint64(len(subjects))]
		hash /= uint64(len(subjects))
	}
	return fmt.Sprintf("Assess %s %s [tokens=%d].", id, strings.Join(words, " "), tokens)
}

// runTrainers runs the trainers until they finish and injects faults meanwhile if
// Faults is set.
func (m Measure) runTrainers(ctx context.Context, d *deployment.Deployment, trainers []*trainer.Trainer) error {
	group, ctx := errgroup.WithContext(ctx)
	faultsCtx, done := context.WithCancel(ctx)
	defer done()
	var faults errgroup.Group
	if m.Faults {
		faults.Go(func() error { return m.injectFaults(faultsCtx, d) })
	}
	for _, t := range trainers {
		group.Go(func() error {
			if err := t.Run(ctx); err != nil {
				return err
			}
			t.Finish(ctx)
			return nil
		})
	}
	err := group.Wait()
	done()
	if faultErr := faults.Wait(); err == nil {
		err = faultErr
	}
	return err
}

// injectFaults injects faults until ctx ends: engines that crash and restart with
// their initial weights, slow and hanging generations, failed swaps, reset streams
// and a short outage of the key-value store.
func (m Measure) injectFaults(ctx context.Context, d *deployment.Deployment) error {
	random := rand.New(rand.NewPCG(m.Seed, 1))
	pick := func() *engine.Engine { return d.Engines[random.IntN(len(d.Engines))] }
	faults := []func(){
		func() { pick().Inject(engine.Fault{AfterTokens: 5, Count: 3, Kind: engine.FaultSlow}) },
		func() {
			e := pick()
			e.Crash()
			e.Restart()
		},
		func() { pick().Inject(engine.Fault{Kind: engine.FaultSwapPartway}) },
		func() { pick().Inject(engine.Fault{AfterTokens: 10, Kind: engine.FaultHang}) },
		func() { d.Store.SetDown(true) },
		func() { d.Store.SetDown(false) },
		func() { pick().Inject(engine.Fault{AfterTokens: 5, Kind: engine.FaultReset}) },
	}
	defer d.Store.SetDown(false)
	for {
		for _, inject := range faults {
			if err := pause(ctx, 600*time.Millisecond); err != nil {
				return nil
			}
			inject()
		}
	}
}

func pause(ctx context.Context, d time.Duration) error {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return ctx.Err()
	case <-timer.C:
		return nil
	}
}

// checkSamples checks the samples of every trainer against the engines' own records.
func checkSamples(d *deployment.Deployment, trainers []*trainer.Trainer) result {
	var res result
	truths := make([]engine.GroundTruth, len(d.Engines))
	for i, e := range d.Engines {
		truths[i] = e.GroundTruth()
	}
	for _, t := range trainers {
		log := t.Log()
		verdict := trainer.Check(log, truths...)
		res.duplicated += verdict.Duplicated
		res.idleTime += verdict.Idle
		res.lost += verdict.Lost
		res.mislabelled += verdict.Mislabelled
		res.overBound += verdict.OverStalenessBound
		res.wrong += verdict.Wrong
		if res.firstViolation == "" {
			res.firstViolation = verdict.FirstViolation
		}
		for _, record := range log.Records {
			oldest := record.Sample.Spans[0].Version
			for _, span := range record.Sample.Spans {
				oldest = min(oldest, span.Version)
			}
			res.staleness = append(res.staleness, max(0, record.Published-oldest))
		}
		for _, group := range log.Groups {
			for i := range group.SampleCount {
				_, tokens := engine.ExpectedCompletion(group.Prompt, group.Seed+int64(i), group.MaxTokens)
				res.tokens += tokens
			}
		}
	}
	slices.Sort(res.staleness)
	return res
}
