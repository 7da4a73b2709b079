// Package crashdetect detects whether the process of a backend server ended while it held
// a request that it never answered.
package crashdetect

import (
	"context"
	"log/slog"
	"maps"
	"sync"
	"time"

	"go.opentelemetry.io/otel"
	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/metric"
	"golang.org/x/sync/errgroup"

	"github.com/nutmegway/nutmegway/internal/backend/inventory"
	"github.com/nutmegway/nutmegway/internal/base/probe"
	"github.com/nutmegway/nutmegway/internal/base/recovery"
	"github.com/nutmegway/nutmegway/internal/base/wait"
)

const (
	// maxIncidents bounds the open incidents. Each occupies a goroutine that mostly
	// waits.
	maxIncidents = 256
	// maxSilent bounds the open incidents of requests that timed out. They are open for long and
	// seldom find anything, so they must not keep out those whose connection broke.
	maxSilent = maxIncidents / 2
	// investigationTimeout is longer than the three missed reports after which the
	// platform removes the entry of a silent server.
	investigationTimeout = 6 * time.Second
	// restartWindow is how long the entry of a server is polled if its address still
	// accepts connections. If the process has ended and restarted at once, its new entry
	// reaches the hosts within this time.
	restartWindow = time.Second
	// reportMemory is how long a reported instance is remembered. Requests that the server
	// left unanswered time out within it.
	reportMemory = 30 * time.Second
	// entryPollInterval is the time between two reads of the server's entry.
	entryPollInterval = 100 * time.Millisecond
	// An address is probed up to probeCount times, probeInterval apart, since the
	// listener of an ending process may briefly outlive its connections.
	probeCount    = 2
	probeInterval = 50 * time.Millisecond
)

// Prober checks whether a process listens at an IP address and port.
type Prober interface {
	Probe(ctx context.Context, address string) probe.Result
}

// ServerRegistry looks up backend servers in the platform's list.
type ServerRegistry interface {
	Get(id string) (inventory.Server, bool)
}

// Links tells whether this host reaches backend servers.
type Links interface {
	// ReachesAny reports whether a server other than the one at the address accepts a
	// connection now, or no other is known.
	ReachesAny(ctx context.Context, except string) bool
}

// Incident is a request that a server left unanswered.
type Incident struct {
	// Broken is set if the connection broke; otherwise the request timed out.
	Broken bool
	// Content is the fingerprint of the request's content.
	Content   uint64
	RequestID string
	// Server is the server's entry at the time the request was sent.
	Server inventory.Server
}

// instanceKey identifies the content of a request and the start of the server that ran it.
// Only one incident with the same key is open at a time.
type instanceKey struct {
	content uint64
	id      string
	started int64
}

func (incident Incident) instance() instanceKey {
	return instanceKey{content: incident.Content, id: incident.Server.ID, started: incident.Server.Started}
}

// evidence is the observation from which the Detector concludes that a server's process has
// ended. It is empty if there is none.
type evidence string

const (
	evidenceEntryGone evidence = "entry-gone"
	evidenceRefused   evidence = "connection-refused"
	evidenceRestarted evidence = "restarted"
)

// Detector investigates incidents. The fields are set before Run.
type Detector struct {
	// Links, if not nil, is asked before a refused connection counts as evidence: the links of
	// this host may be at fault.
	Links  Links
	Logger *slog.Logger
	// OnEnded, if not nil, is called for each incident whose server has ended.
	// Concurrent incidents with the same start of a server and the same content count
	// as one.
	OnEnded func(Incident)
	Prober  Prober
	Servers ServerRegistry

	once  sync.Once
	queue chan Incident
	ended metric.Int64Counter

	mu   sync.Mutex
	open map[instanceKey]struct{}
	// silent counts the open incidents of requests that timed out.
	silent int
	// reported holds when each instance was reported. It keeps a start of a server from being
	// reported again by requests that notice its end later.
	reported map[instanceKey]time.Time
}

func (d *Detector) init() {
	d.once.Do(func() {
		d.queue = make(chan Incident, maxIncidents)
		d.open, d.reported = make(map[instanceKey]struct{}), make(map[instanceKey]time.Time)
		ended, err := otel.Meter("nutmegway/ending").Int64Counter("nutmegway.ending.servers",
			metric.WithDescription("Backend servers that ended under a request, by evidence."))
		if err != nil {
			d.Logger.Error("cannot create metric", slog.Any("error", err))
		}
		d.ended = ended
	})
}

