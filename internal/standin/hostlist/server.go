// Package hostlist is a small stand-in for the platform's host list. Changes
// show after a lag.
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

// Server is the stand-in. The fields are set before Listen.
type Server struct {
	// Lag is how late a change shows.
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
	// versions are the lists by the time at which they show, oldest first.
	versions []version
}

type version struct {
	list    hostlist.List
	showsAt time.Time
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

// URL returns the base URL, which Listen has opened.
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
	s.change(func() {
		for _, host := range hosts {
			s.hosts[host.ID] = host
		}
	})
}

// SetState changes the state of a host.
func (s *Server) SetState(id string, state hostlist.State) {
	s.change(func() {
		if host, ok := s.hosts[id]; ok {
			host.State = state
			s.hosts[id] = host
		}
	})
}

// Remove takes a host off the list.
func (s *Server) Remove(id string) {
	s.change(func() { delete(s.hosts, id) })
}

// SetDown makes the list answer with an error until it is called with false.
func (s *Server) SetDown(down bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.down = down
}

// Reads returns the number of reads so far.
func (s *Server) Reads() int64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.reads
}

func (s *Server) change(edit func()) {
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
	s.versions = append(s.versions, version{list: list, showsAt: time.Now().Add(s.Lag)})
}

// shown returns the list that shows now. The lock is held.
func (s *Server) shown() hostlist.List {
	now := time.Now()
	for len(s.versions) > 1 && !s.versions[1].showsAt.After(now) {
		s.versions = slices.Delete(s.versions, 0, 1)
	}
	if len(s.versions) == 0 || s.versions[0].showsAt.After(now) {
		return hostlist.List{}
	}
	return s.versions[0].list
}

func (s *Server) serveHosts(w http.ResponseWriter, r *http.Request) {
	after, err := strconv.ParseInt(r.URL.Query().Get("after"), 10, 64)
	if err != nil && r.URL.Query().Has("after") {
		http.Error(w, "after is not a number", http.StatusBadRequest)
		return
	}
	s.mu.Lock()
	s.reads++
	down, list := s.down, s.shown()
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
