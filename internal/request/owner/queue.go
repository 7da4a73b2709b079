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

// engineQueue is the queue of one engine and what its owner knows of the engine.
type engineQueue struct {
	engine engine.Engine
	owner  *Owner
	server server.Server

	firstPoll sync.Once

	mu sync.Mutex
	// chunkGap is the moving average of the time between chunks.
	chunkGap time.Duration
	// reportedCrash is the ID of the last crash that was reported.
	reportedCrash uint64
	down          bool
	crashCheck    *crashCheck
	cacheIndex    affinity.Index
	lastUsed      time.Time
	failedPolls   int
	admission     admission.Queue
	startRate     rate
	// running holds the content of the running attempts by attempt ID.
	running map[string]*poison.Suspect
	// timeToFirstChunk is the moving average of the time to the first chunk.
	timeToFirstChunk time.Duration
	engineStarted    time.Time
	weightVersion    int64
	// waiting holds a channel for each queued attempt. The channel gets nil when the
	// attempt has been granted its slot, or else the error of its refusal.
	waiting map[uint64]chan error
}

func newEngineQueue(o *Owner, s server.Server) *engineQueue {
	return &engineQueue{
		engine: o.Engine(s.Address), owner: o, server: s, lastUsed: time.Now(),
		running: make(map[string]*poison.Suspect), waiting: make(map[uint64]chan error),
	}
}

// acquire queues the attempt and waits for its slot. It returns the ID of the slot,
// or an error that says that the attempt did not run.
func (q *engineQueue) acquire(ctx context.Context, a Attempt) (uint64, error) {
	q.awaitCrashCheck(ctx)
	id, granted, err := q.enqueue(a)
	if err != nil {
		return 0, err
	}
	select {
	case err := <-granted:
		return id, err
	case <-ctx.Done():
	}
	if q.abandon(id) {
		// The attempt was granted its slot or refused at the same time.
		if err := <-granted; err == nil {
			q.release(id, admission.Outcome{Failed: true})
		}
	}
	return 0, kind.Of(ctx.Err()).WithRan(kind.RanNo)
}

// awaitCrashCheck waits for a crash check in progress, so that the suspected content
// is known before a sender tries another server.
func (q *engineQueue) awaitCrashCheck(ctx context.Context) {
	q.mu.Lock()
	check := q.crashCheck
	q.mu.Unlock()
	if check != nil {
		check.wait(ctx)
	}
}

func (q *engineQueue) enqueue(a Attempt) (uint64, chan error, error) {
	q.firstPoll.Do(func() { q.poll(context.Background(), pollAll) })
	q.mu.Lock()
	defer q.mu.Unlock()
	now := time.Now()
	q.lastUsed = now
	switch {
	case q.down:
		return 0, nil, kind.New(kind.Unavailable, "backend server %q is down", q.server.ID).WithRan(kind.RanNo)
	case a.Call.MinVersion > 0 && q.weightVersion < a.Call.MinVersion:
		return 0, nil, kind.New(kind.Unavailable, "backend server %q has weight version %d, want at least %d",
			q.server.ID, q.weightVersion, a.Call.MinVersion).WithRan(kind.RanNo)
	}
	q.admission.Settings = q.owner.settings(a.Call.Service)
	id, decision, refusal := q.admission.Push(now, admission.Item{
		Isolated: a.Isolated, Class: a.Call.Class, Deadline: a.Call.Deadline,
		Retry: a.Retry, Share: a.Call.Share, Tokens: q.expectedCost(a),
	})
	q.apply(now, decision)
	if refusal != nil {
		return 0, nil, refusal
	}
	granted := make(chan error, 1)
	q.waiting[id] = granted
	q.startNext(now)
	return id, granted, nil
}

// expectedCost returns the expected cost of an attempt in generated tokens: the
// tokens left to generate, and the prefill of the part of the prompt that is
// probably not cached. It returns 0 if the length of the answer is not predicted.
// The caller holds q.mu.
func (q *engineQueue) expectedCost(a Attempt) int {
	if a.Call.ExpectedTokens <= 0 {
		return 0
	}
	prompt := a.Call.Request.Prompt
	cached := q.cacheIndex.Match(time.Now(), engine.PrefixBlocks(prompt)) * engine.BlockTokens
	return max(1, a.Call.ExpectedTokens-a.Call.Request.ResumeTokens) + prefillCost(prompt, cached)
}

// promptTokensPerOutputToken is the number of prompt tokens that an engine reads in
// about the time of one generated token.
const promptTokensPerOutputToken = 100

