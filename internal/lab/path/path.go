// Package path measures the latency, the loss of throughput and the memory that an
// entry host adds between a caller and a backend server.
package path

import (
	"bytes"
	"cmp"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"maps"
	"net/http"
	"net/http/httptest"
	"runtime"
	"strings"
	"time"

	"github.com/tmaxmax/go-sse"
	"golang.org/x/sync/errgroup"

	"github.com/nutmegway/nutmegway/internal/base/httperror"
	"github.com/nutmegway/nutmegway/internal/base/kind"
	"github.com/nutmegway/nutmegway/internal/base/wait"
	"github.com/nutmegway/nutmegway/internal/lab/deployment"
	"github.com/nutmegway/nutmegway/internal/lab/load"
	"github.com/nutmegway/nutmegway/internal/lab/report"
	"github.com/nutmegway/nutmegway/internal/standin/engine"
	"github.com/nutmegway/nutmegway/internal/standin/plain"
)

const (
	longAnswerTokens  = 2000
	shortAnswerTokens = 64
)

const (
	// settleLimit bounds the wait until closed idle streams, and the calls that cancel
	// them at the engine, leave no goroutine behind. settlePollInterval is the time
	// between two checks.
	settleLimit        = 5 * time.Second
	settlePollInterval = 10 * time.Millisecond
	// forwardBufferBytes is the size of the forwarder's read buffer. An event of a
	// stream has a few hundred bytes.
	forwardBufferBytes = 4 << 10
)

// The targets of the measure: added median latency, memory per stream, and the
// ratio of the proxied throughput to the direct one.
const (
	addedTargetMillis = 0.25
	memoryTargetKB    = 20.0
	ratioTarget       = 0.6
)

// Measure is one run. The fields are set before Run.
type Measure struct {
	// Connections is the number of callers in the throughput phases.
	Connections int
	// Phase is the length of each phase.
	Phase time.Duration
	Seed  uint64
	// Streams is the number of idle streams whose memory is measured.
	Streams int
}

// route holds the base URLs of one path to the backend servers.
type route struct {
	engine string
	plain  string
}

// run is the state that the phases share.
type run struct {
	Measure
	client     *http.Client
	deployed   *deployment.Deployment
	direct     route
	firstError error
	// forwarded goes through a plain reverse proxy without routing decisions.
	forwarded route
	lost      int
	proxied   route
	refused   int
	report    *report.Report
}

// Run starts one entry host, one engine and one plain server, and compares the
// direct path with the path through the entry host.
func (m Measure) Run(ctx context.Context) (*report.Report, error) {
	shape := deployment.Brazos()
	shape.Engines, shape.Plains, shape.Nodes = 1, 1, 1
	d := &deployment.Deployment{Shape: shape, Configure: func(_ int, e *engine.Engine) {
		e.BatchSlowdown, e.Slots, e.TokensPerSecond = 1e-9, 2*m.Streams+m.Connections, 100_000
	}}
	r := &run{Measure: m, deployed: d, report: &report.Report{Name: "path", XLabel: "latency in ms", YLabel: "share"}}
	r.client = &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: m.Connections + m.Streams}}
	err := d.Run(ctx, func(ctx context.Context) error {
		r.direct = route{engine: "http://" + d.Engines[0].Address, plain: "http://" + d.Plains[0].Address}
		entry := "http://" + d.Nodes[0].CallerAddress
		r.proxied = route{engine: entry, plain: entry + "/v1/plain/" + shape.PlainService}
		engines, plains := forwarder(r.direct.engine, m.Connections+m.Streams), forwarder(r.direct.plain, m.Connections+m.Streams)
		defer engines.Close()
		defer plains.Close()
		r.forwarded = route{engine: engines.URL, plain: plains.URL}
		return r.phases(ctx)
	})
	return r.report, err
}

// forwarder starts a plain reverse proxy to address that keeps as many idle
// connections as the entry host. It shows the cost of net/http alone, on both sides of
// a proxy.
func forwarder(address string, connections int) *httptest.Server {
	transport := &http.Transport{MaxIdleConnsPerHost: connections}
	return httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		outgoing, err := http.NewRequestWithContext(r.Context(), r.Method, address+r.RequestURI, r.Body)
		if err != nil {
			panic(http.ErrAbortHandler)
		}
		outgoing.ContentLength, outgoing.Header = r.ContentLength, r.Header
		response, err := transport.RoundTrip(outgoing)
		if err != nil {
			panic(http.ErrAbortHandler)
		}
		defer response.Body.Close() //nolint:errcheck // The body was read.
		maps.Copy(w.Header(), response.Header)
		w.WriteHeader(response.StatusCode)
		controller := http.NewResponseController(w)
		buffer := make([]byte, forwardBufferBytes)
		for {
			n, err := response.Body.Read(buffer)
			if _, writeErr := w.Write(buffer[:n]); writeErr != nil || controller.Flush() != nil {
				panic(http.ErrAbortHandler)
			}
			if errors.Is(err, io.EOF) {
				return
			}
			if err != nil {
				panic(http.ErrAbortHandler)
			}
		}
	}))
}

