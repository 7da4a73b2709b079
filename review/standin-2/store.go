package main

import (
	"encoding/json"
	"net/http"
	"sort"
	"strconv"
	"strings"
	"sync"
	"time"
)

// item is one entry of the store, or a change of one.
type item struct {
	Key      string `json:"key"`
	Value    []byte `json:"value,omitempty"`
	Revision int64  `json:"revision"`
	Created  int64  `json:"created,omitempty"`
	Lease    int64  `json:"lease,omitempty"`
	Deleted  bool   `json:"deleted,omitempty"`
}

type lease struct {
	until time.Time
	ttl   time.Duration
}

// store is a sound key-value service of the platform. Its writes are atomic and its reads
// linearizable, and it keeps its whole history.
type store struct {
	mu       sync.Mutex
	items    map[string]item
	history  []item
	leases   map[int64]*lease
	revision int64
	changed  chan struct{}
	// onCommit, if set, sees each transaction of a host that was carried out.
	onCommit func(keys []string)
}

func newStore() *store {
	s := &store{items: map[string]item{}, leases: map[int64]*lease{}, revision: 100, changed: make(chan struct{})}
	go func() {
		for range time.Tick(50 * time.Millisecond) {
			s.mu.Lock()
			s.expire()
			s.mu.Unlock()
		}
	}()
	return s
}

