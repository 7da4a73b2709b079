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

// operation is an edit or a read of the document.
type operation struct {
	base     int64
	changeID string
	read     bool
}

// outcome is the result of an operation as seen by its operator.
type outcome struct {
	changeID string
	failed   bool
	refused  bool
	revision int64
}

// register is the state of the document in the model.
type register struct {
	changeID string
	revision int64
}

// registerModel is a compare-and-swap register with increasing revisions.
var registerModel = porcupine.Model{
	Init: func() any { return register{} },
	Step: func(state, input, output any) (bool, any) {
		current, _ := state.(register)
		op, _ := input.(operation)
		out, _ := output.(outcome)
		switch {
		case op.read:
			return out.changeID == current.changeID && out.revision == current.revision, current
		case out.refused:
			return op.base != current.revision, current
		default:
			return op.base == current.revision && out.revision > current.revision, register{changeID: op.changeID, revision: out.revision}
		}
	},
}

// recorder records the operations of all operators.
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

// runOperator commits the given number of edits as one operator, each based on
// the revision that it knows. After a conflict it reads the document and retries.
func runOperator(ctx context.Context, store *document.Store, r *recorder, client, edits int) error {
	base := int64(0)
	for committed := 0; committed < edits; {
		id := fmt.Sprintf("operator-%d-edit-%d-from-%d", client, committed, base)
		op := operation{base: base, changeID: id}
		out := r.run(client, op, func() outcome {
			accepted, err := store.Apply(ctx, newEdit(id, base, committed))
			return outcome{
				failed:   err != nil && !kind.Is(err, kind.Conflict),
				refused:  err != nil,
				revision: accepted.Revision,
			}
		})
		if out.failed {
			return fmt.Errorf("edit %s failed with an error other than a conflict", id)
		}
		if !out.refused {
			base = out.revision
			committed++
			continue
		}
		read := r.run(client, operation{read: true}, func() outcome {
			accepted, err := store.Get(ctx, "portal")
			return outcome{changeID: accepted.ChangeID, revision: accepted.Revision, failed: err != nil}
		})
		if read.failed {
			return errors.New("reading the document failed")
		}
		base = read.revision
	}
	return nil
}

// TestEditsAreLinearizable lets two operators commit 50 edits each concurrently,
// through separate clients, while the store drops 30 % of its replies to
// transactions.
func TestEditsAreLinearizable(t *testing.T) {
	is := is.New(t)
	server, client := startStore(t)
	server.SetFault(standin.MethodTxn, standin.Fault{LoseReply: true, Probability: 0.3})
	other := &etcd.Store{CallTimeout: 5 * time.Second, Endpoints: []string{server.Address()}}
	defer func() { is.NoErr(other.Close()) }()
	r := &recorder{start: time.Now()}
	group, ctx := errgroup.WithContext(t.Context())
	for i, each := range []*etcd.Store{client, other} {
		group.Go(func() error {
			return runOperator(ctx, &document.Store{KV: each, CommitTimeout: time.Minute}, r, i, 50)
		})
	}
	is.NoErr(group.Wait())
	is.True(len(r.history) >= 100)
	is.True(porcupine.CheckOperations(registerModel, r.history))

	// The same history with one falsified result must fail the check.
	last := &r.history[len(r.history)-1]
	out, _ := last.Output.(outcome)
	out.revision, out.refused = 1, false
	last.Output = out
	is.True(!porcupine.CheckOperations(registerModel, r.history))
}