func (r *run) phases(ctx context.Context) error {
	r.latency(ctx)
	r.throughput(ctx)
	r.streams(ctx)
	if err := r.longStream(ctx); err != nil {
		return err
	}
	if err := r.memory(ctx); err != nil {
		return err
	}
	r.report.Add("lost", r.lost)
	r.report.Add("refused", r.refused)
	r.report.Requiref(r.lost == 0, "%d operations failed or got a wrong answer, want 0; the first error: %v", r.lost, r.firstError)
	return nil
}

// latency measures small calls on both paths in turns, so that changes in the load of
// the machine affect both alike.
func (r *run) latency(ctx context.Context) {
	const rounds = 8
	var direct, proxied load.Result
	for range rounds {
		direct = direct.Merge(r.runLookups(ctx, r.direct, 1, r.Phase/rounds))
		proxied = proxied.Merge(r.runLookups(ctx, r.proxied, 1, r.Phase/rounds))
	}
	r.addRow("small-call", direct, proxied)
	added := proxied.QuantileMilliseconds(0.5) - direct.QuantileMilliseconds(0.5)
	r.report.Add("p50-added-ms", added)
	r.report.Requiref(added <= addedTargetMillis, "p50-added-ms is %.3f, want at most %.2f", added, addedTargetMillis)
	r.report.Add("p99-added-ms", proxied.QuantileMilliseconds(0.99)-direct.QuantileMilliseconds(0.99))
	r.report.Curves = []report.Curve{
		report.Cumulative("direct", direct.LatencyMilliseconds()),
		report.Cumulative("proxied", proxied.LatencyMilliseconds()),
	}
}

func (r *run) throughput(ctx context.Context) {
	direct := r.runLookups(ctx, r.direct, r.Connections, r.Phase)
	proxied := r.runLookups(ctx, r.proxied, r.Connections, r.Phase)
	r.addRow(fmt.Sprintf("small-call-%d", r.Connections), direct, proxied)
	forwarded := r.runLookups(ctx, r.forwarded, r.Connections, r.Phase)
	r.report.Add("forwarder-throughput-ratio", forwarded.PerSecond()/direct.PerSecond())
	ratio := proxied.PerSecond() / direct.PerSecond()
	r.report.Add("throughput-ratio", ratio)
	r.report.Requiref(ratio >= ratioTarget, "throughput-ratio is %.3f, want at least %.2f", ratio, ratioTarget)
}

func (r *run) streams(ctx context.Context) {
	firstToken := func(to route) load.Result {
		result := load.Run(ctx, 1, r.Phase/2, func(ctx context.Context, _ int) error {
			return r.firstToken(ctx, to)
		})
		r.countErrors(result)
		return result
	}
	r.addRow("first-token", firstToken(r.direct), firstToken(r.proxied))
	completeStream := func(to route) load.Result {
		result := load.Run(ctx, r.Connections, r.Phase, func(ctx context.Context, _ int) error {
			return r.generate(ctx, to, prompt(shortAnswerTokens))
		})
		r.countErrors(result)
		return result
	}
	r.addRow(fmt.Sprintf("stream-of-%d-tokens-%d", shortAnswerTokens, r.Connections), completeStream(r.direct), completeStream(r.proxied))
}

// countErrors counts failed operations. A refusal because of overload counts as
// refused and not as lost if the request was not executed.
func (r *run) countErrors(result load.Result) {
	for _, err := range result.Errors {
		if e := kind.Of(err); e.Kind == kind.Overloaded && e.Ran == kind.RanNo {
			r.refused++
			continue
		}
		r.lost++
		r.firstError = cmp.Or(r.firstError, err)
	}
}

func (r *run) addRow(name string, direct, proxied load.Result) {
	r.report.AddRow(
		report.Value{Key: "phase", Value: name},
		report.Value{Key: "direct-p50-ms", Value: direct.QuantileMilliseconds(0.5)},
		report.Value{Key: "proxied-p50-ms", Value: proxied.QuantileMilliseconds(0.5)},
		report.Value{Key: "direct-p99-ms", Value: direct.QuantileMilliseconds(0.99)},
		report.Value{Key: "proxied-p99-ms", Value: proxied.QuantileMilliseconds(0.99)},
		report.Value{Key: "direct-per-second", Value: direct.PerSecond()},
		report.Value{Key: "proxied-per-second", Value: proxied.PerSecond()},
		report.Value{Key: "ratio", Value: proxied.PerSecond() / direct.PerSecond()},
	)
}

func (r *run) runLookups(ctx context.Context, to route, workers int, length time.Duration) load.Result {
	want := plain.LookupBody("/checks/1", 0)
	result := load.Run(ctx, workers, length, func(ctx context.Context, _ int) error {
		request, err := http.NewRequestWithContext(ctx, http.MethodGet, to.plain+"/checks/1", nil)
		if err != nil {
			return err
		}
		response, err := r.client.Do(request)
		if err != nil {
			return err
		}
		defer response.Body.Close() //nolint:errcheck // The body was read.
		body, err := io.ReadAll(response.Body)
		if err == nil && string(body) != want {
			return errWrongAnswer
		}
		return err
	})
	r.countErrors(result)
	return result
}

