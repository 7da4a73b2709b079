package batchrun

import (
	"context"
	"errors"
	"log/slog"
	"sync"
	"time"

	"golang.org/x/sync/errgroup"

	"github.com/nutmegway/nutmegway/internal/rollout/batch"
	"github.com/nutmegway/nutmegway/internal/rollout/placing"
	"github.com/nutmegway/nutmegway/internal/rollout/scaling"
)

var errNoAddress = errors.New("the host has no known address")

// paceWeight is the factor by which the weight of earlier items decreases with each
// completed item.
const paceWeight = 0.99

// pace measures for how long an item of a service occupies slots.
type pace struct {
	busy  time.Duration
	items float64
}

// addRun adds a run of an item. completed is set for the last run of an item.
func (p *pace) addRun(took time.Duration, completed bool) {
	if completed {
		p.busy, p.items = time.Duration(paceWeight*float64(p.busy)), paceWeight*p.items+1
	}
	p.busy += took
}

// recordPace records a run of an item. r.mu is held.
func (r *Runner) recordPace(service string, took time.Duration, completed bool) {
	if r.paces == nil {
		r.paces = make(map[string]*pace)
	}
	p, ok := r.paces[service]
	if !ok {
		p = &pace{}
		r.paces[service] = p
	}
	p.addRun(took, completed)
}

// Demand returns what the batches that this host runs still need.
func (r *Runner) Demand() scaling.Demand {
	r.mu.Lock()
	defer r.mu.Unlock()
	demand := scaling.Demand{Complete: true}
	c := r.Config()
	if c == nil {
		return scaling.Demand{}
	}
	now := time.Now()
	for _, br := range r.runs {
		route, expiry := br.findRoute(c, now)
		if expiry != "" {
			continue
		}
		b := scaling.Batch{
			Age: now.Sub(br.head.Submitted()), ID: br.head.ID, Items: len(br.items), Model: br.batch.Model,
			RunTarget: route.RunTarget, Service: route.PickService(0),
		}
		for _, s := range br.items {
			if s.done || s.textComplete || s.unsendable || s.obstacle == placing.ObstacleMemory || br.isQuarantined(s) {
				continue
			}
			b.Unfinished++
			if !s.running && s.obstacle == placing.ObstacleSlots {
				b.Waiting++
			}
		}
		demand.Batches = append(demand.Batches, b)
	}
	for service, p := range r.paces {
		demand.Paces = append(demand.Paces, scaling.Pace{Busy: p.busy, Items: p.items, Service: service})
	}
	return demand
}

// Demand returns what the batches of all hosts still need. It asks the owners of the open
// batches, and the hosts that own the batches of the models. The demand is incomplete if one
// of them doesn't answer.
func (s *Service) Demand(ctx context.Context) scaling.Demand {
	demand := s.Runner.Demand()
	demand.Complete = true
	owners := make(map[batch.Owner]bool)
	for _, head := range s.Index.Open() {
		owners[head.Owner] = true
	}
	var mu sync.Mutex
	var group errgroup.Group
	for owner := range owners {
		if owner == s.Runner.Self {
			continue
		}
		group.Go(func() error {
			reported, err := s.demandOf(ctx, owner)
			mu.Lock()
			defer mu.Unlock()
			if err != nil {
				s.Logger.LogAttrs(ctx, slog.LevelInfo, "demand of host is not known", slog.String("owner", owner.Host), slog.Any("error", err))
				demand.Complete = false
				return nil
			}
			demand.Batches = append(demand.Batches, reported.Batches...)
			demand.Paces = append(demand.Paces, reported.Paces...)
			return nil
		})
	}
	_ = group.Wait() // It returns no error.
	return demand
}

// demandOf asks the owner of batches what they need.
func (s *Service) demandOf(ctx context.Context, owner batch.Owner) (scaling.Demand, error) {
	host, ok := s.Roster.Get(owner.Host)
	if !ok || s.Link == nil || host.PeerAddress == "" {
		return scaling.Demand{}, errNoAddress
	}
	return s.Link.Demand(ctx, host.PeerAddress)
}
