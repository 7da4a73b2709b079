// Package poison measures how many backend servers a poison request (one that
// crashes the server that runs it) takes down, and whether harmless requests are
// quarantined.
package poison

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"sync"
	"time"

	"github.com/google/uuid"
	"golang.org/x/sync/errgroup"

	"github.com/nutmegway/nutmegway/internal/base/httperror"
	"github.com/nutmegway/nutmegway/internal/base/kind"
	"github.com/nutmegway/nutmegway/internal/lab/deployment"
	"github.com/nutmegway/nutmegway/internal/lab/report"
	"github.com/nutmegway/nutmegway/internal/request/balance"
	"github.com/nutmegway/nutmegway/internal/request/direct"
	"github.com/nutmegway/nutmegway/internal/standin/engine"
)

const (
	// maxServersLost is the largest allowed number of crashes by one poison request.
	maxServersLost = 3
	// harmlessInterval is the time between two harmless requests.
	harmlessInterval = 10 * time.Millisecond
	// unrelatedCrashes is the number of crashes that are not caused by a request.
	unrelatedCrashes       = 4
	unrelatedCrashInterval = 500 * time.Millisecond
	requestTimeout         = 8 * time.Second
	// restartAfter is the time after which a crashed engine restarts.
	restartAfter    = time.Second
	tokensPerSecond = 200
)

// Measure is one run. The fields are set before Run.
type Measure struct {
	// Repeats is the number of times that callers send the poison request.
	Repeats int
	Seed    uint64
	Shape   deployment.Shape
}

// Run sends poison requests whose prompts differ only in a UUID, in one trial
// sequentially and in another concurrently. A third trial measures round robin as the
// baseline. Each trial also sends harmless requests throughout. At its end it crashes
// engines for a reason other than a request.
func (m Measure) Run(ctx context.Context) (*report.Report, error) {
	r := &report.Report{Name: "poison"}
	oneByOne, err := m.runTrial(ctx, r, "one-by-one", nil, false)
	if err != nil {
		return r, err
	}
	together, err := m.runTrial(ctx, r, "together", nil, true)
	if err != nil {
		return r, err
	}
	baseline, err := m.runTrial(ctx, r, "baseline", func() balance.Policy[direct.Candidate] {
		return &balance.RoundRobin[direct.Candidate]{}
	}, false)
	if err != nil {
		return r, err
	}
	lost := max(oneByOne.serversLost, together.serversLost)
	wrongly := oneByOne.falselyQuarantined + together.falselyQuarantined
	failed := oneByOne.harmlessFailed + together.harmlessFailed
	r.Add("servers-lost", lost)
	r.Add("baseline-servers-lost", baseline.serversLost)
	r.Add("quarantined-wrongly", wrongly)
	r.Add("harmless-failed", failed)
	r.Add("baseline-harmless-failed", baseline.harmlessFailed)
	r.Requiref(lost <= maxServersLost, "the poison request crashed servers %d times, want at most %d", lost, maxServersLost)
	r.Requiref(wrongly == 0, "%d harmless requests were quarantined, want 0", wrongly)
	return r, nil
}

// result holds the counts of one trial. harmlessFailed excludes the requests that were
// refused without being executed, which harmlessRefused counts. serversLost counts the
// crashes until all poison requests have ended.
type result struct {
	harmless           int
	harmlessFailed     int
	harmlessErrorKinds map[kind.Kind]int
	harmlessRefused    int
	poisonQuarantined  int
	falselyQuarantined int
	serversLost        int
}

// trial is one run of a deployment.
type trial struct {
	Measure
	client   *http.Client
	deployed *deployment.Deployment

	mu     sync.Mutex
	result result
}

func (m Measure) runTrial(ctx context.Context, r *report.Report, name string, policy func() balance.Policy[direct.Candidate], concurrent bool) (result, error) {
	d := &deployment.Deployment{NewBaselinePolicy: policy, Shape: m.Shape, Configure: func(_ int, e *engine.Engine) {
		e.TokensPerSecond = tokensPerSecond
	}}
	t := &trial{Measure: m, client: &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 1 << 8}}, deployed: d}
	t.result.harmlessErrorKinds = make(map[kind.Kind]int)
	defer t.client.CloseIdleConnections()
	err := d.Run(ctx, func(ctx context.Context) error { return t.run(ctx, concurrent) })
	r.AddRow(
		report.Value{Key: "trial", Value: name},
		report.Value{Key: "servers-lost", Value: t.result.serversLost},
		report.Value{Key: "poison-refused", Value: t.result.poisonQuarantined},
		report.Value{Key: "harmless", Value: t.result.harmless},
		report.Value{Key: "harmless-failed", Value: t.result.harmlessFailed},
		report.Value{Key: "harmless-refused", Value: t.result.harmlessRefused},
		report.Value{Key: "harmless-kinds", Value: fmt.Sprint(t.result.harmlessErrorKinds)},
		report.Value{Key: "quarantined-wrongly", Value: t.result.falselyQuarantined},
	)
	return t.result, err
}

