// Package quickstart runs a small deployment end to end, with rollouts across weight
// updates, checks and bookings, and verifies them by the records of the stand-ins.
package quickstart

import (
	"context"
	"fmt"
	"io"
	"log/slog"
	"math/rand/v2"
	"net/http"
	"strings"
	"sync"
	"time"

	"golang.org/x/sync/errgroup"

	"github.com/nutmegway/nutmegway/internal/base/kind"
	"github.com/nutmegway/nutmegway/internal/lab/deployment"
	"github.com/nutmegway/nutmegway/internal/standin/caller"
	standinengine "github.com/nutmegway/nutmegway/internal/standin/engine"
	"github.com/nutmegway/nutmegway/internal/standin/trainer"
)

const (
	bookings        = 8
	checks          = 16
	firstVersion    = 1
	groups          = 8
	samplesPerGroup = 4
	stalenessBound  = 2
	steps           = 3
	tokensPerSecond = 1000
	trainTime       = 300 * time.Millisecond
)

// Quickstart is one run. The fields are set before Run.
type Quickstart struct {
	Logger *slog.Logger
	// Progress receives one line for each stage.
	Progress io.Writer
	Seed     uint64
}

// Result holds the outcome of a run by the records of the stand-ins.
type Result struct {
	BookingsLost       int
	BookingsDuplicated int
	ChecksWrong        int
	Samples            trainer.CheckResult
	Seconds            float64
}

// Line returns the closing line of the output.
func (r Result) Line() string {
	return fmt.Sprintf("quickstart samples-delivered=%d lost=%d duplicated=%d mislabelled=%d over-bound=%d seconds=%.1f",
		r.Samples.Delivered, r.Samples.Lost+r.BookingsLost+r.ChecksWrong, r.Samples.Duplicated+r.BookingsDuplicated,
		r.Samples.Mislabelled+r.Samples.Wrong, r.Samples.OverStalenessBound, r.Seconds)
}

// Err returns an error if a sample, check or booking failed or if samples are
// missing, and nil otherwise.
func (r Result) Err() error {
	wanted := steps * groups * samplesPerGroup
	failures := r.BookingsLost + r.BookingsDuplicated + r.ChecksWrong + r.Samples.Lost + r.Samples.Duplicated +
		r.Samples.Mislabelled + r.Samples.OverStalenessBound + r.Samples.Wrong
	if failures > 0 || r.Samples.Delivered < wanted {
		return kind.New(kind.Internal, "run failed: got %d of %d samples and %d failures, want 0; the first sample failure: %q", r.Samples.Delivered, wanted, failures, r.Samples.FirstViolation)
	}
	return nil
}

// Shape returns the deployment of the run.
func Shape() deployment.Shape {
	shape := deployment.Brazos()
	shape.Engines, shape.Nodes, shape.Plains = 3, 3, 1
	return shape
}

// Run runs the deployment and returns the outcome.
func (q *Quickstart) Run(ctx context.Context) (Result, error) {
	begin := time.Now()
	var result Result
	d := &deployment.Deployment{
		Configure: func(_ int, engine *standinengine.Engine) { engine.TokensPerSecond = tokensPerSecond },
		Logger:    q.Logger,
		Shape:     Shape(),
	}
	err := d.Run(ctx, func(ctx context.Context) error {
		q.progressf("started 3 entry hosts in %s, 3 engines, 1 plain service", strings.Join(d.Shape.Zones, ", "))
		return q.runWorkload(ctx, d, &result)
	})
	result.Seconds = time.Since(begin).Seconds()
	return result, err
}

// runWorkload runs the trainer and the callers concurrently and checks the outcome.
func (q *Quickstart) runWorkload(ctx context.Context, d *deployment.Deployment, result *Result) error {
	t := q.trainer(d)
	group, ctx := errgroup.WithContext(ctx)
	group.Go(func() error {
		err := t.Run(ctx)
		t.Finish(ctx)
		q.progressf("trainer took %d steps", steps)
		return err
	})
	group.Go(func() error {
		result.ChecksWrong = q.sendChecks(ctx, d)
		q.progressf("%d checks answered, %d wrong", checks, result.ChecksWrong)
		return nil
	})
	group.Go(func() error {
		result.BookingsLost, result.BookingsDuplicated = q.sendBookings(ctx, d)
		q.progressf("%d bookings sent twice each, %d lost, %d run twice", bookings, result.BookingsLost, result.BookingsDuplicated)
		return nil
	})
	if err := group.Wait(); err != nil {
		return err
	}
	var truths []standinengine.GroundTruth
	for _, engine := range d.Engines {
		truths = append(truths, engine.GroundTruth())
	}
	result.Samples = trainer.Check(t.Log(), truths...)
	return nil
}

