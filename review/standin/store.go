package main

import (
	"context"
	"encoding/json"
	"io"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"
)

// item is one key of the store, or one change of it.
type item struct {
	Key      string `json:"key"`
	Value    []byte `json:"value,omitempty"`
	Revision int64  `json:"revision"`
	Created  int64  `json:"created,omitempty"`
	Lease    int64  `json:"lease"`
	Deleted  bool   `json:"deleted,omitempty"`
}

// txn is the body of POST /kv-txn.
type txn struct {
	Expected []struct {
		Key      string `json:"key"`
		Revision int64  `json:"revision"`
	} `json:"expected"`
	SetKeys []struct {
		Key   string `json:"key"`
		Value []byte `json:"value"`
		Lease int64  `json:"lease"`
	} `json:"setKeys"`
	Remove []string `json:"remove"`
}

type lease struct {
	ttl time.Duration
	end time.Time
}

const (
	storeAnswerTime = 4 * time.Millisecond
	maxTxnEntries   = 32
	maxValueBytes   = 1 << 20
	maxPageItems    = 500
)

// gate is the way of one host to the store.
type gate struct {
	store *store

	mu     sync.Mutex
	silent bool
}

// setSilent makes the store leave the calls of the host without an answer, or ends that.
func (g *gate) setSilent(silent bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.silent = silent
}

func (g *gate) isSilent() bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.silent
}

// ServeHTTP implements http.Handler.
func (g *gate) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	held := &heldAnswer{header: http.Header{}, status: http.StatusOK}
	if !g.isSilent() {
		g.store.ServeHTTP(held, r)
	}
	if g.isSilent() {
		<-r.Context().Done()
		panic(http.ErrAbortHandler)
	}
	for name, values := range held.header {
		w.Header()[name] = values
	}
	w.WriteHeader(held.status)
	_, _ = w.Write(held.body)
}

// heldAnswer keeps an answer until it is known whether it is delivered.
type heldAnswer struct {
	body   []byte
	header http.Header
	status int
}

func (h *heldAnswer) Header() http.Header { return h.header }

func (h *heldAnswer) WriteHeader(status int) { h.status = status }

func (h *heldAnswer) Write(p []byte) (int, error) {
	h.body = append(h.body, p...)
	return len(p), nil
}

// store is the platform's metadata store.
type store struct {
	// onCommit, if set, is called after a transaction was executed and before it is answered.
	onCommit func(txn)
	// onCall, if set, is called before a call is executed. If it returns false, the call is
	// refused with 503, and nothing is done.
	onCall func(r *http.Request, t *txn) bool

	mu       sync.Mutex
	changed  chan struct{}
	history  []item
	items    map[string]item
	leases   map[int64]lease
	revision int64
}

func newStore() *store {
	return &store{changed: make(chan struct{}), items: map[string]item{}, leases: map[int64]lease{}, revision: 1}
}