var errWrongAnswer = errors.New("answer differs from the expected one")

func prompt(tokens int) string { return fmt.Sprintf("[tokens=%d] Assess the request.", tokens) }

// openStream starts a streamed generation and returns its response.
func (r *run) openStream(ctx context.Context, to route, text string) (*http.Response, error) {
	body, err := json.Marshal(map[string]any{
		"max_tokens": longAnswerTokens, "model": r.deployed.Shape.EngineService, "prompt": text, "seed": r.Seed, "stream": true,
	})
	if err != nil {
		return nil, err
	}
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, to.engine+"/v1/completions", bytes.NewReader(body))
	if err != nil {
		return nil, err
	}
	response, err := r.client.Do(request)
	if err != nil {
		return nil, err
	}
	if response.StatusCode != http.StatusOK {
		defer response.Body.Close() //nolint:errcheck // The answer is an error.
		return nil, httperror.Read(response)
	}
	return response, nil
}

func (r *run) firstToken(ctx context.Context, to route) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	response, err := r.openStream(ctx, to, prompt(shortAnswerTokens))
	if err != nil {
		return err
	}
	defer response.Body.Close() //nolint:errcheck // The rest of the stream is not needed.
	_, err = io.ReadFull(response.Body, make([]byte, 1))
	return err
}

// generate reads a complete stream and checks its text.
func (r *run) generate(ctx context.Context, to route, text string) error {
	response, err := r.openStream(ctx, to, text)
	if err != nil {
		return err
	}
	defer response.Body.Close() //nolint:errcheck // The body was read.
	var answer strings.Builder
	done := false
	for event, err := range sse.Read(response.Body, nil) {
		if err != nil {
			return err
		}
		if event.Data == "[DONE]" {
			done = true
			continue
		}
		var part struct {
			Choices []struct {
				Text string `json:"text"`
			} `json:"choices"`
		}
		if err := json.Unmarshal([]byte(event.Data), &part); err != nil {
			return err
		}
		for _, choice := range part.Choices {
			answer.WriteString(choice.Text)
		}
	}
	want, _ := engine.ExpectedCompletion(text, int64(r.Seed), longAnswerTokens)
	if !done || answer.String() != want {
		return errWrongAnswer
	}
	return nil
}

func (r *run) longStream(ctx context.Context) error {
	for _, to := range []route{r.direct, r.proxied} {
		if err := r.generate(ctx, to, prompt(longAnswerTokens)); err != nil {
			r.lost++
			return err
		}
	}
	return nil
}

// memory reports the memory that a stream takes in the entry host: the difference
// between the memory of idle proxied streams and that of idle direct streams.
func (r *run) memory(ctx context.Context) error {
	direct, err := r.idleStreamMemory(ctx, r.direct)
	if err != nil {
		return err
	}
	proxied, err := r.idleStreamMemory(ctx, r.proxied)
	if err != nil {
		return err
	}
	forwarded, err := r.idleStreamMemory(ctx, r.forwarded)
	if err != nil {
		return err
	}
	const kilobyte = 1024
	r.report.Add("forwarder-stream-memory-kb", float64(forwarded-direct)/float64(r.Streams)/kilobyte)
	size := float64(proxied-direct) / float64(r.Streams) / kilobyte
	r.report.Add("stream-memory-kb", size)
	r.report.Requiref(size <= memoryTargetKB, "stream-memory-kb is %.1f, want at most %.0f", size, memoryTargetKB)
	return nil
}

// idleStreamMemory returns the memory of open idle streams, including the caller and
// the engine stand-in.
func (r *run) idleStreamMemory(ctx context.Context, to route) (int64, error) {
	r.client.CloseIdleConnections()
	goroutines := runtime.NumGoroutine()
	before := memoryInUse()
	r.deployed.Engines[0].Inject(engine.Fault{AfterTokens: 1, Count: r.Streams, Kind: engine.FaultHang})
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	var group errgroup.Group
	responses := make([]*http.Response, r.Streams)
	for i := range r.Streams {
		group.Go(func() error {
			response, err := r.openStream(ctx, to, prompt(longAnswerTokens)) //nolint:bodyclose // The loop below closes it.
			if err != nil {
				return err
			}
			responses[i] = response
			_, err = io.ReadFull(response.Body, make([]byte, 1))
			return err
		})
	}
	err := group.Wait()
	used := memoryInUse() - before
	cancel()
	for _, response := range responses {
		if response != nil {
			_ = response.Body.Close() // The rest of the stream is not needed.
		}
	}
	r.client.CloseIdleConnections()
	// Wait until the goroutines of these streams have ended in the caller, the entry host
	// and the engine, so that they do not distort the next measurement.
	for began := time.Now(); runtime.NumGoroutine() > goroutines && time.Since(began) < settleLimit; {
		wait.For(context.WithoutCancel(ctx), settlePollInterval)
	}
	return used, err
}

func memoryInUse() int64 {
	runtime.GC()
	var stats runtime.MemStats
	runtime.ReadMemStats(&stats)
	return int64(stats.HeapAlloc + stats.StackInuse)
}
