package usage

import (
	"context"
	"log/slog"
	"sync"
	"time"

	"github.com/nutmegway/nutmegway/internal/base/wait"
	"github.com/nutmegway/nutmegway/internal/fleet/roster"
)

const (
	// sendInterval is the time between two reports of a host to the holder. What a host
	// counted since the last one is lost if the host dies.
	sendInterval = time.Second
	// sendTimeout bounds one report to another host.
	sendTimeout = 500 * time.Millisecond
)

// Report is what a host tells the holder.
type Report struct {
	// Counts are all requests that the host has counted in windows that aren't closed.
	Counts Counts
	// Source is the incarnation of the host.
	Source string
	// Wall is the time of day of the host.
	Wall time.Time
}

// Reply is the holder's answer.
type Reply struct {
	// Next is the first window that isn't closed, or zero if unknown.
	Next int64
	// Time is the time of the fleet.
	Time time.Time
}

// Link sends reports to other hosts.
type Link interface {
	Report(ctx context.Context, address string, report Report) (Reply, error)
}

// Duties tells which hosts the counts go to.
type Duties interface {
	// Changed returns a channel that is closed when the holder changes.
	Changed() <-chan struct{}
	// Current returns the id of the holder.
	Current() (id string, ok bool)
	// Successor returns the host that is the first to take over.
	Successor() string
}

// Sender sends what this host has counted to the holder of the duties and to its successor.
// The exported fields are set before Run.
type Sender struct {
	Clock     *Clock
	Collector *Collector
	Duties    Duties
	// Host returns the listed host with an id.
	Host func(id string) (roster.Host, bool)
	// Link is nil if this host is the only one.
	Link     Link
	Logger   *slog.Logger
	Recorder *Recorder
	// Self is the id of this host, and Incarnation that of its process.
	Self, Incarnation string

	mu sync.Mutex
	// sent holds the revision of the counts that each host has acknowledged, by incarnation.
	sent map[string]int64
}

// Run sends counts until ctx ends.
func (s *Sender) Run(ctx context.Context) error {
	wait.For(ctx, wait.Jittered(sendInterval))
	for ctx.Err() == nil {
		changed := s.Duties.Changed()
		s.Flush(ctx)
		timer := time.NewTimer(sendInterval)
		select {
		case <-ctx.Done():
		case <-changed:
		case <-timer.C:
		}
		timer.Stop()
	}
	return nil
}

// Flush sends what the holder and its successor don't have yet.
func (s *Sender) Flush(ctx context.Context) {
	holder, ok := s.Duties.Current()
	if ok {
		s.sendTo(ctx, holder, true)
	}
	if successor := s.Duties.Successor(); successor != "" {
		s.sendTo(ctx, successor, false)
	}
}

// sendTo sends the counts to one host. The holder's time is that of the fleet.
func (s *Sender) sendTo(ctx context.Context, id string, isHolder bool) {
	if id == s.Self {
		if isHolder {
			s.Clock.Lead()
		}
		counts, _, _ := s.Recorder.Snapshot(time.Now())
		s.Collector.Merge(s.Incarnation, counts)
		s.close(ctx, s.Collector.Next())
		return
	}
	host, ok := s.Host(id)
	if !ok || host.PeerAddress == "" || s.Link == nil {
		return
	}
	for range 2 {
		counts, revision, waiting := s.Recorder.Snapshot(time.Now())
		if s.acknowledged(host.Incarnation) == revision {
			return
		}
		if waiting && !isHolder {
			return
		}
		if !s.send(ctx, host, counts, isHolder) {
			return
		}
		if !waiting {
			s.acknowledge(host.Incarnation, revision)
			return
		}
		// The answer has brought the time of the fleet, so that the windows of the requests
		// that waited for it are known now.
	}
}

func (s *Sender) send(ctx context.Context, host roster.Host, counts Counts, isHolder bool) bool {
	ctx, cancel := context.WithTimeout(ctx, sendTimeout)
	defer cancel()
	sent := time.Now()
	reply, err := s.Link.Report(ctx, host.PeerAddress, Report{Counts: counts, Source: s.Incarnation, Wall: s.Clock.TimeOfDay()})
	if err != nil {
		s.Logger.LogAttrs(ctx, slog.LevelDebug, "usage not sent", slog.String("host", host.ID), slog.Any("error", err))
		return false
	}
	if isHolder {
		s.Clock.Follow(reply.Time, sent, time.Now())
		s.close(ctx, reply.Next)
	}
	return true
}

// close drops the windows before next.
func (s *Sender) close(ctx context.Context, next int64) {
	if late := s.Recorder.Close(next); late > 0 {
		s.Logger.LogAttrs(ctx, slog.LevelWarn, "requests counted too late for their window", slog.Int64("requests", late))
	}
}

func (s *Sender) acknowledged(incarnation string) int64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.sent[incarnation]
}

func (s *Sender) acknowledge(incarnation string, revision int64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.sent == nil || len(s.sent) > maxWindows {
		// Hosts that are forgotten get all counts again.
		s.sent = make(map[string]int64)
	}
	s.sent[incarnation] = revision
}

// Receive handles the report of another host.
func (s *Sender) Receive(report Report) Reply {
	s.Clock.Observe(report.Source, report.Wall)
	s.Collector.Merge(report.Source, report.Counts)
	return Reply{Next: s.Collector.Next(), Time: s.Clock.Time(time.Now())}
}
