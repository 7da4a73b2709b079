package idempotency_test

import (
	"context"
	"log/slog"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"github.com/nutmegway/nutmegway/internal/base/kind"
	"github.com/nutmegway/nutmegway/internal/fleet/member"
	"github.com/nutmegway/nutmegway/internal/request/idempotency"
)

// slowCommitter is a committer whose Commit takes as long as the given pause, like that of
// a paused process.
type slowCommitter struct {
	items []idempotency.Item
	pause time.Duration
}

func (c *slowCommitter) Commit(_ context.Context, item idempotency.Item) (idempotency.Outcome, error) {
	c.items = append(c.items, item)
	time.Sleep(c.pause)
	return idempotency.Outcome{Committed: true, Revision: int64(len(c.items))}, nil
}

func (c *slowCommitter) Run(ctx context.Context) error {
	<-ctx.Done()
	return nil
}

func TestIntentOutlivesItsRequest(t *testing.T) {
	cases := map[string]struct {
		retention time.Duration
		pause     time.Duration
		ran       bool
	}{
		"before the deadline":      {retention: 12 * time.Minute, ran: true},
		"paused past the deadline": {retention: 12 * time.Minute, pause: 10*time.Minute + 30*time.Second},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				committer := &slowCommitter{pause: c.pause}
				guard := &idempotency.Guard{
					Committer:     committer,
					IntentTimeout: time.Hour,
					Logger:        slog.New(slog.DiscardHandler),
					Members:       &members{self: member.Node{ID: "a"}},
				}
				r := request("k")
				r.Deadline = time.Now().Add(10*time.Minute + time.Second)
				ran := false
				_, err := guard.Do(t.Context(), r, func(context.Context) (idempotency.Answer, error) {
					ran = true
					return idempotency.Answer{Status: 200}, nil
				})
				is.Equal(ran, c.ran)
				is.Equal(err == nil, c.ran)
				is.True(c.ran || kind.Of(err).Ran == kind.RanNo)
				is.Equal(committer.items[0].Retention, c.retention)
			})
		})
	}
}
