package owner

import (
	"cmp"
	"context"
	"maps"
	"slices"
	"sync"
	"time"

	"github.com/nutmegway/nutmegway/internal/backend/engine"
	"github.com/nutmegway/nutmegway/internal/base/kind"
	"github.com/nutmegway/nutmegway/internal/fleet/server"
	"github.com/nutmegway/nutmegway/internal/request/admission"
	"github.com/nutmegway/nutmegway/internal/request/affinity"
	"github.com/nutmegway/nutmegway/internal/request/poison"
)

// worker is the queue of one engine with what its owner knows of the engine.
type worker struct {
	engine engine.Engine
	owner  *Owner
	server server.Server

	greet sync.Once

	mu       sync.Mutex
	chunkGap time.Duration
	// crashedLife is the id of the last crash that was reported.
	crashedLife uint64
	down        bool
	incident    *incident
	index       affinity.Index
	lastUsed    time.Time
	misses      int
	queue       admission.Queue
	recent      rate
	running     map[string]*poison.Suspect
	slow        time.Duration
	started     time.Time
	version     int64
	waiting     map[uint64]chan error
}

func newWorker(o *Owner, s server.Server) *worker {
	return &worker{
		engine: o.Engine(s.Address), owner: o, server: s, lastUsed: time.Now(),
		running: make(map[string]*poison.Suspect), waiting: make(map[uint64]chan error),
	}
}

// acquire waits for the attempt's slot. An error says that it did not run.
func (w *worker) acquire(ctx context.Context, a Attempt) (uint64, error) {
	w.settle(ctx)
	id, turn, err := w.enqueue(a)
	if err != nil {
		return 0, err
	}
	select {
	case err := <-turn:
		return id, err
	case <-ctx.Done():
	}
	if w.abandon(id) {
		// The turn came at the same time.
		if err := <-turn; err == nil {
			w.release(id, admission.Outcome{Failed: true})
		}
	}
	return 0, kind.Of(ctx.Err()).WithRan(kind.RanNo)
}

// settle waits until an incident is over, so that whoever is sent elsewhere by
// it has heard of the contents that may be to blame.
func (w *worker) settle(ctx context.Context) {
	w.mu.Lock()
	current := w.incident
	w.mu.Unlock()
	if current != nil {
		current.wait(ctx)
	}
}

func (w *worker) enqueue(a Attempt) (uint64, chan error, error) {
	w.greet.Do(func() { w.poll(context.Background(), pollAll) })
	w.mu.Lock()
	defer w.mu.Unlock()
	now := time.Now()
	w.lastUsed = now
	switch {
	case w.down:
		return 0, nil, kind.New(kind.Unavailable, "backend server %q is down", w.server.ID).WithRan(kind.RanNo)
	case a.Call.MinVersion > 0 && w.version < a.Call.MinVersion:
		return 0, nil, kind.New(kind.Unavailable, "backend server %q has version %d, wanted %d",
			w.server.ID, w.version, a.Call.MinVersion).WithRan(kind.RanNo)
	}
	w.queue.Settings = w.owner.settings(a.Call.Service)
	id, decision, refusal := w.queue.Push(now, admission.Item{
		Alone: a.Alone, Class: a.Call.Class, Deadline: a.Call.Deadline,
		Repeat: a.Repeat, Share: a.Call.Share, Tokens: w.expectedTokens(a),
	})
	w.apply(now, decision)
	if refusal != nil {
		return 0, nil, refusal
	}
	turn := make(chan error, 1)
	w.waiting[id] = turn
	w.next(now)
	return id, turn, nil
}

// expectedTokens is the cost of an attempt whose length is predicted: the tokens
// to be generated, and the work of reading what of the prompt is believed not to
// be cached. The worker is locked.
func (w *worker) expectedTokens(a Attempt) int {
	if a.Call.ExpectedTokens <= 0 {
		return 0
	}
	prompt := a.Call.Request.Prompt
	cached := w.index.Match(time.Now(), engine.PrefixBlocks(prompt)) * engine.BlockTokens
	return max(1, a.Call.ExpectedTokens-a.Call.Request.ResumeTokens) + prefill(prompt, cached)
}

