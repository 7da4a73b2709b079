package main

import (
	"fmt"
	"net"
	"net/http"
	"sync"
	"time"
)

func init() { cases["crashing-item"] = crashingItem }

const (
	// downTime is how long a server is away after a crash.
	downTime = 3 * time.Second
	// contact is the bound contactMs.
	contact = 3 * time.Second
	// watched is how long the batch stays open.
	watched = 25 * time.Second
)

// crashes holds when one item has reached a server.
type crashes struct {
	mu sync.Mutex
	at []time.Time
}

// crashingItem submits a batch with one item that crashes each server that begins to run it.
func crashingItem(f *fleet) string {
	batch := newBatch(batchPrefix, "poison", 6, 4, 40, 6)
	const item = "poison-g2-i1"
	var seen crashes
	for n := range 5 {
		s := &server{id: fmt.Sprintf("engine-%d", n), service: engines, model: modelName, slots: 16, eventTime: 20 * time.Millisecond}
		s.handle = func(s *server, _ http.ResponseWriter, r *http.Request, _ []byte) bool {
			if !f.trouble || r.Header.Get("X-Request-Id") != item {
				return false
			}
			seen.mu.Lock()
			seen.at = append(seen.at, time.Now())
			f.record.printf("server %s crashes on item %s, the %d. time", s.id, item, len(seen.at))
			seen.mu.Unlock()
			go s.crash(downTime)
			panic(http.ErrAbortHandler)
		}
		f.servers = append(f.servers, s)
	}
	f.start(3)
	if status := f.submit(f.nodes[0], batch, 3*time.Second); status != http.StatusAccepted {
		check(fmt.Errorf("the batch was answered with %d", status))
	}
	var results []result
	whole := f.readAll(f.nodes[0], batch, &results, watched)
	f.end(f.nodes[0], batch.id)
	seen.mu.Lock()
	defer seen.mu.Unlock()
	late := 0
	for i, at := range seen.at {
		if i > 2 && at.Sub(seen.at[2]) > contact {
			late++
		}
	}
	f.record.printf("the item crashed %d servers, %d of them later than %s after the third; %d of %d results were listed", len(seen.at), late, contact, len(results), len(batch.events))
	if late > 3 {
		return fmt.Sprintf("BUDGET: the item reached servers %d times later than %s after it had crashed the third; it crashed %d in %s", late, contact, len(seen.at), watched)
	}
	if !f.trouble && !whole {
		check(fmt.Errorf("the batch did not complete"))
	}
	return ""
}

// crash ends the server's connections, as when its process ends, and starts it again under
// another id after a while.
func (s *server) crash(down time.Duration) {
	s.mu.Lock()
	if s.state == "down" {
		s.mu.Unlock()
		return
	}
	old := s.id
	s.state = "down"
	_ = s.http.Close()
	s.mu.Unlock()
	time.Sleep(down)
	s.store.remove("servers/" + old)
	listener, err := net.Listen("tcp", s.address)
	if err != nil {
		s.record.printf("server %s can't listen again: %v", old, err)
		return
	}
	s.mu.Lock()
	s.starts++
	s.id = fmt.Sprintf("%s-%d", s.name, s.starts)
	s.born, s.state, s.running, s.orders, s.busy = time.Now().UnixMilli(), "ready", 0, 0, false
	s.http = &http.Server{Handler: s}
	go func(h *http.Server) { _ = h.Serve(listener) }(s.http)
	s.mu.Unlock()
	s.register()
}
