package batch_test

import (
	"context"
	"fmt"
	"strings"
	"testing"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"github.com/nutmegway/nutmegway/internal/base/kind"
	"github.com/nutmegway/nutmegway/internal/rollout/batch"
	"github.com/nutmegway/nutmegway/internal/standin/kvmemory"
)

var (
	ownerA = batch.Owner{Host: "a", Incarnation: "1"}
	ownerB = batch.Owner{Host: "b", Incarnation: "1"}
)

func sample(items int) batch.Batch {
	b := batch.Batch{Host: "example", ID: "x", Model: "m", Target: "/r/x", TargetGroups: 1}
	for n := range items {
		b.Items = append(b.Items, batch.Item{Body: []byte{byte(n)}, Group: "g", ID: fmt.Sprintf("i%d", n)})
	}
	return b
}

func results(first, n int) []batch.Result {
	var list []batch.Result
	for i := range n {
		list = append(list, batch.Result{Item: fmt.Sprintf("i%d", first+i), State: batch.StateCompleted, Text: "text"})
	}
	return list
}

func TestAcceptIsIdempotent(t *testing.T) {
	cases := map[string]struct {
		faults      []kvmemory.Fault
		wantCreated bool
		wantKind    kind.Kind
	}{
		"no fault":                             {wantCreated: true},
		"response lost":                        {faults: []kvmemory.Fault{kvmemory.FaultReplyLost}, wantCreated: true},
		"refused, then committed":              {faults: []kvmemory.Fault{kvmemory.FaultRefused}, wantCreated: true},
		"delayed, then committed by the retry": {faults: []kvmemory.Fault{kvmemory.FaultDelayedCommit}, wantCreated: true},
		"refused on every try":                 {faults: repeat(kvmemory.FaultRefused, 200), wantKind: kind.StoreUnavailable},
		"one unknown outcome, then refusals":   {faults: append(repeat(kvmemory.FaultDelayedCommit, 1), repeat(kvmemory.FaultRefused, 200)...), wantKind: kind.StoreWriteUnknown},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			kvStore := &kvmemory.Store{}
			kvStore.Inject(script(c.faults))
			store := &batch.Store{KV: kvStore}
			head, created, err := store.Accept(t.Context(), sample(3), ownerA)
			if c.wantKind != "" {
				is.True(kind.Is(err, c.wantKind))
				return
			}
			is.NoErr(err)
			is.Equal(created, c.wantCreated)
			is.Equal(head.Owner, ownerA)
			kvStore.CommitDelayed()
			again, created, err := store.Accept(t.Context(), sample(3), ownerB)
			is.NoErr(err)
			is.True(!created)
			is.Equal(again.Owner, ownerA)
			loaded, err := store.Load(t.Context(), "x")
			is.NoErr(err)
			is.Equal(loaded, sample(3))
		})
	}
}

func TestAppendIsFenced(t *testing.T) {
	is := is.New(t)
	store := &batch.Store{KV: &kvmemory.Store{}}
	head, _, err := store.Accept(t.Context(), sample(4), ownerA)
	is.NoErr(err)
	head, err = store.Append(t.Context(), head, 0, results(0, 2), false)
	is.NoErr(err)
	_, err = store.Claim(t.Context(), head, ownerB)
	is.NoErr(err)
	stored, err := store.Append(t.Context(), head, 2, results(2, 1), false)
	is.True(kind.Is(err, kind.Conflict)) // the earlier owner cannot append any more
	is.Equal(stored.Owner, ownerB)
	_, err = store.Claim(t.Context(), head, ownerA)
	is.True(kind.Is(err, kind.Conflict)) // a claim with an outdated head fails
}

func TestAppendRetryAfterLostResponse(t *testing.T) {
	is := is.New(t)
	faults := []kvmemory.Fault{kvmemory.FaultNone, kvmemory.FaultReplyLost}
	kvStore := &kvmemory.Store{}
	kvStore.Inject(script(faults))
	store := &batch.Store{KV: kvStore}
	head, _, err := store.Accept(t.Context(), sample(2), ownerA)
	is.NoErr(err)
	_, err = store.Append(t.Context(), head, 0, results(0, 2), true)
	is.True(kind.Is(err, kind.StoreWriteUnknown))
	head, err = store.Append(t.Context(), head, 0, results(0, 2), true)
	is.NoErr(err)
	is.True(head.Done)
	stored, _, err := store.Results(t.Context(), "x", 0)
	is.NoErr(err)
	is.Equal(len(stored), 2)
}

func TestEndStopsAppends(t *testing.T) {
	is := is.New(t)
	store := &batch.Store{KV: &kvmemory.Store{}}
	head, _, err := store.Accept(t.Context(), sample(2), ownerA)
	is.NoErr(err)
	ended, err := store.End(t.Context(), "x", batch.Head{})
	is.NoErr(err)
	is.True(ended.Ended)
	_, err = store.End(t.Context(), "x", batch.Head{})
	is.NoErr(err) // ending twice succeeds
	_, err = store.Append(t.Context(), head, 0, results(0, 1), false)
	is.True(kind.Is(err, kind.Conflict))
	_, err = store.End(t.Context(), "y", batch.Head{})
	is.True(kind.Is(err, kind.NotFound))
}