func (q *Quickstart) trainer(d *deployment.Deployment) *trainer.Trainer {
	versions := new(trainer.Versions)
	versions.SetInitial(firstVersion)
	return &trainer.Trainer{
		Caller:         q.caller(d, d.Shape.EngineService, 0),
		GroupsPerStep:  groups,
		MaxTokens:      200,
		Name:           "trainer-1",
		Publish:        true,
		SampleCount:    samplesPerGroup,
		Service:        d.Shape.EngineService,
		StalenessBound: stalenessBound,
		Steps:          steps,
		TrainTime:      trainTime,
		Versions:       versions,
	}
}

func (q *Quickstart) caller(d *deployment.Deployment, service string, i uint64) *caller.Caller {
	entries := make([]string, len(d.Nodes))
	for j, node := range d.Nodes {
		entries[j] = node.CallerAddress
	}
	return &caller.Caller{
		AvailabilityZone: d.Shape.Zones[0],
		EntryHosts:       entries,
		HTTP:             http.DefaultClient,
		Random:           rand.New(rand.NewPCG(q.Seed, i)),
		Service:          service,
	}
}

// sendChecks sends completion requests and counts the answers that differ from the
// expected ones.
func (q *Quickstart) sendChecks(ctx context.Context, d *deployment.Deployment) (wrong int) {
	c := q.caller(d, d.Shape.EngineService, 1)
	for i := range checks {
		prompt := fmt.Sprintf("Check extension request %d.", i)
		want, _ := standinengine.ExpectedCompletion(prompt, int64(i), 64)
		outcome := c.Do(ctx, caller.Request{
			Body:       fmt.Sprintf(`{"model":%q,"prompt":%q,"seed":%d,"max_tokens":64}`, d.Shape.EngineService, prompt, i),
			Idempotent: true,
			Method:     http.MethodPost,
			Path:       "/v1/completions",
		})
		if !outcome.Answered || !isCompletionOf(outcome.Body, want) {
			wrong++
		}
	}
	return wrong
}

// sendBookings sends each booking twice with the same idempotency key, through any
// nodes, and counts the bookings that were never executed or more than once.
func (q *Quickstart) sendBookings(ctx context.Context, d *deployment.Deployment) (lost, repeated int) {
	var group errgroup.Group
	for i := range uint64(bookings) {
		group.Go(func() error {
			c := q.caller(d, d.Shape.PlainService, 2+i)
			for range 2 {
				c.Do(ctx, bookingRequest(d.Shape.PlainService, i))
			}
			return nil
		})
	}
	_ = group.Wait()
	var mu sync.Mutex
	effects := make(map[string]int)
	for _, plain := range d.Plains {
		mu.Lock()
		for id, count := range plain.GroundTruth().Effects {
			effects[id] += count
		}
		mu.Unlock()
	}
	for i := range uint64(bookings) {
		switch count := effects[bookingID(i)]; {
		case count == 0:
			lost++
		case count > 1:
			repeated++
		}
	}
	return lost, repeated
}

func bookingID(i uint64) string { return fmt.Sprintf("booking-%d", i) }

func bookingRequest(service string, i uint64) caller.Request {
	return caller.Request{
		Body:       fmt.Sprintf(`{"booking-id":%q}`, bookingID(i)),
		Header:     http.Header{"Idempotency-Key": {bookingID(i)}, "Content-Type": {"application/json"}},
		Idempotent: true,
		Method:     http.MethodPost,
		Path:       "/v1/plain/" + service + "/bookings",
	}
}

func (q *Quickstart) progressf(format string, args ...any) {
	fmt.Fprintf(q.Progress, format+"\n", args...)
}
