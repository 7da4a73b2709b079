// Package hostlist implements a small stand-in for the platform's host list. Changes
// become visible after a lag.
package hostlist

import (
	"context"
	"encoding/json"
	"errors"
	"net"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"

	"golang.org/x/sync/errgroup"

	"github.com/nutmegway/nutmegway/internal/external/hostlist"
)

const headerTimeout = 5 * time.Second

// Server is a stand-in for the host list. Its exported fields must be set before
// Listen.
type Server struct {
	// Lag is the delay until a change becomes visible to readers.
	Lag time.Duration
	// ListenAddress is the IP address and port; empty means a free port on
	// loopback.
	ListenAddress string

	listener net.Listener

	mu       sync.Mutex
	down     bool
	hosts    map[string]hostlist.Host
	reads    int64
	revision int64
	// versions holds the visible list and those that become visible later, oldest
	// first.
	versions []scheduledList
}

// scheduledList is a list that becomes visible at visibleAt.
type scheduledList struct {
	list      hostlist.List
	visibleAt time.Time
}

// Listen opens the listener.
func (s *Server) Listen() (err error) {
	address := s.ListenAddress
	if address == "" {
		address = "127.0.0.1:0"
	}
	s.listener, err = (&net.ListenConfig{}).Listen(context.Background(), "tcp", address)
	return err
}

// URL returns the base URL of the listener that Listen has opened.
func (s *Server) URL() string { return "http://" + s.listener.Addr().String() }

// Run serves until ctx ends.
func (s *Server) Run(ctx context.Context) error {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /v1/hosts", s.serveHosts)
	server := &http.Server{Handler: mux, ReadHeaderTimeout: headerTimeout}
	group, ctx := errgroup.WithContext(ctx)
	group.Go(func() error {
		if err := server.Serve(s.listener); !errors.Is(err, http.ErrServerClosed) {
			return err
		}
		return nil
	})
	group.Go(func() error {
		<-ctx.Done()
		return server.Close()
	})
	return group.Wait()
}

// Set adds or replaces hosts.
func (s *Server) Set(hosts ...hostlist.Host) {
	s.update(func() {
		for _, host := range hosts {
			s.hosts[host.ID] = host
		}
	})
}

// SetState changes the state of a host. It does nothing if the list has no such host.
func (s *Server) SetState(id string, state hostlist.State) {
	s.update(func() {
		if host, ok := s.hosts[id]; ok {
			host.State = state
			s.hosts[id] = host
		}
	})
}

// Remove removes a host from the list.
func (s *Server) Remove(id string) {
	s.update(func() { delete(s.hosts, id) })
}

// SetDown makes the server answer reads with an error until it is called with false.
func (s *Server) SetDown(down bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.down = down
}

// Reads returns the number of read requests so far, including failed ones.
func (s *Server) Reads() int64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.reads
}

func (s *Server) update(edit func()) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.hosts == nil {
		s.hosts = make(map[string]hostlist.Host)
	}
	edit()
	s.revision++
	list := hostlist.List{Hosts: make([]hostlist.Host, 0, len(s.hosts)), Revision: s.revision}
	for _, host := range s.hosts {
		list.Hosts = append(list.Hosts, host)
	}
	slices.SortFunc(list.Hosts, func(a, b hostlist.Host) int { return strings.Compare(a.ID, b.ID) })
	s.versions = append(s.versions, scheduledList{list: list, visibleAt: time.Now().Add(s.Lag)})
}

// visibleList returns the list that is visible now. s.mu must be held.
func (s *Server) visibleList() hostlist.List {
	now := time.Now()
	for len(s.versions) > 1 && !s.versions[1].visibleAt.After(now) {
		s.versions = slices.Delete(s.versions, 0, 1)
	}
	if len(s.versions) == 0 || s.versions[0].visibleAt.After(now) {
		return hostlist.List{}
	}
	return s.versions[0].list
}

func (s *Server) serveHosts(w http.ResponseWriter, r *http.Request) {
	after, err := strconv.ParseInt(r.URL.Query().Get("after"), 10, 64)
	if err != nil && r.URL.Query().Has("after") {
		http.Error(w, `parameter "after" is not a number`, http.StatusBadRequest)
		return
	}
	s.mu.Lock()
	s.reads++
	down, list := s.down, s.visibleList()
	s.mu.Unlock()
	if down {
		http.Error(w, "the host list is down", http.StatusServiceUnavailable)
		return
	}
	if list.Revision <= after {
		list.Hosts = []hostlist.Host{}
	}
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(list)
}
