package plainproxy

import (
	"context"
	"time"

	"golang.org/x/sync/errgroup"

	"github.com/nutmegway/nutmegway/internal/fleet/document"
)

// attemptResult is the response or error of an attempt.
type attemptResult struct {
	response serverResponse
	err      error
	// isFirst is true for the first attempt and false for its hedge.
	isFirst bool
}

// attemptHedged makes an attempt. If hedgeDelay allows it, no response arrives within the
// delay and the retry budget isn't exhausted, it sends the request to a second server too.
// It returns the first response and cancels the other attempt. If one of the two attempts
// fails, it waits for the other.
func (x *exchange) attemptHedged(ctx context.Context) (serverResponse, error) {
	to, err := x.pick()
	if err != nil {
		return serverResponse{}, err
	}
	delay, ok := x.hedgeDelay()
	if !ok {
		return x.attempt(ctx, to)
	}
	var group errgroup.Group
	results := make(chan attemptResult, 2)
	run := func(ctx context.Context, to pickedServer, first bool) {
		group.Go(func() error {
			got, err := x.attempt(ctx, to)
			results <- attemptResult{response: got, err: err, isFirst: first}
			return nil
		})
	}
	firstCtx, cancelFirst := context.WithCancel(ctx)
	run(firstCtx, to, true)
	timer := time.NewTimer(delay)
	defer timer.Stop()
	select {
	case got := <-results:
		return got.withCancel(cancelFirst)
	case <-timer.C:
	}
	second, err := x.pick()
	if err != nil || !x.withdrawRetry() {
		if err == nil {
			x.pool.release(time.Now(), second.id, false, false, second.serverCount)
			delete(x.tried, second.id)
		}
		return (<-results).withCancel(cancelFirst)
	}
	secondCtx, cancelSecond := context.WithCancel(ctx)
	run(secondCtx, second, false)
	winner := <-results
	if winner.err != nil {
		return (<-results).withCancel(func() { cancelFirst(); cancelSecond() })
	}
	cancelLoser, cancelWinner := cancelSecond, cancelFirst
	if !winner.isFirst {
		cancelLoser, cancelWinner = cancelFirst, cancelSecond
	}
	cancelLoser()
	group.Go(func() error {
		if loser := <-results; loser.err == nil {
			loser.response.close()
		}
		return nil
	})
	return winner.withCancel(cancelWinner)
}

// withCancel returns the response and error of the attempt. Closing the response also calls
// cancel, which ends the attempt's context. If the attempt failed, withCancel calls cancel
// at once.
func (r attemptResult) withCancel(cancel context.CancelFunc) (serverResponse, error) {
	if r.err != nil {
		cancel()
		return serverResponse{}, r.err
	}
	closeResponse := r.response.close
	r.response.close = func() {
		closeResponse()
		cancel()
	}
	return r.response, nil
}

// hedgeDelay returns the time after which an attempt is hedged, or false if it must not be
// hedged or too few response times are known.
func (x *exchange) hedgeDelay() (time.Duration, bool) {
	if !x.document.Retry.Hedge || x.repeat != document.RepeatAlways || x.body.stream != nil {
		return 0, false
	}
	return x.latency.HedgeDelay()
}
