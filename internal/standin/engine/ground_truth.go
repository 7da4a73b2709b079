package engine

import (
	"maps"
	"slices"
	"sync"
	"time"

	backend "github.com/nutmegway/nutmegway/internal/backend/engine"
)

// Run records what the engine did for one received request.
type Run struct {
	Cancelled bool `json:"cancelled"`
	// Crashed is true if the engine crashed during the run.
	Crashed  bool      `json:"crashed"`
	Finished bool      `json:"finished"`
	Prompt   string    `json:"prompt"`
	Resumed  int       `json:"resumed"`
	Seed     int64     `json:"seed"`
	Started  time.Time `json:"started"`
	// Segments describe the tokens generated in this run, without the resumed ones.
	Segments []backend.Segment `json:"segments"`
}

// ReceivedOrder is an order and whether the engine accepted it.
type ReceivedOrder struct {
	Accepted bool          `json:"accepted"`
	At       time.Time     `json:"at"`
	Order    backend.Order `json:"order"`
	// Stale is true if a higher fencing token had been received before.
	Stale bool `json:"stale"`
}

// GroundTruth is the engine's own record of its work. It survives crashes.
type GroundTruth struct {
	Crashes int             `json:"crashes"`
	Orders  []ReceivedOrder `json:"orders"`
	// Runs holds the runs of each request id in order of arrival.
	Runs map[string][]Run `json:"runs"`
	// Swaps are the weight versions that were activated, in order.
	Swaps []Swap `json:"swaps"`
}

// Swap is the activation of a weight version.
type Swap struct {
	At      time.Time `json:"at"`
	Version int64     `json:"version"`
}

// recorder collects the ground truth.
type recorder struct {
	mu      sync.Mutex
	crashes int
	orders  []ReceivedOrder
	runs    map[string][]*Run
	swaps   []Swap
}

func (r *recorder) startRun(request backend.CompletionRequest) *Run {
	r.mu.Lock()
	defer r.mu.Unlock()
	run := &Run{Prompt: request.PromptText(), Resumed: request.ResumeTokens, Seed: request.Seed, Started: time.Now()}
	if r.runs == nil {
		r.runs = map[string][]*Run{}
	}
	r.runs[request.RequestID] = append(r.runs[request.RequestID], run)
	return run
}

func (r *recorder) update(change func()) {
	r.mu.Lock()
	defer r.mu.Unlock()
	change()
}

func (r *recorder) snapshot() GroundTruth {
	r.mu.Lock()
	defer r.mu.Unlock()
	t := GroundTruth{
		Crashes: r.crashes, Orders: slices.Clone(r.orders), Runs: make(map[string][]Run, len(r.runs)),
		Swaps: slices.Clone(r.swaps),
	}
	for id, runs := range maps.All(r.runs) {
		for _, run := range runs {
			c := *run
			c.Segments = slices.Clone(run.Segments)
			t.Runs[id] = append(t.Runs[id], c)
		}
	}
	return t
}
