package batchrun

import (
	"fmt"
	"strings"
	"testing"

	"github.com/matryer/is"

	"github.com/nutmegway/nutmegway/internal/rollout/batch"
)

func TestClosedCacheIsBounded(t *testing.T) {
	is := is.New(t)
	var c closedCache
	long := strings.Repeat("x", closedCacheMaxBytes/10)
	for n := range 25 {
		c.add(fmt.Sprintf("b%d", n), []batch.Result{{Item: "i", Text: long}}, 2)
		is.True(c.bytes <= closedCacheMaxBytes)
	}
	_, ok := c.page("b0", 0)
	is.True(!ok) // the oldest batch was evicted
	page, ok := c.page("b24", 0)
	is.True(ok)
	is.Equal(page.Next, 1)
	is.Equal(page.Total, 2)
	page, ok = c.page("b24", 2)
	is.True(ok)
	is.Equal(len(page.Results), 0) // position 2 is beyond the last result
	c.remove("b24")
	_, ok = c.page("b24", 0)
	is.True(!ok)
	is.Equal(len(c.byID), len(c.order))
}

// TestOnlyConfirmedResultsAreCached checks which closed batches are cached: only those
// whose results are certainly the same as in the store.
func TestOnlyConfirmedResultsAreCached(t *testing.T) {
	self, other := batch.Owner{Host: "h", Incarnation: "1"}, batch.Owner{Host: "h", Incarnation: "2"}
	results := []batch.Result{{Item: "i"}}
	cases := map[string]struct {
		head        batch.Head
		unconfirmed []batch.Result
		want        bool
	}{
		"ended":                              {batch.Head{Ended: true, Owner: self}, nil, true},
		"done":                               {batch.Head{Done: true, Owner: self}, nil, true},
		"open":                               {batch.Head{Owner: self}, nil, false},
		"ended under another owner":          {batch.Head{Ended: true, Owner: other}, nil, false},
		"ended while a write is unconfirmed": {batch.Head{Ended: true, Owner: self}, results, false},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			r := &Runner{Self: self}
			c.head.ID, c.head.Total = "b", 3
			r.cacheClosed(&batchRun{stored: results, unconfirmed: c.unconfirmed}, c.head)
			_, ok := r.closed.page("b", 0)
			is.Equal(ok, c.want)
		})
	}
}
