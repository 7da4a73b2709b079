package main

import (
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"
)

// server is a sound server of a service. The fields are set before start.
type server struct {
	world             *world
	id, service, zone string
	ip                string
	slots             int
	// kvTokens is the memory in tokens; zero means enough.
	kvTokens int
	model    string
	// eventTime is the time between two events of a stream, and work the time of another
	// request.
	eventTime, work time.Duration
	// eventBytes is the length of the data of an event.
	eventBytes int
	// answer, if set, handles a request that begins to run, and returns false if the server is to
	// handle it in the usual way.
	answer func(w http.ResponseWriter, r *http.Request, body []byte) bool

	address string
	born    int64
	http    *http.Server

	mu      sync.Mutex
	running int
	orders  int64
	busy    bool
	version int64
	runs    int
	perID   map[string][]*interval
	seq     int
	// rejected counts the requests that did not run.
	rejected int
	stopped  bool
}

func (s *server) start() {
	listener, err := net.Listen("tcp", s.ip+":0")
	if err != nil {
		panic(err)
	}
	s.address, s.born, s.version = listener.Addr().String(), time.Now().UnixMilli(), max(s.version, 1)
	s.perID = map[string][]*interval{}
	s.http = &http.Server{Handler: s}
	go func() { _ = s.http.Serve(listener) }()
	s.register()
	go func() {
		for range time.Tick(1200 * time.Millisecond) {
			s.mu.Lock()
			stopped := s.stopped
			s.mu.Unlock()
			if stopped {
				return
			}
			s.register()
		}
	}()
}

func (s *server) register() {
	s.mu.Lock()
	s.seq++
	entry := map[string]any{
		"service": s.service, "address": s.address, "zone": s.zone, "version": "v1", "slots": s.slots, "state": "ready",
		"coldLeftMs": 0, "stage": "both", "seq": s.seq, "born": s.born, "models": []any{},
	}
	if s.model != "" {
		entry["models"] = []any{map[string]any{"name": s.model, "version": s.version, "adapters": []any{}}}
	}
	s.mu.Unlock()
	s.world.store.put("servers/"+s.id, entry)
}

// isTooLarge reports whether a request for tokens is larger than the memory of the server.
func (s *server) isTooLarge(r *http.Request) bool {
	if s.kvTokens == 0 {
		return false
	}
	total := 0
	for _, part := range strings.Split(r.Header.Get("X-Token-Count"), ",") {
		n, _ := strconv.Atoi(part)
		total += n
	}
	return total > s.kvTokens
}

// interval is a run of a request.
type interval struct {
	began, ended time.Time
	// finished is set if the server made the whole answer.
	finished bool
}

// intervals returns the runs of the request with the id.
func (s *server) intervals(id string) []interval {
	s.mu.Lock()
	defer s.mu.Unlock()
	var all []interval
	for _, i := range s.perID[id] {
		all = append(all, *i)
	}
	return all
}

func (s *server) load() (running int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.running
}

func (s *server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	id := r.Header.Get("X-Request-Id")
	w.Header().Set("X-Request-Id", id)
	w.Header().Set("Keep-Alive", "timeout=15")
	if expected := r.Header.Get("X-Expect-Instance"); expected != "" && expected != s.id {
		w.Header().Set("X-Instance-Id", s.id)
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	switch r.URL.Path {
	case "/healthz":
		w.Header().Set("X-Instance-Id", s.id)
		return
	case "/report":
		s.mu.Lock()
		body := map[string]any{
			"stage": "both", "models": []any{map[string]any{"name": s.model, "version": s.version, "adapters": []any{}}}, "busy": s.busy,
			"seq": s.orders, "numWaiting": 0, "numRunning": s.running, "kvUsed": 0, "kvTotal": 45397, "handles": 0,
		}
		s.mu.Unlock()
		answer(w, http.StatusOK, body)
		return
	case "/order":
		s.serveOrder(w, r)
		return
	}
	body, err := io.ReadAll(r.Body)
	if err != nil {
		panic(http.ErrAbortHandler)
	}
	s.mu.Lock()
	if id == "" || s.running >= s.slots || s.isTooLarge(r) {
		s.rejected++
		s.mu.Unlock()
		w.Header().Set("X-Not-Executed", "1")
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	s.running++
	s.runs++
	current := &interval{began: time.Now()}
	s.perID[id] = append(s.perID[id], current)
	run, version, running := s.runs, s.version, s.running
	s.mu.Unlock()
	defer func() {
		s.mu.Lock()
		s.running--
		current.ended = time.Now()
		s.mu.Unlock()
	}()
	w.Header().Set("X-Server-Load", fmt.Sprintf("%d,0,%d", running, s.slots))
	w.Header().Set("X-Server-Stamp", fmt.Sprintf("%s.%d", s.id, run))
	if s.answer != nil && s.answer(w, r, body) {
		return
	}
	if s.model == "" {
		time.Sleep(s.work)
		_, _ = fmt.Fprintf(w, "%s %s %s", id, r.Method, r.RequestURI)
		return
	}
	s.serveStream(w, r, id, version, current)
}

func (s *server) serveOrder(w http.ResponseWriter, r *http.Request) {
	var body struct {
		Expected *int64 `json:"expected"`
		Version  int64  `json:"version"`
	}
	if err := json.NewDecoder(r.Body).Decode(&body); err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	switch {
	case s.busy || body.Expected != nil && *body.Expected != s.orders:
		w.WriteHeader(http.StatusConflict)
	case body.Version == s.version:
	default:
		s.orders++
		s.busy = true
		time.AfterFunc(900*time.Millisecond, func() {
			s.mu.Lock()
			s.busy, s.version = false, body.Version
			s.mu.Unlock()
			s.register()
		})
		w.WriteHeader(http.StatusAccepted)
	}
}

// streamEvents is the number of events of each stream.
const streamEvents = 16

func eventData(id string, n, size int) string {
	text := fmt.Sprintf("%s.%d.", id, n)
	for len(text) < size {
		text += text
	}
	return text[:max(size, len(id)+4)]
}

func (s *server) serveStream(w http.ResponseWriter, r *http.Request, id string, version int64, current *interval) {
	w.Header().Set("Content-Type", "text/event-stream")
	w.Header().Set("X-Weight-Versions", strconv.FormatInt(version, 10))
	after, _ := strconv.Atoi(r.Header.Get("Last-Event-Id"))
	for n := after + 1; n <= streamEvents; n++ {
		select {
		case <-r.Context().Done():
			return
		case <-time.After(s.eventTime):
		}
		if _, err := fmt.Fprintf(w, "id: %d\ndata: %s\n\n", n, eventData(id, n, s.eventBytes)); err != nil {
			return
		}
		_ = http.NewResponseController(w).Flush()
	}
	s.mu.Lock()
	current.finished = true
	s.mu.Unlock()
}
