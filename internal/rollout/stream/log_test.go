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
	errEnoughSamples = errors.New("read the requested number of samples")
	streamName       = stream.Name{Service: "reviewer", Trainer: "trainer-a"}
)

// fakeReplicas stores the contents that other hosts would hold.
type fakeReplicas struct {
	mu       sync.Mutex
	contents map[int64][]byte
}

func (r *fakeReplicas) Replicate(_ context.Context, _ stream.Name, _, _ int64, contents []stream.Content) error {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, content := range contents {
		r.contents[content.Position] = content.Line
	}
	return nil
}

func (r *fakeReplicas) Fetch(_ context.Context, _ stream.Name, from int64, each func(stream.Content)) error {
	r.mu.Lock()
	defer r.mu.Unlock()
	for position, line := range r.contents {
		if position >= from {
			each(stream.Content{Line: line, Position: position})
		}
	}
	return nil
}

// fakeRunner counts how often the log requested each sample, by Add or
// Regenerate.
type fakeRunner struct {
	mu     sync.Mutex
	wanted map[sample.Key]int
}

func (r *fakeRunner) Add(group sample.Group, wanted, _ []int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, index := range wanted {
		r.wanted[sample.Key{Group: group.ID, Index: index}]++
	}
}

func (r *fakeRunner) Regenerate(key sample.Key) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.wanted[key]++
}

func (*fakeRunner) RemoveGroup(string) {}

func (*fakeRunner) SetUnread(int) {}

// list returns the requested samples with their counts, sorted.
func (r *fakeRunner) list() []string {
	r.mu.Lock()
	defer r.mu.Unlock()
	var keys []string
	for key, times := range r.wanted {
		keys = append(keys, fmt.Sprintf("%s/%d x%d", key.Group, key.Index, times))
	}
	slices.Sort(keys)
	return keys
}

// fixture is a store and the successive owners of one stream.
type fixture struct {
	replicas *fakeReplicas
	is       *is.I
	mu       sync.Mutex
	now      time.Time
	// published is the newest weight version.
	published int64
	server    *standinetcd.Server
	store     *etcd.Store
}

func newFixture(t *testing.T) *fixture {
	t.Helper()
	f := &fixture{
		replicas: &fakeReplicas{contents: map[int64][]byte{}}, is: is.New(t), now: time.Now(), published: 1,
		server: &standinetcd.Server{ListenAddress: "127.0.0.1:0"},
	}
	f.is.NoErr(f.server.Listen())
	var group errgroup.Group
	group.Go(func() error { return f.server.Run(t.Context()) })
	f.store = &etcd.Store{Endpoints: []string{f.server.Address()}}
	t.Cleanup(func() { _ = f.store.Close() })
	return f
}

// startOwner takes over the stream with a new owner. The returned function stops
// the owner and returns its error.
func (f *fixture) startOwner(ctx context.Context) (*stream.Log, *fakeRunner, func() error) {
	const key = "nutmegway/leases/test"
	entry, err := f.store.Get(ctx, key)
	f.is.NoErr(err)
	result, err := f.store.Commit(ctx, kv.Txn{
		Conditions: []kv.Condition{{Key: key, ModRevision: entry.ModRevision}},
		Writes:     []kv.Write{{Key: key, Value: []byte("owner")}},
	})
	f.is.NoErr(err)
	runner := &fakeRunner{wanted: map[sample.Key]int{}}
	log := &stream.Log{
		Claim: stream.Claim{
			Condition:    kv.Condition{Key: key, ModRevision: result.Revision},
			FencingToken: result.Revision, Held: func() bool { return true },
		},
		Logger: slog.New(slog.DiscardHandler), Name: streamName, Store: f.store, Runner: runner, Replicas: f.replicas,
		Now: func() time.Time {
			f.mu.Lock()
			defer f.mu.Unlock()
			f.now = f.now.Add(time.Second) // every second commit may trim
			return f.now
		},
		Published: func() int64 {
			f.mu.Lock()
			defer f.mu.Unlock()
			return f.published
		},
	}
	f.is.NoErr(log.Load(ctx))
	ctx, cancel := context.WithCancel(ctx)
	var group errgroup.Group
	group.Go(func() error { return log.Run(ctx) })
	return log, runner, func() error {
		cancel()
		return group.Wait()
	}
}

func (f *fixture) publish(number int64) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.published = number
}

func finishedSample(group string, index int, version int64) sample.Sample {
	return sample.Sample{
		FinishReason: "stop", Group: group, Index: index, Text: " word", Tokens: 1,
		Spans: []sample.Span{{From: 0, To: 1, Version: version}},
	}
}

func newGroup(id string, count int) sample.Group {
	return sample.Group{ID: id, MaxTokens: 8, Prompt: "Assess " + id, SampleCount: count, StalenessBound: 1}
}

// read returns the next count samples from cursor on.
func (f *fixture) read(ctx context.Context, log *stream.Log, cursor int64, count int) []sample.Sample {
	var got []sample.Sample
	err := log.Read(ctx, cursor, count, 5*time.Second, func(line []byte) error {
		var s sample.Sample
		f.is.NoErr(json.Unmarshal(line, &s))
		got = append(got, s)
		if len(got) == count {
			return errEnoughSamples
		}
		return nil
	})
	f.is.True(errors.Is(err, errEnoughSamples)) // all samples arrived in time
	return got
}

