// Package weightstore implements a small stand-in for the platform's weight store, with
// a rate limit.
package weightstore

import (
	"cmp"
	"context"
	"encoding/json"
	"errors"
	"io"
	"net"
	"net/http"
	"slices"
	"strconv"
	"sync"
	"time"

	"golang.org/x/sync/errgroup"
	"golang.org/x/time/rate"

	"github.com/nutmegway/nutmegway/internal/external/weightstore"
)

const (
	defaultBurst  = 20
	defaultRate   = 20
	headerTimeout = 5 * time.Second
	maxFetchBytes = 1 << 20
)

// Server is a stand-in for the weight store. Its exported fields must be set before
// Listen.
type Server struct {
	// Burst is the number of calls that are allowed at once. Zero means 20.
	Burst int
	// ListenAddress is the IP address and port; empty means a free port on
	// loopback.
	ListenAddress string
	// Rate is the number of calls allowed per second. Zero means 20.
	Rate float64

	limiter  *rate.Limiter
	listener net.Listener

	mu      sync.Mutex
	calls   int64
	limited int64
	models  map[string][]weightstore.Version
}

// Listen opens the listener.
func (s *Server) Listen() (err error) {
	address := s.ListenAddress
	if address == "" {
		address = "127.0.0.1:0"
	}
	s.limiter = rate.NewLimiter(rate.Limit(cmp.Or(s.Rate, defaultRate)), cmp.Or(s.Burst, defaultBurst))
	s.models = make(map[string][]weightstore.Version)
	s.listener, err = (&net.ListenConfig{}).Listen(context.Background(), "tcp", address)
	return err
}

// URL returns the base URL of the listener that Listen has opened.
func (s *Server) URL() string { return "http://" + s.listener.Addr().String() }

// Calls returns the number of calls so far and how many of them were rejected by the
// rate limit.
func (s *Server) Calls() (calls, limited int64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.calls, s.limited
}

// Run serves until ctx ends.
func (s *Server) Run(ctx context.Context) error {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /v1/models/{model}/versions", s.rateLimit(s.serveVersions))
	mux.HandleFunc("POST /v1/models/{model}/versions", s.rateLimit(s.servePublish))
	mux.HandleFunc("GET /v1/models/{model}/versions/{number}/bytes", s.rateLimit(s.serveBytes))
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

func (s *Server) rateLimit(next http.HandlerFunc) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		allowed := s.limiter.Allow()
		s.mu.Lock()
		s.calls++
		if !allowed {
			s.limited++
		}
		s.mu.Unlock()
		if !allowed {
			w.Header().Set("Retry-After", "1")
			http.Error(w, "over the rate limit", http.StatusTooManyRequests)
			return
		}
		next(w, r)
	}
}

func (s *Server) serveVersions(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	versions := slices.Clone(s.models[r.PathValue("model")])
	s.mu.Unlock()
	if versions == nil {
		versions = []weightstore.Version{}
	}
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(versions)
}

func (s *Server) servePublish(w http.ResponseWriter, r *http.Request) {
	var published weightstore.Version
	if err := json.NewDecoder(io.LimitReader(r.Body, maxFetchBytes)).Decode(&published); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	published.Model = r.PathValue("model")
	if !s.publish(published) {
		http.Error(w, "a different version already has this number", http.StatusConflict)
		return
	}
	w.WriteHeader(http.StatusCreated)
}

// publish adds a version. It reports false if the number is already used by a version
// of another size.
func (s *Server) publish(published weightstore.Version) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	versions := s.models[published.Model]
	i, found := slices.BinarySearchFunc(versions, published.Number, func(v weightstore.Version, number int64) int {
		return cmp.Compare(v.Number, number)
	})
	if found {
		return versions[i].Bytes == published.Bytes
	}
	s.models[published.Model] = slices.Insert(versions, i, published)
	return true
}

// serveBytes responds with as many bytes as the published version has, at most 1 MiB.
func (s *Server) serveBytes(w http.ResponseWriter, r *http.Request) {
	number, err := strconv.ParseInt(r.PathValue("number"), 10, 64)
	if err != nil {
		http.Error(w, "the version number is not an integer", http.StatusBadRequest)
		return
	}
	s.mu.Lock()
	versions := s.models[r.PathValue("model")]
	i := slices.IndexFunc(versions, func(v weightstore.Version) bool { return v.Number == number })
	var size int64
	if i >= 0 {
		size = min(versions[i].Bytes, maxFetchBytes)
	}
	s.mu.Unlock()
	if i < 0 {
		http.Error(w, "no such version", http.StatusNotFound)
		return
	}
	w.Header().Set("Content-Type", "application/octet-stream")
	_, _ = w.Write(make([]byte, size))
}
