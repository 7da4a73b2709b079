package stream_test

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"log/slog"
	"slices"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"
	"golang.org/x/sync/errgroup"

	"github.com/nutmegway/nutmegway/internal/external/etcd"
	"github.com/nutmegway/nutmegway/internal/external/kv"
	"github.com/nutmegway/nutmegway/internal/rollout/sample"
	"github.com/nutmegway/nutmegway/internal/rollout/stream"
	standinetcd "github.com/nutmegway/nutmegway/internal/standin/etcd"
)

var (
	errDone = errors.New("enough")
	name    = stream.Name{Service: "reviewer", Trainer: "trainer-a"}
)

// copies are the contents on the other hosts.
type copies struct {
	mu       sync.Mutex
	contents map[int64][]byte
}

func (c *copies) Replicate(_ context.Context, _ stream.Name, _, _ int64, contents []stream.Content) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, content := range contents {
		c.contents[content.Position] = content.Line
	}
	return nil
}

func (c *copies) Fetch(_ context.Context, _ stream.Name, from int64, found func(stream.Content)) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	for position, line := range c.contents {
		if position >= from {
			found(stream.Content{Line: line, Position: position})
		}
	}
	return nil
}

// work remembers which samples are wanted.
type work struct {
	mu     sync.Mutex
	wanted map[sample.Key]int
}

func (w *work) Add(group sample.Group, wanted, _ []int) {
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, index := range wanted {
		w.wanted[sample.Key{Group: group.ID, Index: index}]++
	}
}

func (w *work) Redo(key sample.Key) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.wanted[key]++
}

func (*work) Drop(string) {}

func (*work) Unread(int) {}

// list returns the wanted samples, sorted.
func (w *work) list() []string {
	w.mu.Lock()
	defer w.mu.Unlock()
	var keys []string
	for key, times := range w.wanted {
		keys = append(keys, fmt.Sprintf("%s/%d x%d", key.Group, key.Index, times))
	}
	slices.Sort(keys)
	return keys
}

// bench is a store with the owners of one stream, one after the other.
type bench struct {
	copies *copies
	is     *is.I
	mu     sync.Mutex
	now    time.Time
	// published is the newest version.
	published int64
	server    *standinetcd.Server
	store     *etcd.Store
}

func newBench(t *testing.T) *bench {
	t.Helper()
	b := &bench{
		copies: &copies{contents: map[int64][]byte{}}, is: is.New(t), now: time.Now(), published: 1,
		server: &standinetcd.Server{ListenAddress: "127.0.0.1:0"},
	}
	b.is.NoErr(b.server.Listen())
	var group errgroup.Group
	group.Go(func() error { return b.server.Run(t.Context()) })
	b.store = &etcd.Store{Endpoints: []string{b.server.Address()}}
	t.Cleanup(func() { _ = b.store.Close() })
	return b
}

// own starts a new owner; the function ends it.
func (b *bench) own(ctx context.Context) (*stream.Log, *work, func() error) {
	const key = "nutmegway/leases/test"
	entry, err := b.store.Get(ctx, key)
	b.is.NoErr(err)
	result, err := b.store.Commit(ctx, kv.Txn{
		Conditions: []kv.Condition{{Key: key, ModRevision: entry.ModRevision}},
		Writes:     []kv.Write{{Key: key, Value: []byte("owner")}},
	})
	b.is.NoErr(err)
	w := &work{wanted: map[sample.Key]int{}}
	log := &stream.Log{
		Claim: stream.Claim{
			Condition: kv.Condition{Key: key, ModRevision: result.Revision},
			Fence:     result.Revision, Held: func() bool { return true },
		},
		Logger: slog.New(slog.DiscardHandler), Name: name, Store: b.store, Work: w, Replicas: b.copies,
		Now: func() time.Time {
			b.mu.Lock()
			defer b.mu.Unlock()
			b.now = b.now.Add(time.Second) // each commit may trim
			return b.now
		},
		Published: func() int64 {
			b.mu.Lock()
			defer b.mu.Unlock()
			return b.published
		},
	}
	b.is.NoErr(log.Load(ctx))
	ctx, cancel := context.WithCancel(ctx)
	var group errgroup.Group
	group.Go(func() error { return log.Run(ctx) })
	return log, w, func() error {
		cancel()
		return group.Wait()
	}
}

func (b *bench) publish(number int64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.published = number
}

func finished(group string, index int, version int64) sample.Sample {
	return sample.Sample{
		FinishReason: "stop", Group: group, Index: index, Text: " word", Tokens: 1,
		Spans: []sample.Span{{From: 0, To: 1, Version: version}},
	}
}

func order(id string, count int) sample.Group {
	return sample.Group{ID: id, MaxTokens: 8, Prompt: "Assess " + id, SampleCount: count, StalenessBound: 1}
}

// read returns count samples from cursor on.
func (b *bench) read(ctx context.Context, log *stream.Log, cursor int64, count int) []sample.Sample {
	var got []sample.Sample
	err := log.Read(ctx, cursor, count, 5*time.Second, func(line []byte) error {
		var s sample.Sample
		b.is.NoErr(json.Unmarshal(line, &s))
		got = append(got, s)
		if len(got) == count {
			return errDone
		}
		return nil
	})
	b.is.True(errors.Is(err, errDone)) // all samples came in time
	return got
}

