package idempotency

import (
	"bytes"
	"context"
	"log/slog"
	"sync"
	"time"

	"github.com/zeebo/errs"
	"go.opentelemetry.io/otel"

	"github.com/nutmegway/nutmegway/internal/base/kind"
	"github.com/nutmegway/nutmegway/internal/external/kv"
	"github.com/nutmegway/nutmegway/internal/fleet/member"
)

const (
	// DefaultIntentTimeout bounds the time to write the intent.
	DefaultIntentTimeout = 3 * time.Second
	// DefaultRecordWait is how long an answer waits for its record.
	DefaultRecordWait = 250 * time.Millisecond

	// restartGap is how much higher the incarnation of a node's next process is
	// at least: a process starts with the milliseconds of the clock, and adds
	// one for each suspicion that it refutes.
	restartGap = 100

	firstPoll = 20 * time.Millisecond
	maxPoll   = 500 * time.Millisecond
	// resendEvery is the time between two sendings of a write whose outcome is
	// open.
	resendEvery = 50 * time.Millisecond
	// stillRunsRetryAfter is told to a caller whose request still runs.
	stillRunsRetryAfter = time.Second
)

// Request is a request with an idempotency key.
type Request struct {
	Deadline    time.Time
	Fingerprint string
	// KeepFor is how long the record is kept after the deadline.
	KeepFor time.Duration
	Key     Key
}

// Result is an answer and whether it was recorded by an earlier attempt.
type Result struct {
	Answer   Answer
	Replayed bool
}

// Guard runs requests at most once. The fields are set before Run.
type Guard struct {
	Committer Committer
	// IntentTimeout bounds the time to write the intent. Zero means
	// DefaultIntentTimeout.
	IntentTimeout time.Duration
	Logger        *slog.Logger
	Members       member.View
	// RecordWait is how long an answer waits for its record to be written
	// before it is sent; the record is written in any case. Zero means
	// DefaultRecordWait.
	RecordWait time.Duration
	Store      kv.Store

	mu      sync.Mutex
	jobs    chan *job
	running map[string]chan struct{}
}

// Do runs the request unless an earlier attempt under its key has or may have
// run; then it answers as that one did, waits for it, or returns an error. run
// sends the request to at most one backend server; its errors say whether the
// request can have run. Its context does not end with the caller's connection,
// because a repeat wants the answer.
func (g *Guard) Do(ctx context.Context, request Request, run func(context.Context) (Answer, error)) (Result, error) {
	ctx, span := otel.Tracer("nutmegway/idempotency").Start(ctx, "idempotency")
	defer span.End()
	self := g.Members.Self()
	request.KeepFor = keepFor(request, time.Now())
	a := &attempt{
		guard: g,
		record: Record{
			At:          time.Now().UTC(),
			Attempt:     newAttempt(),
			Fingerprint: request.Fingerprint,
			Incarnation: self.Incarnation,
			Node:        self.ID,
			State:       StateIntent,
		},
		request: request,
		run:     run,
	}
	g.begin(a.record.Attempt)
	return a.do(ctx)
}

// keepFor returns how long a record is kept, so that an intent does not end
// before its request. It is rounded up, so that records share leases.
func keepFor(request Request, now time.Time) time.Duration {
	left := max(0, request.Deadline.Sub(now))
	return request.KeepFor + (left + leaseSlot - 1).Truncate(leaseSlot)
}

// begin notes that an attempt of this process runs.
func (g *Guard) begin(id string) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.running == nil {
		g.running = make(map[string]chan struct{})
	}
	g.running[id] = make(chan struct{})
}

// end notes that the record of an attempt has its last state.
func (g *Guard) end(id string) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if done, ok := g.running[id]; ok {
		close(done)
		delete(g.running, id)
	}
}

// holder returns what is known of the process that makes an attempt, and for
// an attempt of this process a channel that closes when it ends.
func (g *Guard) holder(r Record) (Holder, <-chan struct{}) {
	self := g.Members.Self()
	if r.Node == self.ID {
		g.mu.Lock()
		defer g.mu.Unlock()
		if done, ok := g.running[r.Attempt]; ok {
			return HolderMember, done
		}
		return HolderGone, nil
	}
	for _, node := range g.Members.Nodes() {
		if node.ID != r.Node {
			continue
		}
		if node.Incarnation > r.Incarnation+restartGap {
			return HolderGone, nil
		}
		return HolderMember, nil
	}
	return HolderDeparted, nil
}

