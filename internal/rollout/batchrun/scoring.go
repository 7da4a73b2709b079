package batchrun

import (
	"context"
	"errors"
	"log/slog"
	"math/rand/v2"
	"net/http"
	"time"

	"github.com/nutmegway/nutmegway/internal/backend/crashdetect"
	"github.com/nutmegway/nutmegway/internal/backend/inventory"
	"github.com/nutmegway/nutmegway/internal/base/kind"
	"github.com/nutmegway/nutmegway/internal/fleet/config"
	"github.com/nutmegway/nutmegway/internal/request/forward"
	"github.com/nutmegway/nutmegway/internal/request/poison"
	"github.com/nutmegway/nutmegway/internal/rollout/batch"
	"github.com/nutmegway/nutmegway/internal/rollout/reward"
)

const (
	// defaultRewardTimeout bounds one attempt of a reward call whose route has no timeout.
	defaultRewardTimeout = 1500 * time.Millisecond
	// A reward call is tried again minTrialDelay and a random part of trialDelaySpread after its
	// content is no longer refused. A crash is noticed within the shorter time.
	minTrialDelay    = time.Second
	trialDelaySpread = 2 * time.Second
)

// pendingScore is an item whose text is complete and has no score yet.
type pendingScore struct {
	// cancel ends the attempts of the reward call.
	cancel context.CancelFunc
	// content is the fingerprint of the reward request.
	content uint64
	ctx     context.Context //nolint:containedctx // It ends the attempts of the call.
	item    *itemState
	// resumeAt is the earliest time for the next attempt after the content was refused.
	resumeAt time.Time
	run      *batchRun
}

// queueReward queues the reward call of an item whose text is complete. The caller
// holds the runner's mutex.
func (br *batchRun) queueReward(s *itemState) {
	ctx, cancel := context.WithCancel(br.ctx)
	request := s.item.Reward
	content := poison.RequestFingerprint(http.MethodPost, request.Host, request.Target, request.Body)
	s.rewardCall = &reward.Call[*pendingScore]{
		CompletedAt: time.Now(), Unfinished: func() int { return br.unfinishedInGroup[s.item.Group] },
		Data: &pendingScore{cancel: cancel, content: content, ctx: ctx, item: s, run: br},
	}
	br.runner.rewards.Add(s.rewardCall)
}

// queueRewards queues the reward calls of items whose complete text an earlier owner
// saved; those without a reward request are finished. The caller holds the runner's
// mutex.
func (br *batchRun) queueRewards() {
	for _, s := range br.items {
		if s.done || !s.textComplete {
			continue
		}
		if s.item.Reward == nil {
			br.complete(s, "")
			continue
		}
		br.queueReward(s)
	}
}

// cancelReward cancels the reward call of an item, if it has one. The caller holds the
// runner's mutex.
func (br *batchRun) cancelReward(s *itemState) {
	if s.rewardCall == nil {
		return
	}
	s.rewardCall.Data.cancel()
	br.runner.rewards.Remove(s.rewardCall)
	s.rewardCall = nil
}

// cancelRewards cancels the reward calls of a batch that is closed or handed over. The
// caller holds the runner's mutex.
func (br *batchRun) cancelRewards() {
	for _, s := range br.items {
		br.cancelReward(s)
	}
}

// startRewards starts the reward attempts that are due. The caller holds the runner's
// mutex.
func (r *Runner) startRewards(c *config.Config, now time.Time) {
	if r.rewards.Len() == 0 {
		return
	}
	target := func(pending *pendingScore) (reward.Target, bool) {
		if r.isHeldBack(pending, now) {
			return reward.Target{}, false
		}
		request := pending.item.item.Reward
		route, ok := c.Match(request.Host, request.Target)
		if !ok {
			return reward.Target{}, false
		}
		return reward.Target{
			MaxFailures: route.MaxAttempts, LatencySLO: route.LatencySLO, Service: route.PickService(rand.Float64()), Timeout: route.Timeout,
		}, true
	}
	for _, start := range r.rewards.Next(now, target, r.Inventory.Candidates) {
		br := start.Call.Data.run
		br.inFlight++
		deadline := br.deadline(c, now)
		r.Go("reward of "+start.Call.Data.item.item.ID, func() error {
			r.tryReward(start, deadline)
			return nil
		})
	}
}

// deadline returns when the item limit of the batch's route expires, after which the
// results of the batch are of no use. Without a route or a limit it is
// defaultRewardTimeout from now.
func (br *batchRun) deadline(c *config.Config, now time.Time) time.Time {
	route, ok := c.Match(br.batch.Host, br.batch.Target)
	if !ok || route.ItemTimeout <= 0 {
		return now.Add(defaultRewardTimeout)
	}
	return br.head.Submitted().Add(route.ItemTimeout)
}