func TestPartialsRoundTrip(t *testing.T) {
	is := is.New(t)
	store := &batch.Store{KV: &kvmemory.Store{}}
	long := strings.Repeat("x", 400<<10)
	saved := []batch.Partial{
		{Events: []string{"a", "b"}, Item: "i0", LastEvent: "2", Versions: []int64{3}},
		{Events: []string{long}, Item: "i1", LastEvent: "1", Versions: []int64{3}},
		{Events: []string{long}, Item: "i2", LastEvent: "1", Versions: []int64{3, 4}},
	}
	is.NoErr(store.SavePartials(t.Context(), "x", saved))
	loaded, err := store.Partials(t.Context(), "x")
	is.NoErr(err)
	is.Equal(loaded, saved)
}

// TestPositionsAreStable appends results in parts of any size while writes are
// refused, delayed or lose their response, and reads the results from any
// position. It guards against results that are lost, duplicated or moved by a
// retry.
func TestPositionsAreStable(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		total := rapid.IntRange(1, 120).Draw(t, "total")
		kvStore := &kvmemory.Store{}
		store := &batch.Store{KV: kvStore}
		head, _, err := store.Accept(context.Background(), sample(total), ownerA)
		if err != nil {
			t.Fatal(err)
		}
		for appended := 0; appended < total; {
			n := rapid.IntRange(1, total-appended).Draw(t, "n")
			n = batch.AppendLimit(results(appended, n))
			fault := rapid.SampledFrom([]kvmemory.Fault{
				kvmemory.FaultNone, kvmemory.FaultRefused, kvmemory.FaultReplyLost, kvmemory.FaultDelayedCommit,
			}).Draw(t, "fault")
			kvStore.Inject(script([]kvmemory.Fault{fault}))
			for {
				stored, err := store.Append(context.Background(), head, appended, results(appended, n), appended+n == total)
				if err == nil {
					head = stored
					break
				}
				if kind.Is(err, kind.Conflict) {
					t.Fatal(err)
				}
			}
			kvStore.CommitDelayed()
			appended += n
		}
		after := rapid.IntRange(0, total).Draw(t, "after")
		read, _, err := store.Results(context.Background(), "x", after)
		if err != nil {
			t.Fatal(err)
		}
		if len(read) != total-after {
			t.Fatalf("got %d results from position %d of %d, want %d", len(read), after, total, total-after)
		}
		for i, r := range read {
			if r.Item != fmt.Sprintf("i%d", after+i) {
				t.Fatalf("position %d holds item %s, want i%d", after+i, r.Item, after+i)
			}
		}
	})
}

func TestAwaitReturnsLaterResults(t *testing.T) {
	is := is.New(t)
	store := &batch.Store{KV: &kvmemory.Store{}}
	head, _, err := store.Accept(t.Context(), sample(5), ownerA)
	is.NoErr(err)
	head, err = store.Append(t.Context(), head, 0, results(0, 2), false)
	is.NoErr(err)
	_, revision, err := store.Results(t.Context(), "x", 2)
	is.NoErr(err)
	_, err = store.Append(t.Context(), head, 2, results(2, 3), true)
	is.NoErr(err)
	later, err := store.Await(t.Context(), "x", 2, revision)
	is.NoErr(err)
	is.Equal(later, results(2, 3))
}

func TestCheckID(t *testing.T) {
	for id, ok := range map[string]bool{
		"7c41e09b52d6a3f8": true, "": false, "a/b": false, "a b": false, strings.Repeat("x", 200): false,
	} {
		if err := batch.CheckID(id); (err == nil) != ok {
			t.Errorf("CheckID(%q) = %v, want valid = %t", id, err, ok)
		}
	}
}

// script returns a fault function that injects the faults into successive commits,
// and none after them.
func script(faults []kvmemory.Fault) func(string) kvmemory.Fault {
	return func(method string) kvmemory.Fault {
		if method != "commit" || len(faults) == 0 {
			return kvmemory.FaultNone
		}
		fault := faults[0]
		faults = faults[1:]
		return fault
	}
}

func repeat(fault kvmemory.Fault, n int) []kvmemory.Fault {
	faults := make([]kvmemory.Fault, n)
	for i := range faults {
		faults[i] = fault
	}
	return faults
}

func TestRemove(t *testing.T) {
	is := is.New(t)
	kvStore := &kvmemory.Store{}
	store := &batch.Store{KV: kvStore}
	head, _, err := store.Accept(t.Context(), sample(40), ownerA)
	is.NoErr(err)
	head, err = store.Append(t.Context(), head, 0, results(0, 40), true)
	is.NoErr(err)
	is.NoErr(store.SavePartials(t.Context(), "x", []batch.Partial{{Events: []string{"a"}, Item: "i0"}}))
	is.NoErr(store.Remove(t.Context(), head))
	entries, _, err := kvStore.List(t.Context(), "nutmegway/")
	is.NoErr(err)
	is.Equal(len(entries), 0)
}
