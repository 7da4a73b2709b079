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
	// DefaultIntentTimeout is the default of Guard.IntentTimeout.
	DefaultIntentTimeout = 3 * time.Second
	// DefaultRecordWait is the default of Guard.RecordWait.
	DefaultRecordWait = 250 * time.Millisecond

	// minRestartIncarnationGap is the least difference between the incarnations of
	// a node's process and its successor. The incarnation of a process starts as
	// the clock's time in milliseconds and grows by one for each suspicion that the
	// process refutes, so a smaller difference may be the same process.
	minRestartIncarnationGap = 100

	minPollInterval = 20 * time.Millisecond
	maxPollInterval = 500 * time.Millisecond
	// resendInterval is the time before a write of unknown outcome is sent again.
	resendInterval = 50 * time.Millisecond
	// stillRunningRetryAfter is the Retry-After for a caller whose earlier request
	// may still be running.
	stillRunningRetryAfter = time.Second
)

// Request is a request with an idempotency key.
type Request struct {
	Deadline    time.Time
	Fingerprint string
	// Retention is how long the record is kept after the deadline.
	Retention time.Duration
	Key       Key
}

// Result is an answer. Replayed means that an earlier attempt recorded it.
type Result struct {
	Answer   Answer
	Replayed bool
}

// Guard runs requests at most once. The exported fields must be set before Run is
// called.
type Guard struct {
	Committer Committer
	// IntentTimeout bounds the time to write the intent. Zero means
	// DefaultIntentTimeout.
	IntentTimeout time.Duration
	Logger        *slog.Logger
	Members       member.View
	// RecordWait is the longest time for which an answer is held back until its
	// record is written. The write goes on in the background if it takes longer.
	// Zero means DefaultRecordWait.
	RecordWait time.Duration
	Store      kv.Store

	mu         sync.Mutex
	writeQueue chan *writeJob
	// running holds a channel for each attempt of this process that has not ended.
	// It is closed when the attempt ends.
	running map[string]chan struct{}
}

// Do runs the request unless an earlier attempt with its key has run or may have
// run. In that case it waits for the outcome and returns the recorded answer or an
// error. run sends the request to at most one backend server, and its errors say
// whether the request may have run. The context of run is not cancelled with ctx,
// because the caller may ask for the answer again with the same key.
func (g *Guard) Do(ctx context.Context, request Request, run func(context.Context) (Answer, error)) (Result, error) {
	ctx, span := otel.Tracer("nutmegway/idempotency").Start(ctx, "idempotency")
	defer span.End()
	self := g.Members.Self()
	request.Retention = recordRetention(request, time.Now())
	a := &attempt{
		guard: g,
		record: Record{
			At:          time.Now().UTC(),
			Attempt:     newAttemptID(),
			Fingerprint: request.Fingerprint,
			Incarnation: self.Incarnation,
			Node:        self.ID,
			State:       StateIntent,
		},
		request: request,
		run:     run,
	}
	g.trackAttempt(a.record.Attempt)
	return a.do(ctx)
}

// recordRetention returns how long the record is kept from now on, so that an intent
// does not expire before its request ends. The result is rounded up so that records
// can share leases.
func recordRetention(request Request, now time.Time) time.Duration {
	left := max(0, request.Deadline.Sub(now))
	return request.Retention + (left + leaseSharingPeriod - 1).Truncate(leaseSharingPeriod)
}

// trackAttempt registers a running attempt of this process.
func (g *Guard) trackAttempt(id string) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.running == nil {
		g.running = make(map[string]chan struct{})
	}
	g.running[id] = make(chan struct{})
}

// endAttempt removes an attempt and closes its channel. If the attempt wrote an intent,
// its final state must have been written before, or the write abandoned.
func (g *Guard) endAttempt(id string) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if done, ok := g.running[id]; ok {
		close(done)
		delete(g.running, id)
	}
}

// holderState returns the state of the process that made an attempt and, if the
// attempt is running in this process, a channel that is closed when it ends.
func (g *Guard) holderState(r Record) (HolderState, <-chan struct{}) {
	self := g.Members.Self()
	if r.Node == self.ID {
		g.mu.Lock()
		defer g.mu.Unlock()
		if done, ok := g.running[r.Attempt]; ok {
			return HolderMember, done
		}
		return HolderEnded, nil
	}
	for _, node := range g.Members.Nodes() {
		if node.ID != r.Node {
			continue
		}
		if node.Incarnation > r.Incarnation+minRestartIncarnationGap {
			return HolderEnded, nil
		}
		return HolderMember, nil
	}
	return HolderDeparted, nil
}