// TestTakeoverDoesNotRegenerateTrimmedSamples guards against a new owner that
// generates trimmed samples again because their segments are gone. The stream
// has 400 read samples and an unfinished group when it is taken over.
func TestTakeoverDoesNotRegenerateTrimmedSamples(t *testing.T) {
	f := newFixture(t)
	ctx := t.Context()
	log, _, stop := f.startOwner(ctx)
	const groups, size = 40, 10
	for g := range groups {
		id := fmt.Sprintf("g%02d", g)
		f.is.NoErr(log.Submit(ctx, newGroup(id, size)))
		for i := range size {
			f.is.True(log.QueueFinished(finishedSample(id, i, 1)))
		}
		f.read(ctx, log, int64(g*size), size)
	}
	f.is.NoErr(log.Submit(ctx, newGroup("half", 4)))
	f.is.True(log.QueueFinished(finishedSample("half", 0, 1)))
	f.read(ctx, log, groups*size, 1)
	before, _, err := f.store.List(ctx, "nutmegway/rollouts/streams/")
	f.is.NoErr(err)
	f.is.True(len(before) < 2*groups) // old segments are deleted
	f.is.True(stop() != nil)

	next, runner, stop := f.startOwner(ctx)
	f.is.Equal(runner.list(), []string{"half/1 x1", "half/2 x1", "half/3 x1"})
	f.is.NoErr(next.Submit(ctx, newGroup("g00", size))) // a late repeat of a finished order
	f.is.Equal(len(runner.list()), 3)
	f.is.True(!next.QueueFinished(finishedSample("half", 0, 1)))
	old := f.read(ctx, next, 0, 1)[0]
	f.is.True(old.Void)
	f.is.Equal(old.Reason, "trimmed")
	last := f.read(ctx, next, groups*size, 1)[0]
	f.is.Equal(last.Key(), sample.Key{Group: "half", Index: 0})
	f.is.True(stop() != nil)
}

// TestLostContentIsRegeneratedUnlessAcked loses the contents on both hosts. Only
// samples that the trainer has not acknowledged may be generated again.
func TestLostContentIsRegeneratedUnlessAcked(t *testing.T) {
	f := newFixture(t)
	ctx := t.Context()
	log, _, stop := f.startOwner(ctx)
	f.is.NoErr(log.Submit(ctx, newGroup("a", 4)))
	for i := range 4 {
		f.is.True(log.QueueFinished(finishedSample("a", i, 1)))
	}
	f.read(ctx, log, 0, 4)
	f.is.True(stop() != nil)
	f.replicas.contents = map[int64][]byte{}

	next, runner, stop := f.startOwner(ctx)
	f.is.Equal(runner.list(), nil)
	// The trainer acknowledges two; the others are voided and generated again.
	for i, s := range f.read(ctx, next, 2, 2) {
		f.is.True(s.Void)
		f.is.Equal(s.Position, int64(2+i))
	}
	f.is.Equal(runner.list(), []string{"a/2 x1", "a/3 x1"})
	f.is.True(stop() != nil)

	// A third owner restores the voided positions.
	last, runner, stop := f.startOwner(ctx)
	f.is.Equal(runner.list(), []string{"a/2 x1", "a/3 x1"})
	f.is.True(last.QueueFinished(finishedSample("a", 2, 1)))
	f.is.Equal(f.read(ctx, last, 4, 1)[0].Key(), sample.Key{Group: "a", Index: 2})
	f.is.True(stop() != nil)
}

// TestStalePositionsAreVoidedAtDelivery publishes weight versions between the
// commit of a sample and its delivery.
func TestStalePositionsAreVoidedAtDelivery(t *testing.T) {
	f := newFixture(t)
	ctx := t.Context()
	log, runner, stop := f.startOwner(ctx)
	f.is.NoErr(log.Submit(ctx, newGroup("a", 2)))
	f.is.True(log.QueueFinished(finishedSample("a", 0, 1)))
	f.is.True(!f.read(ctx, log, 0, 1)[0].Void)
	f.publish(3)
	f.is.True(f.read(ctx, log, 0, 1)[0].Void) // the same position, now void
	f.is.True(log.QueueFinished(finishedSample("a", 0, 3)))
	f.is.Equal(f.read(ctx, log, 1, 1)[0].OldestVersion(), int64(3))
	f.is.Equal(runner.list(), []string{"a/0 x2", "a/1 x1"})
	f.is.True(stop() != nil)
}

// TestFencedOwnerCannotCommit keeps the first owner running after the second has
// taken over the stream.
func TestFencedOwnerCannotCommit(t *testing.T) {
	f := newFixture(t)
	ctx := t.Context()
	first, _, stopFirst := f.startOwner(ctx)
	f.is.NoErr(first.Submit(ctx, newGroup("a", 2)))
	second, runner, stopSecond := f.startOwner(ctx)
	f.is.Equal(len(runner.list()), 2)
	f.is.True(first.QueueFinished(finishedSample("a", 0, 1)))
	f.is.True(first.Submit(ctx, newGroup("b", 2)) != nil)
	f.is.True(second.QueueFinished(finishedSample("a", 0, 1)))
	f.is.Equal(f.read(ctx, second, 0, 1)[0].Position, int64(0))
	f.is.True(stopFirst() != nil)
	f.is.True(stopSecond() != nil)
}