func (t *trial) run(ctx context.Context, concurrent bool) error {
	background, stop := context.WithCancel(ctx)
	var others errgroup.Group
	others.Go(func() error { return t.restartCrashed(background) })
	others.Go(func() error { return t.sendHarmless(background) })
	time.Sleep(unrelatedCrashInterval)
	t.sendPoison(ctx, concurrent)
	t.result.serversLost = t.totalCrashes()
	for i := range unrelatedCrashes {
		t.deployed.Engines[(int(t.Seed)+i)%len(t.deployed.Engines)].Crash()
		time.Sleep(unrelatedCrashInterval)
	}
	stop()
	return others.Wait()
}

func (t *trial) totalCrashes() int {
	total := 0
	for _, e := range t.deployed.Engines {
		total += e.GroundTruth().Crashes
	}
	return total
}

func (t *trial) sendPoison(ctx context.Context, concurrent bool) {
	var group errgroup.Group
	if !concurrent {
		group.SetLimit(1)
	}
	for i := range t.Repeats {
		group.Go(func() error {
			id := fmt.Sprintf("poison-%d", i)
			err := t.send(ctx, i, id, "[poison] assess filing "+uuid.NewString())
			t.mu.Lock()
			defer t.mu.Unlock()
			if kind.Is(err, kind.Quarantined) {
				t.result.poisonQuarantined++
			}
			return nil
		})
	}
	_ = group.Wait() // The requests record their outcomes in the result.
}

// sendHarmless sends requests until ctx ends and waits for their answers.
func (t *trial) sendHarmless(ctx context.Context) error {
	var group errgroup.Group
	for i := 0; ctx.Err() == nil; i++ {
		group.Go(func() error {
			err := t.send(context.WithoutCancel(ctx), i, fmt.Sprintf("good-%d", i), fmt.Sprintf("[tokens=60] harmless question of caller %d", i))
			t.mu.Lock()
			defer t.mu.Unlock()
			t.result.harmless++
			if err != nil {
				t.result.harmlessErrorKinds[kind.Of(err).Kind]++
			}
			switch {
			case err == nil:
			case kind.Of(err).Ran == kind.RanNo:
				t.result.harmlessRefused++
			default:
				t.result.harmlessFailed++
			}
			if kind.Is(err, kind.Quarantined) {
				t.result.falselyQuarantined++
			}
			return nil
		})
		time.Sleep(harmlessInterval)
	}
	return group.Wait()
}

// restartCrashed restarts each crashed engine after restartAfter until ctx ends.
func (t *trial) restartCrashed(ctx context.Context) error {
	seen := make([]int, len(t.deployed.Engines))
	downSince := make([]time.Time, len(t.deployed.Engines))
	ticker := time.NewTicker(harmlessInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case now := <-ticker.C:
			for i, e := range t.deployed.Engines {
				if crashes := e.GroundTruth().Crashes; crashes > seen[i] {
					seen[i], downSince[i] = crashes, now
				}
				if !downSince[i].IsZero() && now.Sub(downSince[i]) > restartAfter {
					downSince[i] = time.Time{}
					e.Restart()
				}
			}
		}
	}
}

// send sends request i to one of the nodes, in turn, and returns its error.
func (t *trial) send(ctx context.Context, i int, id, prompt string) error {
	ctx, cancel := context.WithTimeout(ctx, requestTimeout)
	defer cancel()
	body, err := json.Marshal(map[string]any{
		"max_tokens": 100, "model": t.deployed.Shape.EngineService, "prompt": prompt, "seed": t.Seed,
	})
	if err != nil {
		return err
	}
	nodes := t.deployed.Nodes
	request, err := http.NewRequestWithContext(ctx, http.MethodPost,
		"http://"+nodes[i%len(nodes)].CallerAddress+"/v1/completions", bytes.NewReader(body))
	if err != nil {
		return err
	}
	request.Header.Set(httperror.HeaderRequestID, id)
	response, err := t.client.Do(request)
	if err != nil {
		return err
	}
	defer response.Body.Close() //nolint:errcheck // The body was read.
	if response.StatusCode != http.StatusOK {
		return httperror.Read(response)
	}
	answer, err := io.ReadAll(response.Body)
	if err == nil && !json.Valid(answer) {
		err = errors.New("answer with status 200 is not valid JSON")
	}
	return err
}
