package batch_test

import (
	"context"
	"encoding/json"
	"strings"
	"testing"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"github.com/nutmegway/nutmegway/internal/base/kind"
	"github.com/nutmegway/nutmegway/internal/external/kv"
	"github.com/nutmegway/nutmegway/internal/rollout/batch"
	"github.com/nutmegway/nutmegway/internal/standin/kvmemory"
)

// maxValueBytes is the length of the longest value that the service takes.
const maxValueBytes = 1 << 20

// TestEscapedTextsFitIntoOneValue stores texts that JSON makes six times as long.
func TestEscapedTextsFitIntoOneValue(t *testing.T) {
	is := is.New(t)
	store := &kvmemory.Store{}
	batches := &batch.Store{KV: store}
	head, _, err := batches.Accept(t.Context(), sample(32), ownerA)
	is.NoErr(err)
	list := results(0, 32)
	for i := range list {
		list[i].Text = strings.Repeat("<", 30<<10)
	}
	for first := 0; first < len(list); {
		n := batch.AppendLimit(list[first:])
		head, err = batches.Append(t.Context(), head, first, list[first:first+n], first+n == len(list))
		is.NoErr(err)
		first += n
	}
	entries, _, err := store.List(t.Context(), "nutmegway/batch-results/")
	is.NoErr(err)
	for _, entry := range entries {
		is.True(len(entry.Value) <= maxValueBytes)
	}
}

// TestPageOfEscapedTexts encodes pages as readers get them, at most a megabyte each unless one
// result alone is longer.
func TestPageOfEscapedTexts(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		alphabet := rapid.SampledFrom([]string{"<", "\"", "a", "\n", "\xff", "é", "\u2028"})
		var list []batch.Result
		for range rapid.IntRange(1, 6).Draw(t, "results") {
			text := strings.Repeat(alphabet.Draw(t, "text"), rapid.IntRange(1, 150<<10).Draw(t, "length"))
			list = append(list, batch.Result{Text: text})
		}
		page := batch.NewPage(list, len(list), 0)
		encoded, err := json.Marshal(page.Results)
		if err != nil || len(page.Results) > 1 && len(encoded) > maxValueBytes {
			t.Fatalf("page of %d results: %d bytes, error %v", len(page.Results), len(encoded), err)
		}
	})
}

// endsAfterCommit is a store that loses the answer to its first commit and then calls end.
type endsAfterCommit struct {
	*kvmemory.Store

	committed bool
	end       func()
}

func (e *endsAfterCommit) Commit(ctx context.Context, txn kv.Txn) (kv.TxnResult, error) {
	result, err := e.Store.Commit(ctx, txn)
	if !e.committed {
		e.committed = true
		e.end()
		return kv.TxnResult{}, kind.New(kind.StoreWriteUnknown, "the answer is lost")
	}
	return result, err
}

// TestClosedBatchIsNotCreated loses the answer to the submission of a batch that is ended
// before the submission is sent again.
func TestClosedBatchIsNotCreated(t *testing.T) {
	is := is.New(t)
	store := &endsAfterCommit{Store: &kvmemory.Store{}}
	batches := &batch.Store{KV: store}
	store.end = func() {
		head, err := batches.Head(t.Context(), "x")
		is.NoErr(err)
		_, err = (&batch.Store{KV: store.Store}).End(t.Context(), "x", head)
		is.NoErr(err)
	}
	head, created, err := batches.Accept(t.Context(), sample(1), ownerA)
	is.NoErr(err)
	is.True(head.Ended)
	is.True(!created)
}

var _ kv.RangeStore = (*endsAfterCommit)(nil)
