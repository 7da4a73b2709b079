package route

import (
	"cmp"
	"maps"
	"slices"
	"sync"
	"time"

	"github.com/nutmegway/nutmegway/internal/backend/engine"
	"github.com/nutmegway/nutmegway/internal/fleet/server"
	"github.com/nutmegway/nutmegway/internal/request/affinity"
	"github.com/nutmegway/nutmegway/internal/request/outlier"
	"github.com/nutmegway/nutmegway/internal/request/owner"
	"github.com/nutmegway/nutmegway/internal/request/retry"
)

const (
	// duplicateWindow is how long content that no engine has answered stays on its
	// first two preferred servers after a duplicate call has started.
	duplicateWindow = time.Second
	// maxIndexedBlocks bounds the prompt blocks that a node indexes per service.
	maxIndexedBlocks = 1 << 16
	// safeTTL is how long content that an engine has answered counts as safe,
	// and maxSafeContents the number of fingerprints remembered as safe.
	safeTTL         = 10 * time.Minute
	maxSafeContents = 1 << 14
	// summaryRefreshAge is the age after which a summary is refreshed, and
	// activeWindow how long after a service's last use its summaries are refreshed.
	summaryRefreshAge = 500 * time.Millisecond
	activeWindow      = 5 * time.Second
)

// fullQueue records that the queue of a server was full. The server is skipped
// until the time in until.
type fullQueue struct {
	retryAfter time.Duration
	until      time.Time
}

// serviceState is a node's view of the engines of one service.
type serviceState struct {
	service string

	latency retry.Latency

	mu sync.Mutex
	// inFlight counts the calls in flight on this node by fingerprint.
	inFlight map[uint64]int
	// duplicatedAt holds, by fingerprint, when a call last started while another
	// with the same content was in flight.
	duplicatedAt  map[uint64]time.Time
	firstSeen     map[string]time.Time
	fullQueues    map[string]fullQueue
	prefixIndexes map[string]*affinity.Index
	// lastLive is when each server was last able to take calls.
	lastLive map[string]time.Time
	lastUsed time.Time
	outliers outlier.Detector
	// pending counts the attempts sent to each server that have no reply yet. They
	// are added to the load in the server's summary, which does not include them yet.
	pending   map[string]int
	safe      map[uint64]time.Time
	createdAt time.Time
	summaries map[string]owner.Summary
}

func newServiceState(service string) *serviceState {
	return &serviceState{
		service: service, inFlight: make(map[uint64]int), duplicatedAt: make(map[uint64]time.Time), firstSeen: make(map[string]time.Time), fullQueues: make(map[string]fullQueue),
		prefixIndexes: make(map[string]*affinity.Index), lastLive: make(map[string]time.Time), pending: make(map[string]int),
		safe: make(map[uint64]time.Time), createdAt: time.Now(), summaries: make(map[string]owner.Summary),
	}
}

// updateSummary stores a summary unless a newer one is known.
func (st *serviceState) updateSummary(summary owner.Summary) {
	if summary.Server == "" {
		return
	}
	st.mu.Lock()
	defer st.mu.Unlock()
	if old, ok := st.summaries[summary.Server]; !ok || !summary.At.Before(old.At) {
		st.summaries[summary.Server] = summary
	}
}

// attemptSent counts an attempt as pending until attemptAnswered is called.
func (st *serviceState) attemptSent(id string) {
	st.mu.Lock()
	defer st.mu.Unlock()
	st.pending[id]++
}

func (st *serviceState) attemptAnswered(id string) {
	st.mu.Lock()
	defer st.mu.Unlock()
	if st.pending[id]--; st.pending[id] <= 0 {
		delete(st.pending, id)
	}
}

// callStarted counts a call with the content as in flight until callEnded is
// called.
func (st *serviceState) callStarted(now time.Time, fingerprint uint64) {
	st.mu.Lock()
	defer st.mu.Unlock()
	st.inFlight[fingerprint]++
	if st.inFlight[fingerprint] > 1 {
		st.duplicatedAt[fingerprint] = now
	}
}

