package batchrun

import (
	"context"
	"log/slog"
	"time"

	"github.com/nutmegway/nutmegway/internal/base/wait"
)

const (
	// shareInterval is how often an owner of batches tells other owners what it has
	// at each engine while nothing starts, and shareSoon is the pause after a start.
	// The steps of several trainers come within some ten milliseconds of each other.
	shareInterval = 300 * time.Millisecond
	shareSoon     = 25 * time.Millisecond
	// shareTimeout bounds one telling. The next one holds all that it says.
	shareTimeout = 200 * time.Millisecond
)

// Told takes over how many requests another host has at each server.
func (s *Service) Told(host string, counts map[string]int) { s.Runner.Inventory.Told(host, counts) }

// Share tells the other owners of open batches what this host has at each engine, until
// ctx ends. Engines tell their load only with an answer, so owners that fill the same
// engines at the same moment would all take them for empty.
func (s *Service) Share(ctx context.Context) error {
	if s.Link == nil {
		return nil
	}
	idle := true
	for ctx.Err() == nil {
		started := s.Runner.Started()
		if s.Runner.Running() > 0 || !idle {
			// One telling after the last batch says that nothing is left.
			idle = s.Runner.Running() == 0
			s.tell(ctx)
			wait.For(ctx, shareSoon)
		}
		var next <-chan time.Time
		if !idle {
			next = time.After(shareInterval)
		}
		select {
		case <-ctx.Done():
		case <-started:
		case <-next:
		}
	}
	return nil
}

// tell tells each other owner once, without waiting for the answers.
func (s *Service) tell(ctx context.Context) {
	services := make(map[string]struct{})
	if c := s.Runner.Config(); c != nil {
		for name, service := range c.Services {
			if len(service.Models) > 0 {
				services[name] = struct{}{}
			}
		}
	}
	counts := s.Runner.Inventory.Counts(services)
	told := map[string]struct{}{s.Runner.Self.Host: {}}
	for _, head := range s.Index.Open() {
		owner, ok := s.Roster.Get(head.Owner.Host)
		if _, again := told[head.Owner.Host]; again || !ok || owner.Peer == "" || owner.Incarnation != head.Owner.Incarnation {
			continue
		}
		told[owner.ID] = struct{}{}
		s.Runner.Go("telling of "+owner.ID, func() error {
			ctx, cancel := context.WithTimeout(ctx, shareTimeout)
			defer cancel()
			if err := s.Link.Tell(ctx, owner.Peer, s.Runner.Self.Host, counts); err != nil {
				s.Logger.LogAttrs(ctx, slog.LevelDebug, "other owner not told", slog.String("owner", owner.ID), slog.Any("error", err))
			}
			return nil
		})
	}
}
