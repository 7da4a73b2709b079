// Package plain implements a stand-in for a plain service with idempotent look-ups and
// bookings that must not run twice. It injects faults and counts the effects itself.
package plain

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"log/slog"
	"maps"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"golang.org/x/sync/errgroup"

	"github.com/nutmegway/nutmegway/internal/backend/engine"
)

// HeaderFault is the request header that names the fault to inject into the request.
const HeaderFault = "X-Fault"

// FaultKind is the kind of an injected fault.
type FaultKind string

// The kinds of faults.
const (
	// FaultCrash closes the listener and all connections before the effect.
	FaultCrash FaultKind = "crash"
	// FaultCutShort sends half of the body and closes the connection.
	FaultCutShort FaultKind = "cut-short"
	// FaultHang keeps the connection open without a response.
	FaultHang FaultKind = "hang"
	// FaultLoseReply closes the connection after the effect, without a response.
	FaultLoseReply FaultKind = "lose-reply"
	// FaultReset reads the body of a booking and resets the connection before the
	// effect.
	FaultReset FaultKind = "reset"
	// FaultSlow delays the response by SlowTime.
	FaultSlow FaultKind = "slow"
)

// Booking is the body of a non-idempotent request.
type Booking struct {
	ID string `json:"booking-id"`
}

// GroundTruth is the service's own record of its work. It survives crashes.
type GroundTruth struct {
	Crashes int `json:"crashes"`
	// Effects counts how often each booking took effect, by id.
	Effects map[string]int `json:"effects"`
	// Lookups counts the look-ups by path.
	Lookups map[string]int `json:"lookups"`
	// Requests counts all requests that arrived, including those that failed.
	Requests int `json:"requests"`
}

// Server is a stand-in for one backend server of a plain service.
type Server struct {
	// Address is where the server listens; Listen replaces port 0.
	Address string
	ID      string
	Logger  *slog.Logger
	// PoisonMarker is the text in a path or a body that crashes the server.
	PoisonMarker string
	// ServiceTime is the time that each request takes.
	ServiceTime time.Duration
	// SlowTime is the additional time that a request with FaultSlow takes.
	SlowTime time.Duration

	down     atomic.Bool
	listener net.Listener
	restart  chan struct{}
	running  atomic.Int64

	mu          sync.Mutex
	crash       context.CancelCauseFunc
	faults      []FaultKind
	groundTruth GroundTruth
}

const (
	maxBodyBytes    = 16 << 20
	defaultSlowTime = 500 * time.Millisecond
	reportedSlots   = 64
)

var errCrashed = errors.New("the server crashed")

// Listen opens the listener, so that Address is known before Run.
func (s *Server) Listen() error {
	if s.Address == "" {
		s.Address = "127.0.0.1:0"
	}
	if s.PoisonMarker == "" {
		s.PoisonMarker = "[poison]"
	}
	if s.SlowTime == 0 {
		s.SlowTime = defaultSlowTime
	}
	if s.restart == nil {
		s.restart = make(chan struct{}, 1)
	}
	if err := s.openListener(); err != nil {
		return err
	}
	s.Address = s.listener.Addr().String()
	return nil
}

func (s *Server) openListener() error {
	var err error
	s.listener, err = (&net.ListenConfig{}).Listen(context.Background(), "tcp", s.Address)
	return err
}

// Run serves until ctx ends. After a crash it waits for Restart.
func (s *Server) Run(ctx context.Context) error {
	if s.listener == nil {
		if err := s.Listen(); err != nil {
			return err
		}
	}
	for s.runProcess(ctx) {
		s.mu.Lock()
		s.groundTruth.Crashes++
		s.mu.Unlock()
		select {
		case <-ctx.Done():
			return nil
		case <-s.restart:
			s.down.Store(false)
		}
		if err := s.openListener(); err != nil {
			return err
		}
	}
	return nil
}

// runProcess runs one lifetime of the simulated process. It returns true after a crash
// and false if ctx has ended.
func (s *Server) runProcess(ctx context.Context) bool {
	processCtx, crash := context.WithCancelCause(ctx)
	defer crash(nil)
	s.mu.Lock()
	s.crash = crash
	s.mu.Unlock()
	server := &http.Server{
		BaseContext:       func(net.Listener) context.Context { return processCtx },
		Handler:           s.handler(),
		ReadHeaderTimeout: time.Minute,
	}
	var group errgroup.Group
	group.Go(func() error { return server.Serve(s.listener) })
	<-processCtx.Done()
	_ = server.Close() // A crash breaks the open connections.
	_ = group.Wait()   // Serve returns http.ErrServerClosed.
	return errors.Is(context.Cause(processCtx), errCrashed)
}

// Crash closes the listener and all connections.
func (s *Server) Crash() {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.crash != nil && s.down.CompareAndSwap(false, true) {
		s.crash(errCrashed)
	}
}

// Restart starts a crashed server again at the same address. It does nothing if the
// server has not crashed.
func (s *Server) Restart() {
	if !s.down.Load() {
		return
	}
	select {
	case s.restart <- struct{}{}:
	default:
	}
}

