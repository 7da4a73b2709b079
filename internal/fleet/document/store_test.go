package document_test

import (
	"context"
	"errors"
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"
	"golang.org/x/sync/errgroup"

	"github.com/nutmegway/nutmegway/internal/base/kind"
	"github.com/nutmegway/nutmegway/internal/external/etcd"
	"github.com/nutmegway/nutmegway/internal/fleet/document"
	standin "github.com/nutmegway/nutmegway/internal/standin/etcd"
)

// startStore runs a fake key-value service and returns it with a client.
func startStore(t *testing.T) (*standin.Server, *etcd.Store) {
	t.Helper()
	is := is.New(t)
	server := &standin.Server{Seed: 1}
	is.NoErr(server.Listen())
	ctx, cancel := context.WithCancel(context.Background())
	group, ctx := errgroup.WithContext(ctx)
	group.Go(func() error { return server.Run(ctx) })
	client := &etcd.Store{CallTimeout: 5 * time.Second, Endpoints: []string{server.Address()}}
	t.Cleanup(func() {
		is.NoErr(client.Close())
		cancel()
		is.NoErr(group.Wait())
	})
	return server, client
}

func portalText(queueLimit int) string {
	return fmt.Sprintf("[service]\nkind = plain\nname = portal\nteam = halvorsen\n[admission]\nqueue-limit = %d\n", queueLimit)
}

func newEdit(id string, base int64, queueLimit int) document.Edit {
	return document.Edit{Author: id, BaseRevision: base, ChangeID: id, Service: "portal", Text: portalText(queueLimit)}
}

func TestApplyComparesAndSwaps(t *testing.T) {
	is := is.New(t)
	_, client := startStore(t)
	store := &document.Store{KV: client}
	ctx := t.Context()

	_, err := store.Get(ctx, "portal")
	is.True(kind.Is(err, kind.NotFound))
	first, err := store.Apply(ctx, newEdit("first", 0, 1))
	is.NoErr(err)
	second, err := store.Apply(ctx, newEdit("second", first.Revision, 2))
	is.NoErr(err)
	is.True(second.Revision > first.Revision)

	_, err = store.Apply(ctx, newEdit("late", first.Revision, 3))
	is.True(kind.Is(err, kind.Conflict))
	var conflict *document.ConflictError
	is.True(errors.As(err, &conflict))
	theirs, yours := conflict.Changes()
	is.True(strings.Contains(theirs, "+queue-limit = 2"))
	is.True(strings.Contains(yours, "+queue-limit = 3"))

	again, err := store.Apply(ctx, newEdit("first", 0, 1))
	is.NoErr(err)
	is.Equal(again.Revision, first.Revision)

	_, err = store.Apply(ctx, newEdit("bad", second.Revision, -1))
	is.True(kind.Is(err, kind.InvalidDocument))
	current, err := store.Get(ctx, "portal")
	is.NoErr(err)
	is.Equal(current, second)
}

func TestLostReplyIsResolvedByReading(t *testing.T) {
	is := is.New(t)
	server, client := startStore(t)
	store := &document.Store{KV: client}
	ctx := t.Context()
	first, err := store.Apply(ctx, newEdit("first", 0, 1))
	is.NoErr(err)

	server.SetFault(standin.MethodTxn, standin.Fault{LoseReply: true, Probability: 0.7})
	second, err := store.Apply(ctx, newEdit("second", first.Revision, 2))
	is.NoErr(err)
	is.Equal(second.ChangeID, "second")

	server.SetFault(standin.MethodTxn, standin.Fault{Refuse: true})
	_, err = store.Apply(ctx, newEdit("third", second.Revision, 3))
	is.True(kind.Is(err, kind.StoreUnavailable))

	server.SetFault(standin.MethodTxn, standin.Fault{LoseReply: true})
	store.CommitTimeout = 200 * time.Millisecond
	third, err := store.Apply(ctx, newEdit("third", second.Revision, 3))
	if err != nil {
		is.True(kind.Is(err, kind.StoreWriteUnknown))
	} else {
		is.Equal(third.ChangeID, "third")
	}
	server.SetFault(standin.MethodTxn, standin.Fault{})
	retried, err := store.Apply(ctx, newEdit("third", second.Revision, 3))
	is.NoErr(err)
	history, err := store.History(ctx, "portal")
	is.NoErr(err)
	is.Equal(len(history), 3)
	is.Equal(history[0], retried)
}

func TestHistoryIsBounded(t *testing.T) {
	is := is.New(t)
	server, client := startStore(t)
	store := &document.Store{KV: client}
	var revision int64
	for i := range document.HistoryLimit + 5 {
		accepted, err := store.Apply(t.Context(), newEdit(fmt.Sprint("edit-", i), revision, i))
		is.NoErr(err)
		revision = accepted.Revision
	}
	history, err := store.History(t.Context(), "portal")
	is.NoErr(err)
	is.Equal(len(history), document.HistoryLimit+1)
	is.Equal(history[0].Revision, revision)
	is.Equal(history[document.HistoryLimit].ChangeID, "edit-4")
	keys, _ := server.Keys()
	is.Equal(keys, document.HistoryLimit+1)
}
