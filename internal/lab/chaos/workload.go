package chaos

import (
	"context"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net/http"
	"strings"
	"time"

	"github.com/nutmegway/nutmegway/internal/base/httperror"
	"github.com/nutmegway/nutmegway/internal/lab/ledger"
	"github.com/nutmegway/nutmegway/internal/standin/caller"
	"github.com/nutmegway/nutmegway/internal/standin/engine"
	"github.com/nutmegway/nutmegway/internal/standin/plain"
	"github.com/nutmegway/nutmegway/internal/standin/trainer"
)

const (
	answerTokens   = 120
	requestTimeout = 8 * time.Second
	stalenessBound = 3
	thinkTime      = 5 * time.Millisecond
	trainTime      = 200 * time.Millisecond
	trainers       = 2
	tryTimeout     = 4 * time.Second
	faultyOneIn    = 12
	// shortDeadline is too short for any generation, so that the product refuses the
	// requests that have it.
	shortDeadline      = 5 * time.Millisecond
	shortDeadlineOneIn = 10
	firstVersion       = 1
)

// bookingFaults are the faults that the plain servers inject into some bookings.
var bookingFaults = []plain.FaultKind{plain.FaultCutShort, plain.FaultLoseReply, plain.FaultReset, plain.FaultSlow}

func (r *run) newCaller(service string, zone int, seed uint64) *caller.Caller {
	entries := make([]string, 0, len(r.deployment.Nodes))
	for _, node := range r.deployment.Nodes {
		entries = append(entries, node.CallerAddress)
	}
	return &caller.Caller{
		AvailabilityZone: r.Shape.Zones[zone%len(r.Shape.Zones)],
		EntryHosts:       entries,
		HTTP:             r.client,
		Random:           rand.New(rand.NewPCG(r.Seed, seed)),
		Service:          service,
		AttemptTimeout:   tryTimeout,
	}
}

func (r *run) addTrainers() {
	versions := &trainer.Versions{}
	versions.SetInitial(firstVersion)
	for i := range trainers {
		r.trainers = append(r.trainers, &trainer.Trainer{
			Caller: r.newCaller(r.Shape.EngineService, i, uint64(i)), GroupsPerStep: 12, MaxTokens: 100,
			Name: fmt.Sprintf("trainer-%d", i), Publish: true, SampleCount: 4, Service: r.Shape.EngineService,
			StalenessBound: stalenessBound, TrainTime: trainTime, Versions: versions,
		})
	}
}

// call sends requests one after the other until ctx ends and records their outcomes.
// A request in flight when ctx ends is not cancelled.
func (r *run) call(ctx context.Context, worker int) {
	random := rand.New(rand.NewPCG(r.Seed, uint64(worker)+1))
	engines := r.newCaller(r.Shape.EngineService, worker, uint64(worker)+1)
	plains := r.newCaller(r.Shape.PlainService, worker, uint64(worker)+1)
	for i := 0; ctx.Err() == nil; i++ {
		name := fmt.Sprintf("%d-%d", worker, i)
		c := plains
		var request ledger.Request
		switch random.IntN(3) {
		case 0:
			request = r.lookUp(name)
		case 1:
			request = r.booking(name, random)
		default:
			c, request = engines, r.generation(name, random)
		}
		// Half of the requests get a single try, so that a refusal is recorded as their
		// outcome and not hidden by a retry.
		c.MaxAttempts = 1 + 7*random.IntN(2)
		requestCtx, cancel := context.WithTimeout(context.WithoutCancel(ctx), requestTimeout)
		request.Outcome = c.Do(requestCtx, request.Outcome.Request)
		cancel()
		request.Answer = answerText(request)
		r.ledger.AddRequest(request)
		_ = sleep(ctx, thinkTime) // The loop ends with ctx.
	}
}

func (r *run) plainPath(rest string) string { return "/v1/plain/" + r.Shape.PlainService + rest }

func (r *run) lookUp(name string) ledger.Request {
	path := "/checks/" + name
	return ledger.Request{
		ID: path, Kind: ledger.RequestLookup, Want: plain.LookupBody(path, 0),
		Outcome: caller.Outcome{Request: caller.Request{Idempotent: true, Method: http.MethodGet, Path: r.plainPath(path)}},
	}
}

// booking returns a booking. Half of the bookings carry an idempotency key, which
// makes them safe to repeat.
func (r *run) booking(name string, random *rand.Rand) ledger.Request {
	id := "booking-" + name
	header := http.Header{"Content-Type": {"application/json"}}
	keyed := random.IntN(2) == 0
	if keyed {
		header.Set("Idempotency-Key", id)
	}
	faulty := random.IntN(faultyOneIn) == 0
	if faulty {
		header.Set(plain.HeaderFault, string(bookingFaults[random.IntN(len(bookingFaults))]))
	}
	return ledger.Request{
		Faulty: faulty, ID: id, Kind: ledger.RequestBooking, Want: fmt.Sprintf(`{"booked":%q}`, id),
		Outcome: caller.Outcome{Request: caller.Request{
			Body: fmt.Sprintf(`{"booking-id":%q}`, id), Header: header, Idempotent: keyed,
			Method: http.MethodPost, Path: r.plainPath("/bookings"),
		}},
	}
}

func (r *run) generation(name string, random *rand.Rand) ledger.Request {
	prompt := "Check request " + name + "."
	stream := random.IntN(2) == 0
	body := fmt.Sprintf(`{"model":%q,"prompt":%q,"max_tokens":%d,"seed":%d,"stream":%t}`,
		r.Shape.EngineService, prompt, answerTokens, r.Seed, stream)
	want, _ := engine.ExpectedCompletion(prompt, int64(r.Seed), answerTokens)
	header := http.Header{"Content-Type": {"application/json"}}
	if random.IntN(shortDeadlineOneIn) == 0 {
		header.Set(httperror.HeaderDeadline, time.Now().Add(shortDeadline).Format(time.RFC3339Nano))
	}
	return ledger.Request{
		ID: prompt, Kind: ledger.RequestGeneration, Want: want,
		Outcome: caller.Outcome{Request: caller.Request{
			Body: body, Header: header, Idempotent: true,
			Method: http.MethodPost, Path: "/v1/completions",
		}},
	}
}

// answerText returns the text of a response as a caller assembles it from the body or
// the stream.
func answerText(request ledger.Request) string {
	body := string(request.Outcome.Body)
	if request.Kind != ledger.RequestGeneration {
		return body
	}
	if !strings.HasPrefix(body, "data: ") {
		return completionText(body)
	}
	var text strings.Builder
	done := false
	for line := range strings.Lines(body) {
		data, ok := strings.CutPrefix(strings.TrimSpace(line), "data: ")
		switch {
		case !ok:
		case data == "[DONE]":
			done = true
		default:
			text.WriteString(completionText(data))
		}
	}
	if !done {
		return text.String() + " (cut short)"
	}
	return text.String()
}

func completionText(data string) string {
	var completion struct {
		Choices []struct {
			Text string `json:"text"`
		} `json:"choices"`
	}
	if err := json.Unmarshal([]byte(data), &completion); err != nil || len(completion.Choices) == 0 {
		return data
	}
	return completion.Choices[0].Text
}

func sleep(ctx context.Context, d time.Duration) error {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return ctx.Err()
	case <-timer.C:
		return nil
	}
}