// TestTrimmedSamplesAreNotMadeAgain hands a stream of four hundred read samples
// and a half-finished group over to a new owner.
func TestTrimmedSamplesAreNotMadeAgain(t *testing.T) {
	b := newBench(t)
	ctx := t.Context()
	log, _, stop := b.own(ctx)
	const groups, size = 40, 10
	for g := range groups {
		id := fmt.Sprintf("g%02d", g)
		b.is.NoErr(log.Submit(ctx, order(id, size)))
		for i := range size {
			b.is.True(log.Finish(finished(id, i, 1)))
		}
		b.read(ctx, log, int64(g*size), size)
	}
	b.is.NoErr(log.Submit(ctx, order("half", 4)))
	b.is.True(log.Finish(finished("half", 0, 1)))
	b.read(ctx, log, groups*size, 1)
	before, _, err := b.store.List(ctx, "nutmegway/rollouts/streams/")
	b.is.NoErr(err)
	b.is.True(len(before) < 2*groups) // old segments are gone
	b.is.True(stop() != nil)

	next, w, stop := b.own(ctx)
	b.is.Equal(w.list(), []string{"half/1 x1", "half/2 x1", "half/3 x1"})
	b.is.NoErr(next.Submit(ctx, order("g00", size))) // a late repeat of a finished order
	b.is.Equal(len(w.list()), 3)
	b.is.True(!next.Finish(finished("half", 0, 1)))
	old := b.read(ctx, next, 0, 1)[0]
	b.is.True(old.Void)
	b.is.Equal(old.Reason, "trimmed")
	last := b.read(ctx, next, groups*size, 1)[0]
	b.is.Equal(last.Key(), sample.Key{Group: "half", Index: 0})
	b.is.True(stop() != nil)
}

// TestLostContentIsMadeAgainUnlessItWasRead loses the contents of both hosts.
func TestLostContentIsMadeAgainUnlessItWasRead(t *testing.T) {
	b := newBench(t)
	ctx := t.Context()
	log, _, stop := b.own(ctx)
	b.is.NoErr(log.Submit(ctx, order("a", 4)))
	for i := range 4 {
		b.is.True(log.Finish(finished("a", i, 1)))
	}
	b.read(ctx, log, 0, 4)
	b.is.True(stop() != nil)
	b.copies.contents = map[int64][]byte{}

	next, w, stop := b.own(ctx)
	b.is.Equal(w.list(), nil)
	// The trainer had received two; the others are withdrawn and made again.
	for i, s := range b.read(ctx, next, 2, 2) {
		b.is.True(s.Void)
		b.is.Equal(s.Position, int64(2+i))
	}
	b.is.Equal(w.list(), []string{"a/2 x1", "a/3 x1"})
	b.is.True(stop() != nil)

	// A third owner knows what was withdrawn.
	last, w, stop := b.own(ctx)
	b.is.Equal(w.list(), []string{"a/2 x1", "a/3 x1"})
	b.is.True(last.Finish(finished("a", 2, 1)))
	b.is.Equal(b.read(ctx, last, 4, 1)[0].Key(), sample.Key{Group: "a", Index: 2})
	b.is.True(stop() != nil)
}

// TestStalePositionsAreWithdrawnAtHandOver publishes versions between the
// commit and the reading.
func TestStalePositionsAreWithdrawnAtHandOver(t *testing.T) {
	b := newBench(t)
	ctx := t.Context()
	log, w, stop := b.own(ctx)
	b.is.NoErr(log.Submit(ctx, order("a", 2)))
	b.is.True(log.Finish(finished("a", 0, 1)))
	b.is.True(!b.read(ctx, log, 0, 1)[0].Void)
	b.publish(3)
	b.is.True(b.read(ctx, log, 0, 1)[0].Void) // the same position, withdrawn
	b.is.True(log.Finish(finished("a", 0, 3)))
	b.is.Equal(b.read(ctx, log, 1, 1)[0].OldestVersion(), int64(3))
	b.is.Equal(w.list(), []string{"a/0 x2", "a/1 x1"})
	b.is.True(stop() != nil)
}

// TestOldOwnerCannotCommit lets the first owner go on after the second began.
func TestOldOwnerCannotCommit(t *testing.T) {
	b := newBench(t)
	ctx := t.Context()
	first, _, stopFirst := b.own(ctx)
	b.is.NoErr(first.Submit(ctx, order("a", 2)))
	second, w, stopSecond := b.own(ctx)
	b.is.Equal(len(w.list()), 2)
	b.is.True(first.Finish(finished("a", 0, 1)))
	b.is.True(first.Submit(ctx, order("b", 2)) != nil)
	b.is.True(second.Finish(finished("a", 0, 1)))
	b.is.Equal(b.read(ctx, second, 0, 1)[0].Position, int64(0))
	b.is.True(stopFirst() != nil)
	b.is.True(stopSecond() != nil)
}