// commit writes an item. If a reply is lost, it sends the item again, which is safe:
// the item's condition lets it take effect only once, and its unique value shows
// whether it did.
func (g *Guard) commit(ctx context.Context, item Item) (Outcome, error) {
	maybeSent := false
	for {
		outcome, err := g.Committer.Commit(ctx, item)
		switch {
		case err == nil && !outcome.Committed && bytes.Equal(outcome.Current.Value, item.Value):
			return Outcome{Committed: true, Revision: outcome.Current.ModRevision}, nil
		case err == nil:
			return outcome, nil
		case kind.Is(err, kind.StoreWriteUnknown):
			maybeSent = true
		case !maybeSent:
			return Outcome{}, err
		}
		if sleep(ctx, resendInterval) != nil {
			return Outcome{}, kind.Wrap(kind.StoreWriteUnknown, err)
		}
	}
}

// attempt is one call of Do.
type attempt struct {
	guard *Guard
	// writeQueued means that a write job will write the final state and end the
	// attempt.
	writeQueued  bool
	record       Record
	request      Request
	run          func(context.Context) (Answer, error)
	waitingSince time.Time
}

func (a *attempt) do(ctx context.Context) (Result, error) {
	revision, current, err := a.writeIntent(ctx, 0)
	for err == nil && revision == 0 {
		var decision Decision
		decision, err = a.awaitDecision(ctx, &current)
		if err != nil {
			break
		}
		switch decision.Action {
		case ActionReplay:
			a.guard.endAttempt(a.record.Attempt)
			return Result{Answer: current.record.Answer, Replayed: true}, nil
		case ActionTakeOver:
			revision, current, err = a.writeIntent(ctx, current.revision)
		default:
			err = a.refusalError(decision, current.record)
		}
	}
	if err != nil {
		if !a.writeQueued {
			a.guard.endAttempt(a.record.Attempt)
		}
		return Result{}, err
	}
	return a.execute(ctx, revision)
}

// storedRecord is a record and its revision. Revision zero means no record.
type storedRecord struct {
	record   Record
	revision int64
}

// writeIntent writes the intent if the revision of the key is still base. It returns
// the revision of the intent, or the record that is stored instead.
func (a *attempt) writeIntent(ctx context.Context, base int64) (revision int64, current storedRecord, err error) {
	ctx, cancel := context.WithTimeout(ctx, a.guard.intentTimeout())
	defer cancel()
	value, err := a.record.encode()
	if err != nil {
		return 0, storedRecord{}, err
	}
	item := Item{Retention: a.request.Retention, Key: a.request.Key.storeKey(), ModRevision: base, Value: value}
	outcome, err := a.guard.commit(ctx, item)
	switch {
	case kind.Is(err, kind.StoreWriteUnknown):
		// Nothing was sent to a backend server. The intent may have been written,
		// so a write job marks it as not run as soon as the store answers.
		a.writeQueued = true
		a.guard.enqueue(a.newWriteJob(item, StateNotRun, Answer{}))
		return 0, storedRecord{}, intentError(err)
	case err != nil:
		return 0, storedRecord{}, intentError(err)
	case outcome.Committed:
		return outcome.Revision, storedRecord{}, nil
	case outcome.Current.ModRevision == 0:
		// The record has expired since it was read.
		return a.writeIntent(ctx, 0)
	}
	record, err := decode(outcome.Current.Value)
	return 0, storedRecord{record: record, revision: outcome.Current.ModRevision}, err
}