// Submit opens an incident and never blocks. It drops the incident if maxIncidents are open, if
// the request timed out and maxSilent such incidents are open, or if one with the same
// instanceKey is open or was reported within reportMemory.
func (d *Detector) Submit(incident Incident) {
	d.init()
	d.mu.Lock()
	_, known := d.open[incident.instance()]
	known = known || d.isReported(incident.instance())
	full := len(d.open) >= maxIncidents || !incident.Broken && d.silent >= maxSilent
	if !known && !full {
		d.open[incident.instance()] = struct{}{}
		if !incident.Broken {
			d.silent++
		}
	}
	d.mu.Unlock()
	switch {
	case known:
	case full:
		d.Logger.Warn("unanswered request not investigated: too many open incidents",
			slog.String("server", incident.Server.ID), slog.String("request-id", incident.RequestID),
			slog.Bool("broken", incident.Broken))
	default:
		d.queue <- incident // The channel has room for all open incidents.
	}
}

// isReported reports whether the instance was reported within reportMemory, and forgets older
// reports. The caller holds d.mu.
func (d *Detector) isReported(instance instanceKey) bool {
	maps.DeleteFunc(d.reported, func(_ instanceKey, at time.Time) bool { return time.Since(at) > reportMemory })
	_, reported := d.reported[instance]
	return reported
}

// Run investigates incidents until ctx ends.
func (d *Detector) Run(ctx context.Context) error {
	d.init()
	group, ctx := errgroup.WithContext(ctx)
	for {
		select {
		case <-ctx.Done():
			return group.Wait()
		case incident := <-d.queue:
			group.Go(func() error {
				// The only error is a recovered panic, which Call logs.
				_ = recovery.Call(d.Logger, "inquiry into "+incident.Server.ID, func() error {
					d.investigate(ctx, incident)
					return nil
				})
				return nil
			})
		}
	}
}

func (d *Detector) investigate(ctx context.Context, incident Incident) {
	defer func() {
		d.mu.Lock()
		defer d.mu.Unlock()
		delete(d.open, incident.instance())
		if !incident.Broken {
			d.silent--
		}
	}()
	start := time.Now()
	found := d.findEvidence(ctx, incident)
	if found == "" {
		return
	}
	d.mu.Lock()
	d.reported[incident.instance()] = time.Now()
	d.mu.Unlock()
	d.Logger.LogAttrs(ctx, slog.LevelWarn, "server ended while it held a request", slog.String("server", incident.Server.ID),
		slog.String("service", incident.Server.Service), slog.String("request-id", incident.RequestID), slog.Uint64("content", incident.Content),
		slog.String("evidence", string(found)), slog.Duration("after", time.Since(start)))
	if d.ended != nil {
		d.ended.Add(ctx, 1, metric.WithAttributes(attribute.String("evidence", string(found))))
	}
	if d.OnEnded != nil {
		d.OnEnded(incident)
	}
}

// findEvidence looks for evidence until it finds some or the investigation times out. It
// also stops if the server is draining, since the end of such a server is planned.
func (d *Detector) findEvidence(ctx context.Context, incident Incident) evidence {
	ctx, cancel := context.WithTimeout(ctx, investigationTimeout)
	defer cancel()
	// A timeout alone doesn't justify a probe: the server may just be slow.
	if incident.Broken {
		last := probe.NoAnswer
		for range probeCount {
			last = d.Prober.Probe(ctx, incident.Server.Address)
			if last == probe.NotListening && d.linksAtFault(ctx, incident) {
				last = probe.NoAnswer
				break
			}
			if last == probe.NotListening {
				return evidenceRefused
			}
			wait.For(ctx, probeInterval)
		}
		if last == probe.Listening {
			ctx, cancel = context.WithTimeout(ctx, restartWindow)
			defer cancel()
		}
	}
	for ctx.Err() == nil {
		current, known := d.Servers.Get(incident.Server.ID)
		switch {
		case !known:
			return evidenceEntryGone
		case current.Started != incident.Server.Started:
			return evidenceRestarted
		case current.Draining:
			return ""
		}
		wait.For(ctx, entryPollInterval)
	}
	return ""
}

// linksAtFault reports whether this host reaches no other server either.
func (d *Detector) linksAtFault(ctx context.Context, incident Incident) bool {
	if d.Links == nil || d.Links.ReachesAny(ctx, incident.Server.Address) {
		return false
	}
	d.Logger.LogAttrs(ctx, slog.LevelInfo, "refused connection is no evidence: no other server is reached", slog.String("server", incident.Server.ID),
		slog.String("request-id", incident.RequestID))
	return true
}