// put writes a key as operators, trainers and servers do.
func (s *store) put(key string, value any) {
	data, err := json.Marshal(value)
	if err != nil {
		panic(err)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.revision++
	s.set(key, data, 0)
	s.notify()
}

// remove deletes a key.
func (s *store) remove(key string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.revision++
	s.del(key)
	s.notify()
}

// value returns the value of a key; nil if there is none.
func (s *store) value(key string) []byte {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.items[key].Value
}

func (s *store) set(key string, value []byte, leaseID int64) {
	created := s.items[key].Created
	if created == 0 {
		created = s.revision
	}
	i := item{Key: key, Value: value, Revision: s.revision, Created: created, Lease: leaseID}
	s.items[key] = i
	s.history = append(s.history, i)
}

func (s *store) del(key string) {
	if _, ok := s.items[key]; !ok {
		return
	}
	delete(s.items, key)
	s.history = append(s.history, item{Key: key, Revision: s.revision, Deleted: true})
}

func (s *store) notify() {
	close(s.changed)
	s.changed = make(chan struct{})
}

// expireLeases removes the leases that have ended and their keys until ctx ends.
func (s *store) expireLeases(ctx context.Context) {
	for ctx.Err() == nil {
		time.Sleep(20 * time.Millisecond)
		s.mu.Lock()
		now := time.Now()
		for id, l := range s.leases {
			if now.After(l.end) {
				s.endLease(id)
			}
		}
		s.mu.Unlock()
	}
}

func (s *store) endLease(id int64) {
	delete(s.leases, id)
	s.revision++
	for key, i := range s.items {
		if i.Lease == id {
			s.del(key)
		}
	}
	s.notify()
}

func answer(w http.ResponseWriter, status int, body any) {
	data, err := json.Marshal(body)
	if err != nil {
		panic(err)
	}
	w.Header().Set("Content-Type", "application/json")
	w.Header().Set("Content-Length", strconv.Itoa(len(data)))
	w.WriteHeader(status)
	_, _ = w.Write(data)
}

// ServeHTTP implements http.Handler.
func (s *store) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	data, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	var t *txn
	if r.URL.Path == "/kv-txn" {
		t = new(txn)
		if json.Unmarshal(data, t) != nil {
			w.WriteHeader(http.StatusBadRequest)
			return
		}
	}
	if s.onCall != nil && !s.onCall(r, t) {
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	time.Sleep(storeAnswerTime)
	q := r.URL.Query()
	switch path := r.URL.Path; {
	case path == "/kv-key":
		s.mu.Lock()
		i, ok := s.items[q.Get("key")]
		s.mu.Unlock()
		if !ok {
			w.WriteHeader(http.StatusNotFound)
			return
		}
		answer(w, http.StatusOK, i)
	case path == "/kv-range":
		s.list(w, q.Get("prefix"), q.Get("after"))
	case path == "/kv-watch":
		after, _ := strconv.ParseInt(q.Get("after"), 10, 64)
		wait, _ := strconv.ParseInt(q.Get("waitMs"), 10, 64)
		s.watch(r.Context(), w, q.Get("prefix"), after, time.Duration(wait)*time.Millisecond)
	case path == "/kv-txn":
		s.commit(w, *t)
	case path == "/kv-lease":
		var body struct {
			TTL int64 `json:"ttlMs"`
		}
		_ = json.Unmarshal(data, &body)
		ttl := time.Duration(body.TTL) * time.Millisecond
		s.mu.Lock()
		s.revision++
		id := s.revision + 77000
		s.leases[id] = lease{ttl: ttl, end: time.Now().Add(ttl)}
		s.mu.Unlock()
		answer(w, http.StatusOK, map[string]int64{"lease": id, "ttlMs": body.TTL})
	case strings.HasPrefix(path, "/kv-keep/"):
		id, _ := strconv.ParseInt(path[len("/kv-keep/"):], 10, 64)
		s.mu.Lock()
		l, ok := s.leases[id]
		if ok {
			l.end = time.Now().Add(l.ttl)
			s.leases[id] = l
		}
		s.mu.Unlock()
		if !ok {
			w.WriteHeader(http.StatusNotFound)
			return
		}
		answer(w, http.StatusOK, map[string]int64{"ttlMs": l.ttl.Milliseconds()})
	case strings.HasPrefix(path, "/kv-lease-end/"):
		id, _ := strconv.ParseInt(path[len("/kv-lease-end/"):], 10, 64)
		s.mu.Lock()
		s.endLease(id)
		s.mu.Unlock()
		w.WriteHeader(http.StatusOK)
	default:
		w.WriteHeader(http.StatusBadRequest)
	}
}

func (s *store) list(w http.ResponseWriter, prefix, after string) {
	s.mu.Lock()
	items := []item{}
	for key, i := range s.items {
		if strings.HasPrefix(key, prefix) && key > after {
			items = append(items, i)
		}
	}
	revision := s.revision
	s.mu.Unlock()
	slices.SortFunc(items, func(a, b item) int { return strings.Compare(a.Key, b.Key) })
	more := len(items) > maxPageItems
	answer(w, http.StatusOK, map[string]any{"items": items[:min(len(items), maxPageItems)], "hasMore": more, "storeRevision": revision})
}

func (s *store) watch(ctx context.Context, w http.ResponseWriter, prefix string, after int64, wait time.Duration) {
	timer := time.NewTimer(wait)
	defer timer.Stop()
	for expired := false; ; {
		s.mu.Lock()
		events := []item{}
		for _, i := range s.history {
			if i.Revision > after && strings.HasPrefix(i.Key, prefix) {
				events = append(events, i)
			}
		}
		changed, revision := s.changed, s.revision
		s.mu.Unlock()
		if len(events) > 0 || expired {
			answer(w, http.StatusOK, map[string]any{"events": events, "storeRevision": revision})
			return
		}
		select {
		case <-changed:
		case <-timer.C:
			expired = true
		case <-ctx.Done():
			return
		}
	}
}

func (s *store) commit(w http.ResponseWriter, t txn) {
	if len(t.Expected)+len(t.SetKeys)+len(t.Remove) > maxTxnEntries {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	s.mu.Lock()
	current, holds := []item{}, true
	for _, e := range t.Expected {
		i, ok := s.items[e.Key]
		if ok {
			current = append(current, i)
		}
		holds = holds && i.Revision == e.Revision
	}
	status, body := http.StatusOK, any(nil)
	for _, k := range t.SetKeys {
		if _, ok := s.leases[k.Lease]; k.Lease != 0 && !ok {
			status = http.StatusNotFound
		}
		if len(k.Value)*4/3 > maxValueBytes || len(k.Key) > 200 {
			status = http.StatusBadRequest
		}
	}
	switch {
	case status != http.StatusOK:
	case !holds:
		status, body = http.StatusPreconditionFailed, map[string]any{"items": current, "storeRevision": s.revision}
	default:
		s.revision++
		for _, k := range t.SetKeys {
			s.set(k.Key, k.Value, k.Lease)
		}
		for _, key := range t.Remove {
			s.del(key)
		}
		s.notify()
		body = map[string]int64{"revision": s.revision}
	}
	s.mu.Unlock()
	if status == http.StatusOK && s.onCommit != nil {
		s.onCommit(t)
	}
	if body == nil {
		w.WriteHeader(status)
		return
	}
	answer(w, status, body)
}
