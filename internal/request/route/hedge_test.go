package route_test

import (
	"context"
	"fmt"
	"io"
	"log/slog"
	"strings"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"github.com/nutmegway/nutmegway/internal/backend/engine"
	"github.com/nutmegway/nutmegway/internal/base/kind"
	"github.com/nutmegway/nutmegway/internal/fleet/document"
	"github.com/nutmegway/nutmegway/internal/fleet/member"
	"github.com/nutmegway/nutmegway/internal/fleet/server"
	"github.com/nutmegway/nutmegway/internal/request/dispatch"
	"github.com/nutmegway/nutmegway/internal/request/owner"
	"github.com/nutmegway/nutmegway/internal/request/poison"
	"github.com/nutmegway/nutmegway/internal/request/route"
)

// permissiveGate admits all content.
type permissiveGate struct{}

func (permissiveGate) Admit(context.Context, uint64) (*poison.Permit, error) {
	return &poison.Permit{}, nil
}

func (permissiveGate) AdmitSuspect(context.Context, uint64) (*poison.Permit, error) {
	return &poison.Permit{}, nil
}

// scriptedQueues answers attempts with the function start.
type scriptedQueues struct {
	start func(ctx context.Context, a owner.Attempt) (owner.AttemptStream, error)
}

func (q *scriptedQueues) Start(ctx context.Context, a owner.Attempt) (owner.AttemptStream, error) {
	return q.start(ctx, a)
}

func (*scriptedQueues) Summaries(context.Context, []server.Server) []owner.Summary { return nil }

// oneChunk is an answer of a single chunk.
type oneChunk struct {
	server string
	read   bool
}

func (*oneChunk) Close() error { return nil }

func (s *oneChunk) Next() (dispatch.Chunk, error) {
	if s.read {
		return dispatch.Chunk{}, io.EOF
	}
	s.read = true
	return dispatch.Chunk{Chunk: engine.Chunk{FinishReason: "stop", Tokens: 1}, Server: s.server}, nil
}

func (*oneChunk) Summary() owner.Summary { return owner.Summary{} }

// TestHedgedCallThatMayHaveRunIsNotReportedAsNotRun hedges a call between two engines. The
// first attempt breaks off while the second one is pending, and the second one is refused.
// The error of the second alone says that nothing ran.
func TestHedgedCallThatMayHaveRunIsNotReportedAsNotRun(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		f := &fleet{
			document: document.Document{
				Retry:   document.Retry{Budget: 1, Hedge: true},
				Service: document.Service{Kind: document.KindModelEngine, Name: service, Team: "brazos"},
			},
			servers: []server.Server{{Address: "a", ID: "engine-a", Service: service}, {Address: "b", ID: "engine-b", Service: service}},
		}
		// The answer goes by the attempt's ID, since a losing attempt of an earlier call may
		// start late.
		var attempts atomic.Int64
		queues := &scriptedQueues{start: func(_ context.Context, a owner.Attempt) (owner.AttemptStream, error) {
			switch id := a.Call.Request.ID; {
			case strings.HasPrefix(id, "warm"):
				time.Sleep(50 * time.Millisecond)
				return &oneChunk{server: a.Server}, nil
			case id == "hedged.1":
				attempts.Add(1)
				time.Sleep(time.Second)
				return nil, kind.New(kind.OutcomeUnknown, "connection reset")
			default:
				attempts.Add(1)
				time.Sleep(2 * time.Second)
				return nil, kind.New(kind.Unavailable, "engine is leaving")
			}
		}}
		v := view{fleet: f, self: member.Node{ID: "node"}}
		dispatcher := &route.Dispatcher{
			Documents: v, Gate: permissiveGate{}, Logger: slog.New(slog.DiscardHandler), Members: v, Queues: queues, Servers: v,
		}
		n := &node{dispatcher: dispatcher}
		const warmUpCalls = 40
		for i := range warmUpCalls {
			_, _, err := runCall(t.Context(), n, checkCall(fmt.Sprint("warm", i), "assess the extension", 10))
			is.NoErr(err)
		}
		_, _, err := runCall(t.Context(), n, checkCall("hedged", "assess the extension", 10))
		is.True(err != nil)
		is.True(attempts.Load() >= 2)
		is.Equal(kind.Of(err).Ran, kind.RanUnknown)
	})
}
