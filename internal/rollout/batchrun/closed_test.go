package batchrun

import (
	"fmt"
	"strings"
	"testing"

	"github.com/matryer/is"

	"github.com/nutmegway/nutmegway/internal/rollout/batch"
)

func TestClosedResultsAreBounded(t *testing.T) {
	is := is.New(t)
	var c closedResults
	long := strings.Repeat("x", closedLimitBytes/10)
	for n := range 25 {
		c.add(fmt.Sprintf("b%d", n), []batch.Result{{Item: "i", Text: long}}, 2)
		is.True(c.bytes <= closedLimitBytes)
	}
	_, ok := c.page("b0", 0)
	is.True(!ok) // the oldest went
	page, ok := c.page("b24", 0)
	is.True(ok)
	is.Equal(page.Next, 1)
	is.Equal(page.Total, 2)
	page, ok = c.page("b24", 2)
	is.True(ok)
	is.Equal(len(page.Results), 0) // nothing comes after the last one
	c.drop("b24")
	_, ok = c.page("b24", 0)
	is.True(!ok)
	is.Equal(len(c.byID), len(c.order))
}

// TestOnlyCertainResultsAreKept tells which closed batches are read in memory.
func TestOnlyCertainResultsAreKept(t *testing.T) {
	self, other := batch.Owner{Host: "h", Incarnation: "1"}, batch.Owner{Host: "h", Incarnation: "2"}
	results := []batch.Result{{Item: "i"}}
	cases := map[string]struct {
		head    batch.Head
		writing []batch.Result
		want    bool
	}{
		"ended":                         {batch.Head{Ended: true, Owner: self}, nil, true},
		"done":                          {batch.Head{Done: true, Owner: self}, nil, true},
		"open":                          {batch.Head{Owner: self}, nil, false},
		"ended after another took it":   {batch.Head{Ended: true, Owner: other}, nil, false},
		"ended while a write is unsure": {batch.Head{Ended: true, Owner: self}, results, false},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			r := &Runner{Self: self}
			c.head.ID, c.head.Total = "b", 3
			r.keepClosed(&run{listed: results, writing: c.writing}, c.head)
			_, ok := r.closed.page("b", 0)
			is.Equal(ok, c.want)
		})
	}
}