// Inject queues a fault for a request that names none itself. Each fault affects one
// request.
func (s *Server) Inject(fault FaultKind) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.faults = append(s.faults, fault)
}

// GroundTruth returns a snapshot of what the service has counted.
func (s *Server) GroundTruth() GroundTruth {
	s.mu.Lock()
	defer s.mu.Unlock()
	return GroundTruth{Crashes: s.groundTruth.Crashes, Effects: maps.Clone(s.groundTruth.Effects), Lookups: maps.Clone(s.groundTruth.Lookups), Requests: s.groundTruth.Requests}
}

func (s *Server) handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /truth", func(w http.ResponseWriter, _ *http.Request) { writeJSON(w, s.GroundTruth()) })
	mux.HandleFunc("GET "+engine.PathLoad, func(w http.ResponseWriter, _ *http.Request) {
		writeJSON(w, engine.Load{At: time.Now(), Running: int(s.running.Load()), Slots: reportedSlots})
	})
	mux.HandleFunc("GET /", s.serveLookup)
	mux.HandleFunc("POST /", s.serveBooking)
	return mux
}

// LookupBody returns the response body of a look-up of path, so that callers can verify
// it. It has at least length bytes, which the query "bytes=N" sets.
func LookupBody(path string, length int) string {
	line := "look-up " + path + "\n"
	return strings.Repeat(line, 1+length/len(line))
}

func (s *Server) serveLookup(w http.ResponseWriter, r *http.Request) {
	fault, ok := s.beginRequest(w, r, nil)
	if !ok {
		return
	}
	defer s.running.Add(-1)
	length, err := strconv.Atoi(r.URL.Query().Get("bytes"))
	if err != nil {
		length = 0
	}
	s.mu.Lock()
	s.groundTruth.Lookups = increment(s.groundTruth.Lookups, r.URL.Path)
	s.mu.Unlock()
	writeResponse(w, fault, LookupBody(r.URL.Path, length))
}

func (s *Server) serveBooking(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(io.LimitReader(r.Body, maxBodyBytes))
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	fault, ok := s.beginRequest(w, r, body)
	if !ok {
		return
	}
	defer s.running.Add(-1)
	var booking Booking
	if err := json.Unmarshal(body, &booking); err != nil || booking.ID == "" {
		http.Error(w, "the body has no booking-id", http.StatusBadRequest)
		return
	}
	s.mu.Lock()
	s.groundTruth.Effects = increment(s.groundTruth.Effects, booking.ID)
	s.mu.Unlock()
	writeResponse(w, fault, fmt.Sprintf(`{"booked":%q}`, booking.ID))
}

func increment(counts map[string]int, key string) map[string]int {
	if counts == nil {
		counts = map[string]int{}
	}
	counts[key]++
	return counts
}

// beginRequest applies the faults that occur before the effect. It returns false if
// they have ended the request.
func (s *Server) beginRequest(w http.ResponseWriter, r *http.Request, body []byte) (FaultKind, bool) {
	fault := FaultKind(r.Header.Get(HeaderFault))
	s.mu.Lock()
	s.groundTruth.Requests++
	if fault == "" && len(s.faults) > 0 {
		fault, s.faults = s.faults[0], s.faults[1:]
	}
	s.mu.Unlock()
	if strings.Contains(r.URL.Path, s.PoisonMarker) || strings.Contains(string(body), s.PoisonMarker) {
		fault = FaultCrash
	}
	wait := s.ServiceTime
	switch fault {
	case FaultCrash:
		s.Crash()
		<-r.Context().Done()
		panic(http.ErrAbortHandler)
	case FaultHang:
		<-r.Context().Done()
		panic(http.ErrAbortHandler)
	case FaultReset:
		reset(w)
		return fault, false
	case FaultSlow:
		wait += s.SlowTime
	}
	s.running.Add(1)
	if wait > 0 {
		time.Sleep(wait)
	}
	return fault, true
}

func writeResponse(w http.ResponseWriter, fault FaultKind, body string) {
	w.Header().Set("Content-Length", strconv.Itoa(len(body)))
	switch fault {
	case FaultLoseReply:
		panic(http.ErrAbortHandler)
	case FaultCutShort:
		_, _ = io.WriteString(w, body[:len(body)/2]) // The connection is abandoned.
		_ = http.NewResponseController(w).Flush()    // The connection is abandoned.
		panic(http.ErrAbortHandler)
	default:
		_, _ = io.WriteString(w, body) // The write fails only if the peer is gone.
	}
}

// reset ends the connection with a TCP reset.
func reset(w http.ResponseWriter) {
	conn, _, err := http.NewResponseController(w).Hijack()
	if err != nil {
		return
	}
	if tcp, ok := conn.(*net.TCPConn); ok {
		_ = tcp.SetLinger(0) // Close then sends a TCP reset.
	}
	_ = conn.Close() // The connection is abandoned.
}

func writeJSON(w http.ResponseWriter, value any) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(value) // The write fails only if the peer is gone.
}