func (st *serviceState) callEnded(fingerprint uint64) {
	st.mu.Lock()
	defer st.mu.Unlock()
	if st.inFlight[fingerprint]--; st.inFlight[fingerprint] <= 0 {
		delete(st.inFlight, fingerprint)
	}
}

// markFull skips a server with a full queue for a short time. Slots free up all
// the time, but trying the server again for every request costs more than it gains.
func (st *serviceState) markFull(now time.Time, id string, retryAfter time.Duration) {
	const skipFor = 10 * time.Millisecond
	st.mu.Lock()
	defer st.mu.Unlock()
	st.fullQueues[id] = fullQueue{retryAfter: retryAfter, until: now.Add(skipFor)}
}

// recordOutcome passes the outcome of an attempt to the outlier detector.
// serverCount is the number of servers of the service.
func (st *serviceState) recordOutcome(now time.Time, id string, failed bool, serverCount int) {
	st.mu.Lock()
	defer st.mu.Unlock()
	st.outliers.Observe(now, id, failed, serverCount)
}

// recordPrompt records in the prefix index of a server that it ran a prompt with the
// blocks. cachedTokens is the number of the prompt's tokens that were in its cache.
func (st *serviceState) recordPrompt(now time.Time, id string, blocks []uint64, cachedTokens int) {
	st.mu.Lock()
	defer st.mu.Unlock()
	index, ok := st.prefixIndexes[id]
	if !ok {
		index = &affinity.Index{}
		st.prefixIndexes[id] = index
	}
	index.MaxBlocks = maxIndexedBlocks / max(1, len(st.prefixIndexes))
	index.RecordMiss(blocks, cachedTokens/engine.BlockTokens)
	index.RecordServed(now, blocks)
}

// isSafe reports whether an engine has answered the content within safeTTL.
func (st *serviceState) isSafe(now time.Time, fingerprint uint64) bool {
	st.mu.Lock()
	defer st.mu.Unlock()
	return st.isSafeLocked(now, fingerprint)
}

// markSafe records that an engine has answered the content.
func (st *serviceState) markSafe(now time.Time, fingerprint uint64) {
	st.mu.Lock()
	defer st.mu.Unlock()
	if len(st.safe) >= maxSafeContents {
		for old, at := range st.safe {
			if now.Sub(at) > safeTTL || len(st.safe) > maxSafeContents*3/4 {
				delete(st.safe, old)
			}
		}
	}
	st.safe[fingerprint] = now
}

// staleServers returns the servers whose summaries need a refresh, oldest first, at
// most maxRefreshServers. It returns none for a service that is not in use. It also
// drops the state of servers that are no longer listed, and old entries of duplicatedAt.
func (st *serviceState) staleServers(now time.Time, servers []server.Server) []server.Server {
	st.mu.Lock()
	defer st.mu.Unlock()
	st.forgetRemoved(servers)
	maps.DeleteFunc(st.duplicatedAt, func(_ uint64, at time.Time) bool { return now.Sub(at) > duplicateWindow })
	if now.Sub(st.lastUsed) > activeWindow {
		return nil
	}
	var stale []server.Server
	for _, s := range servers {
		if !s.Leaving && now.Sub(st.summaries[s.ID].At) > summaryRefreshAge {
			stale = append(stale, s)
		}
	}
	slices.SortFunc(stale, func(a, b server.Server) int {
		return cmp.Or(st.summaries[a.ID].At.Compare(st.summaries[b.ID].At), cmp.Compare(a.ID, b.ID))
	})
	return stale[:min(len(stale), maxRefreshServers)]
}

// forgetRemoved drops the state of servers that are no longer listed. The caller
// holds st.mu.
func (st *serviceState) forgetRemoved(servers []server.Server) {
	ids := make(map[string]bool, len(servers))
	for _, s := range servers {
		ids[s.ID] = true
	}
	st.outliers.Retain(func(id string) bool { return ids[id] })
	for id := range st.firstSeen {
		if !ids[id] {
			delete(st.firstSeen, id)
			delete(st.fullQueues, id)
			delete(st.lastLive, id)
			delete(st.prefixIndexes, id)
			delete(st.summaries, id)
		}
	}
}