// commit writes an item and settles lost replies by sending it again: the
// condition lets it take effect once, and its value is unlike any other.
func (g *Guard) commit(ctx context.Context, item Item) (Outcome, error) {
	sent := false
	for {
		outcome, err := g.Committer.Commit(ctx, item)
		switch {
		case err == nil && !outcome.Committed && bytes.Equal(outcome.Current.Value, item.Value):
			return Outcome{Committed: true, Revision: outcome.Current.ModRevision}, nil
		case err == nil:
			return outcome, nil
		case kind.Is(err, kind.StoreWriteUnknown):
			sent = true
		case !sent:
			return Outcome{}, err
		}
		if sleep(ctx, resendEvery) != nil {
			return Outcome{}, kind.Wrap(kind.StoreWriteUnknown, err)
		}
	}
}

// attempt is one call of Do.
type attempt struct {
	guard *Guard
	// handedOver is true when a job writes the last state of the attempt.
	handedOver bool
	record     Record
	request    Request
	run        func(context.Context) (Answer, error)
	waiting    time.Time
}

func (a *attempt) do(ctx context.Context) (Result, error) {
	revision, current, err := a.claim(ctx, 0)
	for err == nil && revision == 0 {
		var decision Decision
		decision, err = a.settle(ctx, &current)
		if err != nil {
			break
		}
		switch decision.Step {
		case StepReplay:
			a.guard.end(a.record.Attempt)
			return Result{Answer: current.record.Answer, Replayed: true}, nil
		case StepTakeOver:
			revision, current, err = a.claim(ctx, current.revision)
		default:
			err = a.refusal(decision, current.record)
		}
	}
	if err != nil {
		if !a.handedOver {
			a.guard.end(a.record.Attempt)
		}
		return Result{}, err
	}
	return a.execute(ctx, revision)
}

// stored is a record and its revision; zero is no record.
type stored struct {
	record   Record
	revision int64
}

// claim writes the intent if the key was last changed at base. It returns the
// intent's revision, or the record that stands in the way.
func (a *attempt) claim(ctx context.Context, base int64) (revision int64, current stored, err error) {
	ctx, cancel := context.WithTimeout(ctx, a.guard.intentTimeout())
	defer cancel()
	value, err := a.record.encode()
	if err != nil {
		return 0, stored{}, err
	}
	item := Item{KeepFor: a.request.KeepFor, Key: a.request.Key.path(), ModRevision: base, Value: value}
	outcome, err := a.guard.commit(ctx, item)
	switch {
	case kind.Is(err, kind.StoreWriteUnknown):
		// Nothing was sent to a backend server. The intent may still land, so
		// it is taken back as soon as the store answers.
		a.handedOver = true
		a.guard.enqueue(a.job(item, StateNotRun, Answer{}))
		return 0, stored{}, unavailable(err)
	case err != nil:
		return 0, stored{}, unavailable(err)
	case outcome.Committed:
		return outcome.Revision, stored{}, nil
	case outcome.Current.ModRevision == 0:
		// The record has expired since it was read.
		return a.claim(ctx, 0)
	}
	record, err := decode(outcome.Current.Value)
	return 0, stored{record: record, revision: outcome.Current.ModRevision}, err
}