// put writes a key as an operator, a trainer or a server does.
func (s *store) put(key string, value any) {
	encoded, err := json.Marshal(value)
	if err != nil {
		panic(err)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.revision++
	s.set(key, encoded, 0)
	s.notify()
}

func (s *store) remove(key string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.revision++
	s.del(key)
	s.notify()
}

// get returns the value of a key, for the checks of a case.
func (s *store) get(key string) ([]byte, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	i, ok := s.items[key]
	return i.Value, ok
}

func (s *store) set(key string, value []byte, lease int64) {
	i := item{Key: key, Value: value, Revision: s.revision, Created: s.revision, Lease: lease}
	if before, ok := s.items[key]; ok {
		i.Created = before.Created
	}
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

func (s *store) expire() {
	now, any := time.Now(), false
	for id, l := range s.leases {
		if now.After(l.until) {
			any = s.endLease(id) || any
		}
	}
	if any {
		s.notify()
	}
}

func (s *store) endLease(id int64) bool {
	delete(s.leases, id)
	var keys []string
	for key, i := range s.items {
		if i.Lease == id {
			keys = append(keys, key)
		}
	}
	if len(keys) == 0 {
		return false
	}
	s.revision++
	for _, key := range keys {
		s.del(key)
	}
	return true
}

func answer(w http.ResponseWriter, status int, body any) {
	encoded, err := json.Marshal(body)
	if err != nil {
		panic(err)
	}
	w.Header().Set("Content-Type", "application/json")
	w.Header().Set("Content-Length", strconv.Itoa(len(encoded)))
	w.WriteHeader(status)
	_, _ = w.Write(encoded)
}

func (s *store) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	query := r.URL.Query()
	switch {
	case r.URL.Path == "/kv-key":
		s.mu.Lock()
		s.expire()
		i, ok := s.items[query.Get("key")]
		revision := s.revision
		s.mu.Unlock()
		if !ok {
			answer(w, http.StatusNotFound, map[string]any{"storeRevision": revision})
			return
		}
		answer(w, http.StatusOK, struct {
			item
			StoreRevision int64 `json:"storeRevision"`
		}{i, revision})
	case r.URL.Path == "/kv-range":
		s.serveRange(w, query.Get("prefix"), query.Get("after"))
	case r.URL.Path == "/kv-watch":
		after, _ := strconv.ParseInt(query.Get("after"), 10, 64)
		wait, _ := strconv.Atoi(query.Get("waitMs"))
		s.serveWatch(w, r, query.Get("prefix"), after, time.Duration(wait)*time.Millisecond)
	case r.URL.Path == "/kv-txn":
		s.serveTxn(w, r)
	case r.URL.Path == "/kv-lease":
		var body struct {
			TTL int64 `json:"ttlMs"`
		}
		_ = json.NewDecoder(r.Body).Decode(&body)
		s.mu.Lock()
		s.revision++
		id, ttl := s.revision, time.Duration(max(body.TTL, 1000))*time.Millisecond
		s.leases[id] = &lease{until: time.Now().Add(ttl), ttl: ttl}
		s.mu.Unlock()
		answer(w, http.StatusOK, map[string]any{"lease": id, "ttlMs": ttl.Milliseconds()})
	case strings.HasPrefix(r.URL.Path, "/kv-keep/"):
		id, _ := strconv.ParseInt(strings.TrimPrefix(r.URL.Path, "/kv-keep/"), 10, 64)
		s.mu.Lock()
		s.expire()
		l, ok := s.leases[id]
		if ok {
			l.until = time.Now().Add(l.ttl)
		}
		s.mu.Unlock()
		if !ok {
			w.WriteHeader(http.StatusNotFound)
			return
		}
		answer(w, http.StatusOK, map[string]any{"ttlMs": l.ttl.Milliseconds()})
	case strings.HasPrefix(r.URL.Path, "/kv-lease-end/"):
		id, _ := strconv.ParseInt(strings.TrimPrefix(r.URL.Path, "/kv-lease-end/"), 10, 64)
		s.mu.Lock()
		_, ok := s.leases[id]
		if ok && s.endLease(id) {
			s.notify()
		}
		s.mu.Unlock()
		if !ok {
			w.WriteHeader(http.StatusNotFound)
		}
	default:
		w.WriteHeader(http.StatusNotFound)
	}
}

// The largest page holds 500 items or about 1 MB.
const (
	pageItems = 500
	pageBytes = 1 << 20
)

func (s *store) serveRange(w http.ResponseWriter, prefix, after string) {
	s.mu.Lock()
	s.expire()
	var keys []string
	for key := range s.items {
		if strings.HasPrefix(key, prefix) && key > after {
			keys = append(keys, key)
		}
	}
	sort.Strings(keys)
	items, size, more := []item{}, 0, false
	for _, key := range keys {
		i := s.items[key]
		if len(items) == pageItems || len(items) > 0 && size+len(i.Value) > pageBytes {
			more = true
			break
		}
		items, size = append(items, i), size+len(i.Value)
	}
	revision := s.revision
	s.mu.Unlock()
	answer(w, http.StatusOK, map[string]any{"items": items, "hasMore": more, "storeRevision": revision})
}

func (s *store) serveWatch(w http.ResponseWriter, r *http.Request, prefix string, after int64, wait time.Duration) {
	timeout := time.After(wait)
	for {
		s.mu.Lock()
		s.expire()
		events := []item{}
		from := sort.Search(len(s.history), func(n int) bool { return s.history[n].Revision > after })
		for _, i := range s.history[from:] {
			if strings.HasPrefix(i.Key, prefix) {
				events = append(events, i)
			}
		}
		revision, changed := s.revision, s.changed
		s.mu.Unlock()
		if len(events) > 0 {
			answer(w, http.StatusOK, map[string]any{"events": events, "storeRevision": revision})
			return
		}
		select {
		case <-changed:
		case <-r.Context().Done():
			return
		case <-timeout:
			answer(w, http.StatusOK, map[string]any{"events": events, "storeRevision": revision})
			return
		}
	}
}

func (s *store) serveTxn(w http.ResponseWriter, r *http.Request) {
	var body struct {
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
	if err := json.NewDecoder(r.Body).Decode(&body); err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	// A page of the platform allows 32 entries; the conditions on keys that the same call
	// writes are counted with them.
	if len(body.SetKeys)+len(body.Remove) > 32 || len(body.Expected) > 32 {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.expire()
	holds, current := true, []item{}
	for _, e := range body.Expected {
		i, ok := s.items[e.Key]
		if i.Revision != e.Revision {
			holds = false
		}
		if ok {
			current = append(current, i)
		}
	}
	if !holds {
		answer(w, http.StatusPreconditionFailed, map[string]any{"items": current, "storeRevision": s.revision})
		return
	}
	for _, set := range body.SetKeys {
		if _, ok := s.leases[set.Lease]; set.Lease != 0 && !ok {
			w.WriteHeader(http.StatusNotFound)
			return
		}
		if strings.HasPrefix(set.Key, "op/") || strings.HasPrefix(set.Key, "servers/") {
			w.WriteHeader(http.StatusForbidden)
			return
		}
	}
	s.revision++
	var keys []string
	for _, set := range body.SetKeys {
		s.set(set.Key, set.Value, set.Lease)
		keys = append(keys, set.Key)
	}
	for _, key := range body.Remove {
		s.del(key)
	}
	s.notify()
	if s.onCommit != nil {
		s.onCommit(keys)
	}
	answer(w, http.StatusOK, map[string]any{"revision": s.revision})
}