// tryReward makes one attempt of a reward call at one server.
func (r *Runner) tryReward(start reward.Attempt[*pendingScore], deadline time.Time) {
	call := start.Call.Data
	request := call.item.item.Reward
	timeout := start.Target.Timeout
	if timeout <= 0 {
		timeout = defaultRewardTimeout
	}
	ctx, cancel := context.WithTimeout(call.ctx, timeout)
	defer cancel()
	began := time.Now()
	answer := reward.Answer{Err: errPanicked, Ran: kind.RanUnknown}
	defer func() { r.onRewardEnded(start, answer, time.Since(began)) }()
	if err := r.admitReward(ctx, start); err != nil {
		answer = reward.Answer{Err: err, Ran: kind.RanNo}
		return
	}
	outcome := r.Rewards.Send(ctx, start.Server, forward.Request{
		Body: request.Body, Header: http.Header{}, Host: request.Host, ID: request.ID, Method: http.MethodPost, Target: request.Target,
	}, deadline, start.Repeat)
	r.reportReward(call, start.Server.Server, outcome, ctx.Err() != nil)
	if ctx.Err() != nil && call.ctx.Err() == nil {
		r.Inventory.RecordRequestFailure(start.Server.ID)
	}
	answer = reward.Answer{Err: outcome.Err, Ran: outcome.Ran, Status: outcome.Status}
	if outcome.Err == nil {
		answer.Signature = outcome.Header.Get(r.Generation.Dialect.Signature)
	}
}

// isHeldBack reports whether a reward call waits because its content is refused, or was until a
// moment ago. The content that did crash the servers is tried again as soon as it is admitted, and
// a sound call must not be at the same server then.
func (r *Runner) isHeldBack(pending *pendingScore, now time.Time) bool {
	if r.Quarantine != nil && r.Quarantine.Refuses(pending.content) {
		pending.resumeAt = now.Add(minTrialDelay + rand.N(trialDelaySpread))
		return true
	}
	return now.Before(pending.resumeAt)
}

// admitReward returns an error if an attempt of a reward call must not be sent now, because the call
// is suspected of crashing servers.
func (r *Runner) admitReward(ctx context.Context, start reward.Attempt[*pendingScore]) error {
	if r.Quarantine == nil {
		return nil
	}
	admission, err := r.Quarantine.Admit(ctx, start.Call.Data.content)
	if err != nil || !admission.Sequential {
		return err
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	if start.Call.InFlight() > 1 {
		return kind.New(kind.DoubtfulContent, "another attempt of the reward call is at a server")
	}
	return nil
}

// reportReward reports to the quarantine that a server has answered a reward call, or to the crash
// detector that it has not. late is set if the time limit of the attempt has passed.
func (r *Runner) reportReward(call *pendingScore, server inventory.Server, outcome forward.Outcome, late bool) {
	switch {
	case outcome.Err == nil && outcome.Ran != kind.RanNo:
		if r.Quarantine != nil {
			r.Quarantine.RecordResponse(call.content)
		}
	case r.CrashDetector == nil, call.ctx.Err() != nil, outcome.Ran == kind.RanNo:
	default:
		r.CrashDetector.Submit(crashdetect.Incident{
			Broken: !late, Content: call.content, RequestID: call.item.item.Reward.ID, Server: server,
		})
	}
}

var errPanicked = errors.New("attempt of the reward call panicked")

// onRewardEnded handles the end of a reward attempt.
func (r *Runner) onRewardEnded(start reward.Attempt[*pendingScore], answer reward.Answer, took time.Duration) {
	call := start.Call.Data
	br, s, request := call.run, call.item, call.item.item.Reward
	r.mu.Lock()
	defer r.mu.Unlock()
	br.inFlight--
	verdict := r.rewards.Finish(start, answer, time.Now())
	live := s.rewardCall == start.Call
	if live || call.ctx.Err() == nil {
		r.metrics.recordReward(verdict, took)
		r.Logger.Info("reward call ended", slog.String("item", s.item.ID), slog.String("batch", br.batch.ID),
			slog.String("reward", request.ID), slog.String("server", start.Server.ID), slog.String("verdict", verdict.String()),
			slog.Int("status", answer.Status), slog.String("ran", string(answer.Ran)), slog.Any("error", answer.Err),
			slog.Duration("after", took), slog.Duration("since-text", time.Since(start.Call.CompletedAt)))
	}
	if live {
		switch verdict {
		case reward.VerdictScored:
			br.complete(s, answer.Signature)
		case reward.VerdictFailed:
			br.finish(s, batch.Result{Item: s.item.ID, State: batch.StateDead})
		case reward.VerdictRetry:
		}
	}
	r.wakeUp()
}