// settle reads the record until it says what to do. It returns StepTakeOver
// with revision zero when the record has expired.
func (a *attempt) settle(ctx context.Context, current *stored) (Decision, error) {
	poll := firstPoll
	a.waiting = time.Now()
	checked := false
	for {
		holder, done := a.guard.holder(current.record)
		now := time.Now()
		decision := Decide(Situation{
			Deadline:    a.request.Deadline,
			Fingerprint: a.request.Fingerprint,
			Holder:      holder,
			Now:         now,
			Record:      current.record,
			Waiting:     a.waiting,
		})
		// An attempt of this process writes its last state before it ends, so
		// one that was not running is read once more.
		recheck := holder == HolderGone && current.record.State == StateIntent && !checked
		if decision.Step != StepWait && !recheck {
			return decision, nil
		}
		checked = holder == HolderGone
		if !recheck {
			a.pause(ctx, done, poll)
			poll = min(2*poll, maxPoll)
		}
		entry, err := a.guard.Store.Get(ctx, a.request.Key.path())
		switch {
		case err != nil:
			// The attempt that is waited for may have run.
			return Decision{}, kind.New(kind.OutcomeUnknown, "an earlier request with the key may have run, and its record cannot be read").
				WithRetryAfter(kind.StoreUnavailable.Answer().RetryAfter)
		case entry.ModRevision == 0:
			*current = stored{}
			return Decision{Step: StepTakeOver}, nil
		}
		record, err := decode(entry.Value)
		if err != nil {
			return Decision{}, err
		}
		*current = stored{record: record, revision: entry.ModRevision}
	}
}

// pause waits for the end of an attempt of this process or for the next poll.
func (a *attempt) pause(ctx context.Context, done <-chan struct{}, poll time.Duration) {
	ctx, cancel := context.WithDeadline(ctx, a.request.Deadline)
	defer cancel()
	timer := time.NewTimer(poll)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-done:
	case <-timer.C:
	}
}

func (a *attempt) refusal(decision Decision, record Record) error {
	err := kind.New(decision.Kind, "%s", reason(decision.Kind, record))
	if decision.Kind == kind.OutcomeUnknown && record.State == StateIntent {
		return err.WithRetryAfter(stillRunsRetryAfter)
	}
	return err
}

func reason(k kind.Kind, record Record) string {
	switch {
	case k == kind.KeyReused:
		return "the idempotency key stands for another request"
	case k == kind.AnswerNotKept:
		return "the request with the key ran, but its answer was not kept"
	case record.State == StateIntent:
		return "an earlier request with the key has not been answered"
	default:
		return "an earlier request with the key may have run"
	}
}

// execute runs the request and records what became of it.
func (a *attempt) execute(ctx context.Context, revision int64) (Result, error) {
	runCtx, cancel := context.WithDeadline(context.WithoutCancel(ctx), a.request.Deadline)
	defer cancel()
	answer, err := a.runInTime(runCtx)
	state := StateAnswered
	switch {
	case err != nil && kind.Of(err).Ran == kind.RanNo:
		state = StateNotRun
	case err != nil:
		state = StateUnknown
	case answer.TooLarge:
		state = StateTooLarge
	}
	item := Item{KeepFor: a.request.KeepFor, Key: a.request.Key.path(), ModRevision: revision}
	j := a.job(item, state, answer)
	a.guard.enqueue(j)
	timer := time.NewTimer(a.guard.recordWait())
	defer timer.Stop()
	select {
	case <-j.done:
	case <-timer.C:
	}
	return Result{Answer: answer}, err
}

// runInTime does not run a request whose process was paused past the deadline:
// its record may have ended, and a repeat may run.
func (a *attempt) runInTime(ctx context.Context) (Answer, error) {
	if !time.Now().Before(a.request.Deadline) {
		return Answer{}, kind.New(kind.DeadlineUnmet, "the deadline passed before the request was sent")
	}
	return a.run(ctx)
}

func (a *attempt) job(item Item, state State, answer Answer) *job {
	record := a.record
	record.State = state
	if state == StateAnswered {
		record.Answer = answer
	}
	return &job{done: make(chan struct{}), item: item, record: record}
}

// unavailable says that the request was not sent because its intent could not
// be written.
func unavailable(err error) error {
	return (&kind.Error{
		Cause:   errs.Wrap(err),
		Kind:    kind.StoreUnavailable,
		Message: "the intent to run the request could not be written",
	}).WithRan(kind.RanNo)
}

func (g *Guard) intentTimeout() time.Duration {
	if g.IntentTimeout > 0 {
		return g.IntentTimeout
	}
	return DefaultIntentTimeout
}

func (g *Guard) recordWait() time.Duration {
	if g.RecordWait > 0 {
		return g.RecordWait
	}
	return DefaultRecordWait
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
