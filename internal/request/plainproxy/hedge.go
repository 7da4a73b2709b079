package plainproxy

import (
	"context"
	"time"

	"golang.org/x/sync/errgroup"

	"github.com/nutmegway/nutmegway/internal/fleet/document"
)

// outcome is the end of an attempt.
type outcome struct {
	answered answered
	err      error
	first    bool
}

// race makes an attempt. When it takes longer than most, the document allows
// hedges and the budget has room, a second server gets the request too; the
// first answer wins and the other attempt is cancelled.
func (x *exchange) race(ctx context.Context) (answered, error) {
	to, err := x.pick()
	if err != nil {
		return answered{}, err
	}
	after, ok := x.hedgeAfter()
	if !ok {
		return x.attempt(ctx, to)
	}
	var group errgroup.Group
	results := make(chan outcome, 2)
	run := func(ctx context.Context, to chosen, first bool) {
		group.Go(func() error {
			got, err := x.attempt(ctx, to)
			results <- outcome{answered: got, err: err, first: first}
			return nil
		})
	}
	firstCtx, cancelFirst := context.WithCancel(ctx)
	run(firstCtx, to, true)
	timer := time.NewTimer(after)
	defer timer.Stop()
	select {
	case got := <-results:
		return got.keep(cancelFirst)
	case <-timer.C:
	}
	second, err := x.pick()
	if err != nil || !x.withdraw() {
		if err == nil {
			x.fleet.release(time.Now(), second.id, false, false, second.known)
			delete(x.tried, second.id)
		}
		return (<-results).keep(cancelFirst)
	}
	secondCtx, cancelSecond := context.WithCancel(ctx)
	run(secondCtx, second, false)
	winner := <-results
	if winner.err != nil {
		return (<-results).keep(func() { cancelFirst(); cancelSecond() })
	}
	cancelLoser, cancelWinner := cancelSecond, cancelFirst
	if !winner.first {
		cancelLoser, cancelWinner = cancelFirst, cancelSecond
	}
	cancelLoser()
	group.Go(func() error {
		if loser := <-results; loser.err == nil {
			loser.answered.end()
		}
		return nil
	})
	return winner.keep(cancelWinner)
}

// keep lets the answer's end cancel its attempt.
func (o outcome) keep(cancel context.CancelFunc) (answered, error) {
	if o.err != nil {
		cancel()
		return answered{}, o.err
	}
	end := o.answered.end
	o.answered.end = func() {
		end()
		cancel()
	}
	return o.answered, nil
}

func (x *exchange) hedgeAfter() (time.Duration, bool) {
	if !x.document.Retry.Hedge || x.repeat != document.RepeatAlways || x.body.stream != nil {
		return 0, false
	}
	return x.latency.HedgeDelay()
}