// promptTokens is the number of prompt tokens that an engine reads in about the
// time of one generated token.
const promptTokens = 100

// prefill returns the cost of reading a prompt, in generated tokens.
func prefill(prompt string, cached int) int {
	return max(0, engine.PromptTokens(prompt)-cached) / promptTokens
}

// abandon takes a waiting attempt out. It reports true when its turn has come
// already.
func (w *worker) abandon(id uint64) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	if _, ok := w.waiting[id]; !ok {
		return true
	}
	delete(w.waiting, id)
	w.queue.Cancel(id)
	w.next(time.Now())
	return false
}

// release frees the slot of an attempt.
func (w *worker) release(id uint64, outcome admission.Outcome) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.queue.Done(id, outcome)
	w.next(time.Now())
}

// next starts what may start. The worker is locked.
func (w *worker) next(now time.Time) {
	w.apply(now, w.queue.Next(now))
}

func (w *worker) apply(now time.Time, decision admission.Decision) {
	for _, refusal := range decision.Refused {
		w.signal(refusal.ID, refusal.Err)
	}
	for _, id := range decision.Start {
		w.recent.add(now)
		w.signal(id, nil)
	}
}

func (w *worker) signal(id uint64, err error) {
	if turn, ok := w.waiting[id]; ok {
		delete(w.waiting, id)
		turn <- err
	}
}

// fall marks the engine as down and refuses what waits for it. The worker is
// locked.
func (w *worker) fall() {
	w.down = true
	w.index.Reset()
	gone := kind.New(kind.Unavailable, "backend server %q went down", w.server.ID).WithRan(kind.RanNo)
	for _, id := range w.queue.Drain() {
		w.signal(id, gone)
	}
}

func (w *worker) summary() Summary {
	w.mu.Lock()
	defer w.mu.Unlock()
	now := time.Now()
	return Summary{
		Summary: w.queue.Summary(now), At: now, Down: w.down, Recent: w.recent.valueAt(now),
		Server: w.server.ID, Version: w.version,
	}
}

// idle reports whether nothing used the worker for a while.
func (w *worker) idle(now time.Time) bool {
	w.mu.Lock()
	lastUsed := w.lastUsed
	w.mu.Unlock()
	return !w.busy() && now.Sub(lastUsed) > idleWorker
}

// busy reports whether an attempt waits or runs.
func (w *worker) busy() bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return len(w.running)+len(w.waiting) > 0
}

// served takes in what an answer showed of the cache and the version.
func (w *worker) served(prompt string, cachedTokens int) {
	blocks := engine.PrefixBlocks(prompt)
	w.mu.Lock()
	defer w.mu.Unlock()
	w.index.Missed(blocks, cachedTokens/engine.BlockTokens)
	w.index.Served(time.Now(), blocks)
}

// observeChunk takes in a chunk and the time since the one before.
func (w *worker) observeChunk(gap time.Duration, chunk engine.Chunk) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if suspect, ok := w.running[chunk.ID]; ok {
		suspect.Position = chunk.Index + chunk.Tokens
	}
	if gap > 0 {
		w.chunkGap += (gap - w.chunkGap) / chunkGapGain
	}
	w.version = max(w.version, chunk.Version)
}

// suspects lists the contents that were in flight when the incident began, each
// once and with the earliest position of its copies. The worker is locked.
func (w *worker) suspects(current *incident) []poison.Suspect {
	type ran struct {
		fingerprint uint64
		owed        bool
	}
	earliest := make(map[ran]poison.Suspect, len(w.running))
	for id, suspect := range w.running {
		content := ran{fingerprint: suspect.Fingerprint, owed: suspect.Deferred}
		other, ok := earliest[content]
		if current.attempts[id] && (!ok || suspect.Position < other.Position) {
			earliest[content] = *suspect
		}
	}
	list := slices.Collect(maps.Values(earliest))
	slices.SortFunc(list, func(a, b poison.Suspect) int { return cmp.Compare(a.Fingerprint, b.Fingerprint) })
	return list
}
