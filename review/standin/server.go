package main

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"
)

// server is a backend server: a model server if model is set, otherwise a plain one.
type server struct {
	id, service, model, address string
	slots                       int
	eventTime, workTime         time.Duration
	record                      *record
	store                       *store
	// handle, if set, may handle a request instead of the server. It returns false if it
	// does not.
	handle func(s *server, w http.ResponseWriter, r *http.Request, body []byte) bool

	mu       sync.Mutex
	born     int64
	busy     bool
	http     *http.Server
	orders   int64
	running  int
	name     string
	starts   int
	seq      int
	state    string
	version  int64
	arrivals []arrival
}

// arrival is a request that a server has received.
type arrival struct {
	at     time.Time
	id     string
	server string
	ran    bool
}

const (
	heartbeat = 1200 * time.Millisecond
	loadTime  = 900 * time.Millisecond
)

// start listens on a free loopback port and registers the server until the process ends.
func (s *server) start() {
	s.name, s.born, s.state, s.version = s.id, time.Now().UnixMilli(), "ready", 1
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	check(err)
	s.address = listener.Addr().String()
	s.http = &http.Server{Handler: s}
	go func() { _ = s.http.Serve(listener) }()
	s.register()
	go func() {
		for range time.Tick(heartbeat) {
			s.register()
		}
	}()
}

func (s *server) register() {
	s.mu.Lock()
	if s.state == "down" {
		s.mu.Unlock()
		return
	}
	s.seq++
	entry := map[string]any{
		"service": s.service, "address": s.address, "zone": "zone-a", "version": "v1", "slots": s.slots, "state": s.state,
		"coldLeftMs": 0, "seq": s.seq, "born": s.born,
	}
	if s.model != "" {
		entry["stage"], entry["models"] = "both", s.models()
	}
	key := "servers/" + s.id
	s.mu.Unlock()
	s.store.put(key, entry)
}

func (s *server) models() []map[string]any {
	return []map[string]any{{"name": s.model, "version": s.version, "adapters": []string{}}}
}

// ServeHTTP implements http.Handler.
func (s *server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	id := r.Header.Get("X-Request-Id")
	w.Header().Set("X-Request-Id", id)
	s.mu.Lock()
	self := s.id
	w.Header().Set("X-Instance-Id", self)
	w.Header().Set("X-Server-Load", fmt.Sprintf("%d,0,%d", s.running, s.slots))
	s.mu.Unlock()
	if expected := r.Header.Get("X-Expect-Instance"); expected != "" && expected != self {
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	switch {
	case r.URL.Path == "/report":
		s.mu.Lock()
		defer s.mu.Unlock()
		answer(w, http.StatusOK, map[string]any{
			"stage": "both", "models": s.models(), "busy": s.busy, "seq": s.orders, "numRunning": s.running, "born": s.born,
		})
		return
	case r.URL.Path == "/order":
		s.order(w)
		return
	case s.handle != nil && s.handle(s, w, r, body):
		return
	}
	s.mu.Lock()
	full := s.running >= s.slots || s.busy
	s.arrivals = append(s.arrivals, arrival{at: time.Now(), id: id, server: self, ran: !full})
	if !full {
		s.running++
	}
	s.mu.Unlock()
	if full {
		w.Header().Set("X-Not-Executed", "1")
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	defer func() {
		s.mu.Lock()
		s.running--
		s.mu.Unlock()
	}()
	s.record.printf("server %s runs request %s, Last-Event-Id %q", self, id, r.Header.Get("Last-Event-Id"))
	w.Header().Set("X-Server-Stamp", self+"."+id)
	if s.model == "" {
		time.Sleep(s.workTime)
		_, _ = io.WriteString(w, plainBody(id, r.RequestURI, string(body)))
		return
	}
	s.stream(w, r, id, string(body))
}

// order accepts each order to load a version; the tests name none that a server lacks.
func (s *server) order(w http.ResponseWriter) {
	s.mu.Lock()
	defer s.mu.Unlock()
	w.WriteHeader(http.StatusOK)
}

func plainBody(id, target, body string) string { return strings.Join([]string{id, target, body}, "\n") }

// eventData returns the data of event n of an item.
func eventData(id string, n int) string { return fmt.Sprintf("%s-event-%d", id, n) }

// itemText returns the whole text of an item whose body asks for a number of events.
func itemText(id string, events int) string {
	var lines []string
	for n := 1; n <= events; n++ {
		lines = append(lines, eventData(id, n))
	}
	return strings.Join(lines, "\n")
}

// stream sends the events of an item. The body of the item is the number of its events and blanks.
func (s *server) stream(w http.ResponseWriter, r *http.Request, id, body string) {
	events, _ := strconv.Atoi(strings.TrimSpace(body))
	after, _ := strconv.Atoi(r.Header.Get("Last-Event-Id"))
	w.Header().Set("Content-Type", "text/event-stream")
	w.Header().Set("X-Weight-Versions", strconv.FormatInt(s.version, 10))
	w.WriteHeader(http.StatusOK)
	controller := http.NewResponseController(w)
	for n := after + 1; n <= events; n++ {
		select {
		case <-r.Context().Done():
			return
		case <-time.After(s.eventTime):
		}
		if _, err := fmt.Fprintf(w, "id: %d\ndata: %s\n\n", n, eventData(id, n)); err != nil {
			return
		}
		if controller.Flush() != nil {
			return
		}
	}
}

// received returns the requests that the server has received.
func (s *server) received() []arrival {
	s.mu.Lock()
	defer s.mu.Unlock()
	return append([]arrival(nil), s.arrivals...)
}