// awaitDecision reads the record until Decide returns another action than ActionWait.
// If the record has expired, it returns ActionTakeOver and sets the revision to zero.
func (a *attempt) awaitDecision(ctx context.Context, current *storedRecord) (Decision, error) {
	interval := minPollInterval
	a.waitingSince = time.Now()
	checked := false
	for {
		holder, done := a.guard.holderState(current.record)
		now := time.Now()
		decision := Decide(DecisionInput{
			Deadline:     a.request.Deadline,
			Fingerprint:  a.request.Fingerprint,
			Holder:       holder,
			Now:          now,
			Record:       current.record,
			WaitingSince: a.waitingSince,
		})
		// An attempt of this process writes its final state before it ends. If
		// it has ended by now, that state may be newer than the record that was
		// read, so the record is read once more.
		recheck := holder == HolderEnded && current.record.State == StateIntent && !checked
		if decision.Action != ActionWait && !recheck {
			return decision, nil
		}
		checked = holder == HolderEnded
		if !recheck {
			a.waitForChange(ctx, done, interval)
			interval = min(2*interval, maxPollInterval)
		}
		entry, err := a.guard.Store.Get(ctx, a.request.Key.storeKey())
		switch {
		case err != nil:
			// The earlier attempt may have run.
			return Decision{}, kind.New(kind.OutcomeUnknown, "an earlier request with this key may have run, and its record cannot be read").
				WithRetryAfter(kind.StoreUnavailable.Properties().RetryAfter)
		case entry.ModRevision == 0:
			*current = storedRecord{}
			return Decision{Action: ActionTakeOver}, nil
		}
		record, err := decode(entry.Value)
		if err != nil {
			return Decision{}, err
		}
		*current = storedRecord{record: record, revision: entry.ModRevision}
	}
}

// waitForChange waits until done is closed, the interval has passed, the request's
// deadline is reached, or ctx is done.
func (a *attempt) waitForChange(ctx context.Context, done <-chan struct{}, interval time.Duration) {
	ctx, cancel := context.WithDeadline(ctx, a.request.Deadline)
	defer cancel()
	timer := time.NewTimer(interval)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-done:
	case <-timer.C:
	}
}

func (a *attempt) refusalError(decision Decision, record Record) error {
	err := kind.New(decision.Kind, "%s", refusalMessage(decision.Kind, record))
	if decision.Kind == kind.OutcomeUnknown && record.State == StateIntent {
		return err.WithRetryAfter(stillRunningRetryAfter)
	}
	return err
}

func refusalMessage(k kind.Kind, record Record) string {
	switch {
	case k == kind.KeyReused:
		return "the idempotency key was already used for another request"
	case k == kind.AnswerNotKept:
		return "the request with this key ran, but its answer was too large to be kept"
	case record.State == StateIntent:
		return "an earlier request with this key has no recorded answer yet"
	default:
		return "an earlier request with this key may or may not have run"
	}
}

// execute runs the request and queues the write of its final state. It returns when the
// state is written or the record wait has passed, whichever is first.
func (a *attempt) execute(ctx context.Context, revision int64) (Result, error) {
	runCtx, cancel := context.WithDeadline(context.WithoutCancel(ctx), a.request.Deadline)
	defer cancel()
	answer, err := a.runBeforeDeadline(runCtx)
	state := StateAnswered
	switch {
	case err != nil && kind.Of(err).Ran == kind.RanNo:
		state = StateNotRun
	case err != nil:
		state = StateUnknown
	case answer.TooLarge:
		state = StateTooLarge
	}
	item := Item{Retention: a.request.Retention, Key: a.request.Key.storeKey(), ModRevision: revision}
	j := a.newWriteJob(item, state, answer)
	a.guard.enqueue(j)
	timer := time.NewTimer(a.guard.recordWait())
	defer timer.Stop()
	select {
	case <-j.done:
	case <-timer.C:
	}
	return Result{Answer: answer}, err
}

// runBeforeDeadline runs the request unless its deadline has passed. If the process was
// paused past the deadline, the intent may have expired. Another request with the same
// key may then run, so this one must not be sent.
func (a *attempt) runBeforeDeadline(ctx context.Context) (Answer, error) {
	if !time.Now().Before(a.request.Deadline) {
		return Answer{}, kind.New(kind.DeadlineUnmet, "the deadline passed before the request was sent")
	}
	return a.run(ctx)
}

func (a *attempt) newWriteJob(item Item, state State, answer Answer) *writeJob {
	record := a.record
	record.State = state
	if state == StateAnswered {
		record.Answer = answer
	}
	return &writeJob{done: make(chan struct{}), item: item, record: record}
}

// intentError returns the error for a request that was not sent because its intent
// could not be written.
func intentError(err error) error {
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
