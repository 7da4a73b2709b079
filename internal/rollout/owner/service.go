package owner

import (
	"context"
	"fmt"
	"log/slog"
	"sync"
	"time"

	"golang.org/x/sync/errgroup"

	"github.com/nutmegway/nutmegway/internal/base/kind"
	"github.com/nutmegway/nutmegway/internal/external/kv"
	"github.com/nutmegway/nutmegway/internal/fleet/document"
	"github.com/nutmegway/nutmegway/internal/fleet/member"
	"github.com/nutmegway/nutmegway/internal/fleet/peer"
	"github.com/nutmegway/nutmegway/internal/fleet/server"
	"github.com/nutmegway/nutmegway/internal/request/dispatch"
	"github.com/nutmegway/nutmegway/internal/rollout/runner"
	"github.com/nutmegway/nutmegway/internal/rollout/schedule"
	"github.com/nutmegway/nutmegway/internal/rollout/stream"
	"github.com/nutmegway/nutmegway/internal/rollout/weight"
)

// Service owns streams on this host and reaches the owners of the others. The
// fields are set before Run.
type Service struct {
	Claims     *Claims
	Copies     *Copies
	Dispatcher dispatch.Dispatcher
	Documents  document.View
	Logger     *slog.Logger
	Members    member.View
	Now        func() time.Time
	// Policy decides on starts; nil is schedule.Predictive.
	Policy  schedule.Policy
	Pool    *peer.Pool
	Servers server.View
	Store   kv.Store
	Weights *weight.Registry

	mu     sync.Mutex
	group  *errgroup.Group
	ctx    context.Context //nolint:containedctx // It is the life of the component.
	opened map[stream.Name]*owned
	known  map[stream.Name]located
}

// owned is a stream that this host owns.
type owned struct {
	log    *stream.Log
	runner *runner.Runner
	// ready is closed when the stream is loaded or has failed to.
	ready chan struct{}
	err   error
}

// located is the owner of a stream as it was last seen.
type located struct {
	at     time.Time
	holder Holder
}

// Run owns streams until ctx ends.
func (s *Service) Run(ctx context.Context) error {
	group, ctx := errgroup.WithContext(ctx)
	s.mu.Lock()
	s.group, s.ctx = group, ctx
	s.mu.Unlock()
	group.Go(func() error { return s.Claims.Run(ctx) })
	group.Go(func() error {
		<-ctx.Done()
		return nil
	})
	return group.Wait()
}

func claimKey(name stream.Name) string {
	return "nutmegway/leases/rollouts/" + name.String()
}

// open returns the stream, which this host claims unless another has it.
func (s *Service) open(ctx context.Context, name stream.Name) (*owned, error) {
	s.mu.Lock()
	if s.ctx == nil || s.ctx.Err() != nil {
		s.mu.Unlock()
		return nil, kind.New(kind.Leaving, "this host takes no streams now")
	}
	o, ok := s.opened[name]
	if !ok {
		if s.opened == nil {
			s.opened = make(map[stream.Name]*owned)
		}
		o = &owned{ready: make(chan struct{})}
		s.opened[name] = o
		s.group.Go(func() error {
			s.own(s.ctx, name, o)
			return nil
		})
	}
	s.mu.Unlock()
	select {
	case <-ctx.Done():
		return nil, ctx.Err()
	case <-o.ready:
		return o, o.err
	}
}

// own claims and runs a stream until the claim ends.
func (s *Service) own(ctx context.Context, name stream.Name, o *owned) {
	var once sync.Once
	settle := func(err error) {
		once.Do(func() {
			o.err = err
			close(o.ready)
		})
	}
	err := s.serve(ctx, name, o, func() { settle(nil) })
	if err == nil {
		err = kind.New(kind.NotOwner, "the stream %s has moved", name)
	}
	s.mu.Lock()
	delete(s.opened, name)
	s.mu.Unlock()
	settle(err)
	if !kind.Is(err, kind.NotOwner) {
		s.Logger.WarnContext(ctx, "a stream ended", slog.String("stream", name.String()), slog.Any("error", err))
	}
}

func (s *Service) serve(ctx context.Context, name stream.Name, o *owned, ready func()) error {
	claim, life, holder, err := s.Claims.Claim(ctx, claimKey(name))
	if err != nil {
		if holder.Node != "" {
			s.note(name, holder)
		}
		return err
	}
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	stop := context.AfterFunc(life, cancel)
	defer stop()
	if err := s.Weights.Follow(ctx, name.Service); err != nil {
		return err
	}
	s.assemble(name, o, claim)
	if err := o.log.Load(ctx); err != nil {
		return err
	}
	ready()
	group, ctx := errgroup.WithContext(ctx)
	group.Go(func() error {
		// The end of the log, with or without an error, ends the runner.
		defer cancel()
		return o.log.Run(ctx)
	})
	group.Go(func() error { return o.runner.Run(ctx) })
	return group.Wait()
}

func (s *Service) assemble(name stream.Name, o *owned, claim stream.Claim) {
	policy := s.Policy
	if policy == nil {
		policy = schedule.Predictive{}
	}
	o.runner = &runner.Runner{
		AttemptPrefix: fmt.Sprintf("%s-%s-%d", name.Trainer, s.Claims.Self.ID, claim.Fence),
		Dispatcher:    s.Dispatcher,
		Logger:        s.Logger,
		Now:           s.Now,
		Policy:        policy,
		Refresh:       func(ctx context.Context) int64 { return s.Weights.Refresh(ctx, name.Service) },
		Service:       name.Service,
		Settings:      func() runner.Settings { return s.settings(name.Service) },
		Trainer:       name.Trainer,
	}
	o.log = &stream.Log{
		Claim:     claim,
		Logger:    s.Logger,
		Name:      name,
		Now:       s.Now,
		Published: func() int64 { return s.Weights.Published(name.Service).Number },
		Replicas:  Replicas{Copies: s.Copies, Members: s.Members, Pool: s.Pool},
		Store:     s.Store,
		Work:      o.runner,
	}
	o.runner.Finish = o.log.Finish
	o.runner.Full = o.log.Full
}

// settings are the service's settings of the moment.
func (s *Service) settings(service string) runner.Settings {
	accepted, _ := s.Documents.Document(service)
	published := s.Weights.Published(service)
	settings := runner.Settings{
		Model:        s.Weights.Model(service),
		OverAsk:      accepted.Document.Rollout.OverAsk,
		Published:    published.Number,
		PublishedAt:  published.At,
		PublishEvery: published.Every,
		Team:         accepted.Document.Service.Team,
		CostWeights: schedule.CostWeights{
			IdleWeight:      accepted.Document.Rollout.IdleWeight,
			StalenessWeight: accepted.Document.Rollout.StalenessWeight,
		},
	}
	for _, backend := range s.Servers.Servers(service) {
		if !backend.Leaving {
			settings.Engines++
		}
	}
	return settings
}
