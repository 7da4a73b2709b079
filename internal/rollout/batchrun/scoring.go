package batchrun

import (
	"context"
	"errors"
	"log/slog"
	"math/rand/v2"
	"net/http"
	"time"

	"github.com/nutmegway/nutmegway/internal/base/kind"
	"github.com/nutmegway/nutmegway/internal/fleet/config"
	"github.com/nutmegway/nutmegway/internal/request/forward"
	"github.com/nutmegway/nutmegway/internal/rollout/batch"
	"github.com/nutmegway/nutmegway/internal/rollout/reward"
)

// defaultRewardTry bounds one try of a reward call whose route has no timeout.
const defaultRewardTry = 1500 * time.Millisecond

// scoring is an item whose text is whole and that waits for its score.
type scoring struct {
	// cancel ends the tries of the reward call.
	cancel context.CancelFunc
	ctx    context.Context //nolint:containedctx // It ends the tries of the call.
	item   *itemState
	run    *run
}

// askReward asks for the score of an item whose text is whole. The runner's mutex is
// held.
func (x *run) askReward(s *itemState) {
	ctx, cancel := context.WithCancel(x.ctx)
	s.reward = &reward.Call[*scoring]{
		Complete: time.Now(), Left: func() int { return x.groupLeft[s.item.Group] },
		Of: &scoring{cancel: cancel, ctx: ctx, item: s, run: x},
	}
	x.runner.rewards.Add(s.reward)
}

// resumeRewards asks for the scores of texts that an earlier owner has kept whole. The
// runner's mutex is held.
func (x *run) resumeRewards() {
	for _, s := range x.items {
		if s.done || !s.whole {
			continue
		}
		if s.item.Reward == nil {
			x.complete(s, "")
			continue
		}
		x.askReward(s)
	}
}

// dropReward ends the reward call of an item. The runner's mutex is held.
func (x *run) dropReward(s *itemState) {
	if s.reward == nil {
		return
	}
	s.reward.Of.cancel()
	x.runner.rewards.Remove(s.reward)
	s.reward = nil
}

// dropRewards ends the reward calls of a batch that is closed or handed over. The
// runner's mutex is held.
func (x *run) dropRewards() {
	for _, s := range x.items {
		x.dropReward(s)
	}
}

// startRewards starts the tries of reward calls that are due. The runner's mutex is
// held.
func (r *Runner) startRewards(c *config.Config, now time.Time) {
	if r.rewards.Len() == 0 {
		return
	}
	target := func(waiting *scoring) (reward.Target, bool) {
		request := waiting.item.item.Reward
		route, ok := c.Match(request.Host, request.Target)
		if !ok {
			return reward.Target{}, false
		}
		return reward.Target{
			Attempts: route.MaxAttempts, Objective: route.LatencySLO, Service: route.PickService(rand.Float64()), Timeout: route.Timeout,
		}, true
	}
	for _, start := range r.rewards.Next(now, target, r.Inventory.Candidates) {
		x := start.Call.Of.run
		x.streams++
		deadline := x.deadline(c, now)
		r.Go("reward of "+start.Call.Of.item.item.ID, func() error {
			r.tryReward(start, deadline)
			return nil
		})
	}
}

// deadline is when the results of the batch are of no use any more.
func (x *run) deadline(c *config.Config, now time.Time) time.Time {
	route, ok := c.Match(x.batch.Host, x.batch.Target)
	if !ok || route.ItemTimeout <= 0 {
		return now.Add(defaultRewardTry)
	}
	return x.head.Submitted().Add(route.ItemTimeout)
}

// tryReward sends a reward request to one server.
func (r *Runner) tryReward(start reward.Start[*scoring], deadline time.Time) {
	call := start.Call.Of
	request := call.item.item.Reward
	limit := start.Target.Timeout
	if limit <= 0 {
		limit = defaultRewardTry
	}
	ctx, cancel := context.WithTimeout(call.ctx, limit)
	defer cancel()
	began := time.Now()
	answer := reward.Answer{Err: errPanicked, Ran: kind.RanUnknown}
	defer func() { r.endReward(start, answer, time.Since(began)) }()
	outcome := r.Rewards.Try(ctx, start.Server, forward.Request{
		Body: request.Body, Header: http.Header{}, Host: request.Host, ID: request.ID, Method: http.MethodPost, Target: request.Target,
	}, deadline, start.Again)
	if ctx.Err() != nil && call.ctx.Err() == nil {
		r.Inventory.Failed(start.Server.ID)
	}
	answer = reward.Answer{Err: outcome.Err, Ran: outcome.Ran, Status: outcome.Status}
	if outcome.Err == nil {
		answer.Stamp = outcome.Header.Get(r.Generation.Dialect.Stamp)
	}
}

var errPanicked = errors.New("the try panicked")

// endReward takes the end of a try over.
func (r *Runner) endReward(start reward.Start[*scoring], answer reward.Answer, took time.Duration) {
	call := start.Call.Of
	x, s, request := call.run, call.item, call.item.item.Reward
	r.mu.Lock()
	defer r.mu.Unlock()
	x.streams--
	verdict := r.rewards.Ended(start, answer, time.Now())
	live := s.reward == start.Call
	if live || call.ctx.Err() == nil {
		r.metrics.countReward(verdict, took)
		r.Logger.Info("reward call ended", slog.String("item", s.item.ID), slog.String("batch", x.batch.ID),
			slog.String("reward", request.ID), slog.String("server", start.Server.ID), slog.String("verdict", verdict.String()),
			slog.Int("status", answer.Status), slog.String("ran", string(answer.Ran)), slog.Any("error", answer.Err),
			slog.Duration("after", took), slog.Duration("since-text", time.Since(start.Call.Complete)))
	}
	if live {
		switch verdict {
		case reward.VerdictScored:
			x.complete(s, answer.Stamp)
		case reward.VerdictDead:
			x.finish(s, batch.Result{Item: s.item.ID, State: batch.StateDead})
		case reward.VerdictAgain:
		}
	}
	r.wakeUp()
}
