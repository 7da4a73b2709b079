package engine_test

import (
	"context"
	"errors"
	"io"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"
	"golang.org/x/sync/errgroup"

	backend "github.com/nutmegway/nutmegway/internal/backend/engine"
	"github.com/nutmegway/nutmegway/internal/base/kind"
	"github.com/nutmegway/nutmegway/internal/standin/engine"
)

func start(t *testing.T, e *engine.Engine) backend.Client {
	t.Helper()
	ctx, cancel := context.WithCancel(t.Context())
	if err := e.Listen(); err != nil {
		t.Fatal(err)
	}
	var group errgroup.Group
	group.Go(func() error { return e.Run(ctx) })
	t.Cleanup(func() {
		cancel()
		if err := group.Wait(); err != nil {
			t.Error(err)
		}
	})
	return backend.Client{Address: e.Address}
}

func read(stream backend.Stream) (text string, versions []int64, err error) {
	var b strings.Builder
	for {
		chunk, err := stream.Next()
		if err != nil {
			if errors.Is(err, io.EOF) {
				err = nil
			}
			return b.String(), versions, err
		}
		b.WriteString(chunk.Text)
		versions = append(versions, chunk.Version)
	}
}

func TestStreamEqualsExpectedAndResumes(t *testing.T) {
	is := is.New(t)
	client := start(t, &engine.Engine{TokensPerSecond: 100_000, Version: 3})
	request := backend.Request{ID: "r1", MaxTokens: 2000, Prompt: "[tokens=2000] moss", Seed: 7}
	want, tokens := engine.ExpectedCompletion(request.Prompt, request.Seed, request.MaxTokens)
	is.Equal(tokens, 2000)

	stream, err := client.Generate(t.Context(), request)
	is.NoErr(err)
	text, _, err := read(stream)
	is.NoErr(err)
	is.NoErr(stream.Close())
	is.Equal(text, want)

	request.ID, request.ResumeTokens = "r2", 2
	request.ResumeText = strings.Join(strings.SplitAfterN(want, " ", 4)[:3], "")
	request.ResumeText = strings.TrimSuffix(request.ResumeText, " ")
	stream, err = client.Generate(t.Context(), request)
	is.NoErr(err)
	text, _, err = read(stream)
	is.NoErr(err)
	is.NoErr(stream.Close())
	is.Equal(request.ResumeText+text, want)
}

func TestSwapChangesVersionOfLaterTokens(t *testing.T) {
	is := is.New(t)
	e := &engine.Engine{TokensPerSecond: 1000, Version: 1}
	client := start(t, e)
	stream, err := client.Generate(t.Context(), backend.Request{ID: "r", MaxTokens: 300, Prompt: "[tokens=300]"})
	is.NoErr(err)
	_, err = stream.Next()
	is.NoErr(err)
	is.NoErr(client.Order(t.Context(), backend.Order{ID: "o", Kind: backend.OrderLoadVersion, Version: 2}))
	_, versions, err := read(stream)
	is.NoErr(err)
	is.NoErr(stream.Close())
	is.Equal(versions[len(versions)-1], int64(2))
	segments := e.GroundTruth().Runs["r"][0].Segments
	is.Equal(len(segments), 2)
	is.Equal(segments[0].Tokens+segments[1].Tokens, 300)
}

func TestStaleFencingToken(t *testing.T) {
	for _, enforced := range []bool{true, false} {
		is := is.New(t)
		e := &engine.Engine{EnforceFence: enforced}
		client := start(t, e)
		is.NoErr(client.Order(t.Context(), backend.Order{Fence: 5, ID: "new", Kind: backend.OrderSetRole, Role: "decode"}))
		err := client.Order(t.Context(), backend.Order{Fence: 4, ID: "old", Kind: backend.OrderSetRole, Role: "prefill"})
		is.Equal(kind.Is(err, kind.Conflict), enforced)
		orders := e.GroundTruth().Orders
		is.True(orders[1].Stale)
		is.Equal(orders[1].Accepted, !enforced)
	}
}

func TestCrashMarksRequestAsRunAndRestartHasInitialWeights(t *testing.T) {
	is := is.New(t)
	e := &engine.Engine{TokensPerSecond: 1000, Version: 1}
	client := start(t, e)
	is.NoErr(client.Order(t.Context(), backend.Order{ID: "o", Kind: backend.OrderLoadVersion, Version: 2}))
	stream, err := client.Generate(t.Context(), backend.Request{ID: "r", MaxTokens: 900, Prompt: "[tokens=900]"})
	is.NoErr(err)
	_, err = stream.Next()
	is.NoErr(err)
	e.Crash()
	_, _, err = read(stream)
	is.Equal(kind.Of(err).Ran, kind.RanYes)
	_ = stream.Close() // The engine has crashed.
	for e.GroundTruth().Crashes == 0 {
		time.Sleep(time.Millisecond)
	}
	for err = error(nil); err == nil; {
		_, err = client.Generate(t.Context(), backend.Request{ID: "r2", MaxTokens: 9})
	}
	is.Equal(kind.Of(err).Ran, kind.RanNo)
	e.Restart()
	for status, err := client.Status(t.Context()); err != nil || status.Version != 1; status, err = client.Status(t.Context()) {
		time.Sleep(time.Millisecond)
	}
	is.True(e.GroundTruth().Runs["r"][0].Crashed)
}

func TestFaults(t *testing.T) {
	tests := map[engine.FaultKind]kind.Kind{
		engine.FaultCrossed:   kind.BackendFailed,
		engine.FaultLoseReply: kind.OutcomeUnknown,
		engine.FaultReset:     kind.OutcomeUnknown,
	}
	for fault, want := range tests {
		t.Run(string(fault), func(t *testing.T) {
			is := is.New(t)
			e := &engine.Engine{}
			client := start(t, e)
			e.Inject(engine.Fault{Kind: fault})
			stream, err := client.Generate(t.Context(), backend.Request{ID: "r", MaxTokens: 10})
			if err == nil {
				_, _, err = read(stream)
				_ = stream.Close() // The stream has failed.
			}
			is.Equal(kind.Of(err).Kind, want)
		})
	}
}

func TestClosingStreamCancelsGeneration(t *testing.T) {
	is := is.New(t)
	e := &engine.Engine{TokensPerSecond: 100}
	client := start(t, e)
	stream, err := client.Generate(t.Context(), backend.Request{ID: "r", MaxTokens: 1000, Prompt: "[tokens=1000]"})
	is.NoErr(err)
	is.NoErr(stream.Close())
	for !e.GroundTruth().Runs["r"][0].Cancelled {
		time.Sleep(time.Millisecond)
	}
}

func TestDroppedCacheEventsLeaveSequenceGaps(t *testing.T) {
	is := is.New(t)
	client := start(t, &engine.Engine{DropEventEvery: 2})
	prompt := strings.Repeat("x", 4*backend.BlockBytes)
	for _, want := range []int{0, 4 * backend.BlockTokens} {
		stream, err := client.Generate(t.Context(), backend.Request{ID: "r", MaxTokens: 5, Prompt: prompt})
		is.NoErr(err)
		chunk, err := stream.Next()
		is.NoErr(err)
		is.Equal(chunk.CachedTokens, want)
		_, _, err = read(stream)
		is.NoErr(err)
		is.NoErr(stream.Close())
	}
	events, err := client.CacheEvents(t.Context(), 0)
	is.NoErr(err)
	is.Equal(len(events), 2)
	is.Equal(events[1].Sequence, int64(3))
}
