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

// Service runs the streams that this host owns and forwards requests for other
// streams to their owners. The exported fields are set before Run.
type Service struct {
	Claims     *Claims
	Copies     *Copies
	Dispatcher dispatch.Dispatcher
	Documents  document.View
	Logger     *slog.Logger
	Members    member.View
	Now        func() time.Time
	// Policy is the scheduling policy; nil means schedule.Predictive.
	Policy  schedule.Policy
	Pool    *peer.Pool
	Servers server.View
	Store   kv.Store
	Weights *weight.VersionRegistry

	mu      sync.Mutex
	group   *errgroup.Group
	ctx     context.Context //nolint:containedctx // It ends when Run does.
	streams map[stream.Name]*ownedStream
	owners  map[stream.Name]cachedOwner
}

// ownedStream is a stream that this host owns.
type ownedStream struct {
	log    *stream.Log
	runner *runner.Runner
	// ready is closed when the stream has been loaded or has failed to load.
	ready chan struct{}
	// err is why the stream failed to load. It is set before ready is closed.
	err error
}

// cachedOwner is the owner of a stream as last read from the key-value service.
type cachedOwner struct {
	seenAt time.Time
	holder Holder
}

// Run renews the claims and runs the streams of this host until ctx ends.
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

// openStream returns the stream, claiming and loading it first if it isn't open
// on this host yet.
func (s *Service) openStream(ctx context.Context, name stream.Name) (*ownedStream, error) {
	s.mu.Lock()
	if s.ctx == nil || s.ctx.Err() != nil {
		s.mu.Unlock()
		return nil, kind.New(kind.Leaving, "stream %s: this host is starting or shutting down and opens no streams", name)
	}
	o, ok := s.streams[name]
	if !ok {
		if s.streams == nil {
			s.streams = make(map[stream.Name]*ownedStream)
		}
		o = &ownedStream{ready: make(chan struct{})}
		s.streams[name] = o
		s.group.Go(func() error {
			s.runStream(s.ctx, name, o)
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

// runStream claims and runs a stream until the claim ends. It closes o.ready.
func (s *Service) runStream(ctx context.Context, name stream.Name, o *ownedStream) {
	var once sync.Once
	signalReady := func(err error) {
		once.Do(func() {
			o.err = err
			close(o.ready)
		})
	}
	err := s.claimAndRun(ctx, name, o, func() { signalReady(nil) })
	if err == nil {
		err = kind.New(kind.NotOwner, "this host no longer owns stream %s", name)
	}
	s.mu.Lock()
	delete(s.streams, name)
	s.mu.Unlock()
	signalReady(err)
	if !kind.Is(err, kind.NotOwner) {
		s.Logger.WarnContext(ctx, "stream stopped with an error", slog.String("stream", name.String()), slog.Any("error", err))
	}
}

// claimAndRun claims the stream, loads it, calls ready, and runs it until the
// claim or ctx ends.
func (s *Service) claimAndRun(ctx context.Context, name stream.Name, o *ownedStream, ready func()) error {
	claim, claimCtx, holder, err := s.Claims.Claim(ctx, claimKey(name))
	if err != nil {
		if holder.Node != "" {
			s.cacheOwner(name, holder)
		}
		return err
	}
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	stop := context.AfterFunc(claimCtx, cancel)
	defer stop()
	if err := s.Weights.Follow(ctx, name.Service); err != nil {
		return err
	}
	s.configure(name, o, claim)
	if err := o.log.Load(ctx); err != nil {
		return err
	}
	ready()
	group, ctx := errgroup.WithContext(ctx)
	group.Go(func() error {
		// The runner stops when the log does, with or without an error.
		defer cancel()
		return o.log.Run(ctx)
	})
	group.Go(func() error { return o.runner.Run(ctx) })
	return group.Wait()
}

// configure creates the log and the runner of a claimed stream.
func (s *Service) configure(name stream.Name, o *ownedStream, claim stream.Claim) {
	policy := s.Policy
	if policy == nil {
		policy = schedule.Predictive{}
	}
	o.runner = &runner.Runner{
		AttemptPrefix: fmt.Sprintf("%s-%s-%d", name.Trainer, s.Claims.Self.ID, claim.FencingToken),
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
		Runner:    o.runner,
	}
	o.runner.Finish = o.log.QueueFinished
	o.runner.BacklogFull = o.log.BacklogFull
}

// settings returns the runner settings of the service as currently configured
// and published.
func (s *Service) settings(service string) runner.Settings {
	accepted, _ := s.Documents.Document(service)
	published := s.Weights.Published(service)
	settings := runner.Settings{
		Model:               s.Weights.Model(service),
		SurplusSamples:      accepted.Document.Rollout.SurplusSamples,
		Published:           published.Number,
		PublishedAt:         published.PublishedAt,
		MeanPublishInterval: published.MeanInterval,
		Team:                accepted.Document.Service.Team,
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
