package document_test

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"testing"
	"time"

	"github.com/anishathalye/porcupine"
	"github.com/matryer/is"
	"golang.org/x/sync/errgroup"

	"github.com/nutmegway/nutmegway/internal/base/kind"
	"github.com/nutmegway/nutmegway/internal/external/etcd"
	"github.com/nutmegway/nutmegway/internal/fleet/document"
	standin "github.com/nutmegway/nutmegway/internal/standin/etcd"
)

// operation is an edit or a read of one document.
type operation struct {
	base     int64
	changeID string
	read     bool
}

// outcome is what its operator heard.
type outcome struct {
	changeID string
	failed   bool
	refused  bool
	revision int64
}

// register is the document as the model sees it.
type register struct {
	changeID string
	revision int64
}

// registerModel is a compare-and-swap register whose revisions grow.
var registerModel = porcupine.Model{
	Init: func() any { return register{} },
	Step: func(state, input, output any) (bool, any) {
		now, _ := state.(register)
		op, _ := input.(operation)
		out, _ := output.(outcome)
		switch {
		case op.read:
			return out.changeID == now.changeID && out.revision == now.revision, now
		case out.refused:
			return op.base != now.revision, now
		default:
			return op.base == now.revision && out.revision > now.revision, register{changeID: op.changeID, revision: out.revision}
		}
	},
}

// recorder collects the history of all operators.
type recorder struct {
	mu      sync.Mutex
	history []porcupine.Operation
	start   time.Time
}

func (r *recorder) run(client int, op operation, do func() outcome) outcome {
	call := time.Since(r.start).Nanoseconds()
	out := do()
	done := time.Since(r.start).Nanoseconds()
	r.mu.Lock()
	defer r.mu.Unlock()
	r.history = append(r.history, porcupine.Operation{ClientId: client, Input: op, Call: call, Output: out, Return: done})
	return out
}

// operate makes edits of one operator, each from the revision that was read
// last; after a conflict it reads and tries anew.
func operate(ctx context.Context, store *document.Store, r *recorder, client, edits int) error {
	base := int64(0)
	for landed := 0; landed < edits; {
		id := fmt.Sprintf("operator-%d-edit-%d-from-%d", client, landed, base)
		op := operation{base: base, changeID: id}
		out := r.run(client, op, func() outcome {
			accepted, err := store.Apply(ctx, edit(id, base, landed))
			return outcome{
				failed:   err != nil && !kind.Is(err, kind.Conflict),
				refused:  err != nil,
				revision: accepted.Revision,
			}
		})
		if out.failed {
			return errors.New("an edit was not settled")
		}
		if !out.refused {
			base = out.revision
			landed++
			continue
		}
		read := r.run(client, operation{read: true}, func() outcome {
			accepted, err := store.Get(ctx, "portal")
			return outcome{changeID: accepted.ChangeID, revision: accepted.Revision, failed: err != nil}
		})
		if read.failed {
			return errors.New("a read failed")
		}
		base = read.revision
	}
	return nil
}

// TestEditsAreLinearizable lets two operators race 50 edits each, through
// clients of their own, while the service loses three replies in ten.
func TestEditsAreLinearizable(t *testing.T) {
	is := is.New(t)
	server, client := start(t)
	server.SetFault(standin.MethodTxn, standin.Fault{LoseReply: true, Probability: 0.3})
	other := &etcd.Store{CallTimeout: 5 * time.Second, Endpoints: []string{server.Address()}}
	defer func() { is.NoErr(other.Close()) }()
	r := &recorder{start: time.Now()}
	group, ctx := errgroup.WithContext(t.Context())
	for i, each := range []*etcd.Store{client, other} {
		group.Go(func() error {
			return operate(ctx, &document.Store{KV: each, SettleTimeout: time.Minute}, r, i, 50)
		})
	}
	is.NoErr(group.Wait())
	is.True(len(r.history) >= 100)
	is.True(porcupine.CheckOperations(registerModel, r.history))

	// The same history with one answer made wrong must fail.
	last := &r.history[len(r.history)-1]
	out, _ := last.Output.(outcome)
	out.revision, out.refused = 1, false
	last.Output = out
	is.True(!porcupine.CheckOperations(registerModel, r.history))
}