// prefillCost returns the cost of reading a prompt of which the given number of
// tokens are cached, in generated tokens.
func prefillCost(prompt string, cachedTokens int) int {
	return max(0, engine.PromptTokens(prompt)-cachedTokens) / promptTokensPerOutputToken
}

// abandon removes a queued attempt. It returns true if the attempt has already been
// granted its slot or refused.
func (q *engineQueue) abandon(id uint64) bool {
	q.mu.Lock()
	defer q.mu.Unlock()
	if _, ok := q.waiting[id]; !ok {
		return true
	}
	delete(q.waiting, id)
	q.admission.Cancel(id)
	q.startNext(time.Now())
	return false
}

// release frees the slot of an attempt.
func (q *engineQueue) release(id uint64, outcome admission.Outcome) {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.admission.Done(id, outcome)
	q.startNext(time.Now())
}

// startNext grants slots to the attempts that may start now. The caller holds q.mu.
func (q *engineQueue) startNext(now time.Time) {
	q.apply(now, q.admission.Next(now))
}

func (q *engineQueue) apply(now time.Time, decision admission.Decision) {
	for _, refusal := range decision.Refused {
		q.signal(refusal.ID, refusal.Err)
	}
	for _, id := range decision.Start {
		q.startRate.add(now)
		q.signal(id, nil)
	}
}

func (q *engineQueue) signal(id uint64, err error) {
	if granted, ok := q.waiting[id]; ok {
		delete(q.waiting, id)
		granted <- err
	}
}

// markDown marks the engine as down and refuses the queued attempts. The caller
// holds q.mu.
func (q *engineQueue) markDown() {
	q.down = true
	q.cacheIndex.Reset()
	refusal := kind.New(kind.Unavailable, "backend server %q went down", q.server.ID).WithRan(kind.RanNo)
	for _, id := range q.admission.Drain() {
		q.signal(id, refusal)
	}
}

func (q *engineQueue) summary() Summary {
	q.mu.Lock()
	defer q.mu.Unlock()
	now := time.Now()
	return Summary{
		Summary: q.admission.Summary(now), At: now, Down: q.down, StartRate: q.startRate.valueAt(now),
		Server: q.server.ID, Version: q.weightVersion,
	}
}

// idle reports whether the queue has not been used for queueIdleTimeout.
func (q *engineQueue) idle(now time.Time) bool {
	q.mu.Lock()
	lastUsed := q.lastUsed
	q.mu.Unlock()
	return !q.busy() && now.Sub(lastUsed) > queueIdleTimeout
}

// busy reports whether an attempt is queued or running.
func (q *engineQueue) busy() bool {
	q.mu.Lock()
	defer q.mu.Unlock()
	return len(q.running)+len(q.waiting) > 0
}

// updateCacheIndex updates the index of the engine's cache when an answer begins. The
// engine had cachedTokens of the prompt in its cache, and now caches all its blocks.
func (q *engineQueue) updateCacheIndex(prompt string, cachedTokens int) {
	blocks := engine.PrefixBlocks(prompt)
	q.mu.Lock()
	defer q.mu.Unlock()
	q.cacheIndex.RecordMiss(blocks, cachedTokens/engine.BlockTokens)
	q.cacheIndex.RecordServed(time.Now(), blocks)
}

// observeChunk records the progress of an attempt. gap is the time since its previous
// chunk, or zero for the first one.
func (q *engineQueue) observeChunk(gap time.Duration, chunk engine.Chunk) {
	q.mu.Lock()
	defer q.mu.Unlock()
	if suspect, ok := q.running[chunk.ID]; ok {
		suspect.Position = chunk.Index + chunk.Tokens
	}
	if gap > 0 {
		q.chunkGap += (gap - q.chunkGap) / averageDivisor
	}
	q.weightVersion = max(q.weightVersion, chunk.Version)
}

// suspects returns the distinct contents that were running when the crash check
// began, each at the earliest position of its attempts. The caller holds q.mu.
func (q *engineQueue) suspects(check *crashCheck) []poison.Suspect {
	type content struct {
		fingerprint uint64
		exempt      bool
	}
	earliest := make(map[content]poison.Suspect, len(q.running))
	for id, suspect := range q.running {
		key := content{fingerprint: suspect.Fingerprint, exempt: suspect.Exempt}
		other, ok := earliest[key]
		if check.attempts[id] && (!ok || suspect.Position < other.Position) {
			earliest[key] = *suspect
		}
	}
	list := slices.Collect(maps.Values(earliest))
	slices.SortFunc(list, func(a, b poison.Suspect) int { return cmp.Compare(a.Fingerprint, b.Fingerprint) })
	return list
}
