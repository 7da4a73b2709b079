package document

import (
	"context"
	"encoding/json"
	"fmt"
	"slices"
	"time"

	"github.com/cenkalti/backoff/v5"
	"github.com/rogpeppe/go-internal/diff"

	"github.com/nutmegway/nutmegway/internal/base/kind"
	"github.com/nutmegway/nutmegway/internal/external/kv"
)

const (
	// HistoryLimit is the maximum number of replaced documents in the history.
	HistoryLimit = 50

	commitInitialDelay   = 50 * time.Millisecond
	commitMaxDelay       = time.Second
	defaultCommitTimeout = 10 * time.Second

	maxAuthorBytes   = 256
	maxChangeIDBytes = 128
)

// Edit is a change to a document, requested by an operator.
type Edit struct {
	Author string
	// BaseRevision is the revision that the edit is based on; zero creates the
	// document.
	BaseRevision int64
	// ChangeID is chosen by the operator's command and stays the same when the
	// edit is retried.
	ChangeID string
	Service  string
	Text     string
}

// ConflictError reports that another edit was committed after the operator read
// the document. It is the cause of an error of kind conflict.
type ConflictError struct {
	// Base is the text that the edit is based on, or empty if the history no
	// longer contains it.
	Base string
	// Theirs is the current document.
	Theirs Accepted
	Yours  Edit
}

// Error describes the conflict in one line.
func (e *ConflictError) Error() string {
	return fmt.Sprintf("document of service %s is at revision %d (author %s), but the edit is based on revision %d",
		e.Yours.Service, e.Theirs.Revision, e.Theirs.Author, e.Yours.BaseRevision)
}

// Changes returns both changes as unified diffs against the common base.
func (e *ConflictError) Changes() (theirs, yours string) {
	return Diff("base", e.Base, "theirs", e.Theirs.Text), Diff("base", e.Base, "yours", e.Yours.Text)
}

// Store stores documents in the key-value service. Its fields must be set before
// the first call.
type Store struct {
	KV kv.Store
	// Now returns the time of an edit; nil means time.Now.
	Now func() time.Time
	// CommitTimeout bounds the time spent finding out whether an edit was
	// committed. Zero means 10 s.
	CommitTimeout time.Duration
}

// Apply validates an edit and commits its text as the current document if
// BaseRevision is still the document's revision. It is idempotent: applying an
// edit again returns the result of the first time. It returns errors of these
// kinds:
//   - invalid-document, bad-request and store-unavailable: nothing was changed;
//   - not-found: the edit has a base revision but the document does not exist;
//   - conflict, with a ConflictError as cause: nothing was changed;
//   - store-write-unknown: it is unknown whether the edit was committed, because the
//     store did not confirm it within CommitTimeout or the history no longer reaches
//     back to the base revision.
func (s *Store) Apply(ctx context.Context, edit Edit) (Accepted, error) {
	if err := validate(edit); err != nil {
		return Accepted{}, err
	}
	previous, err := s.KV.Get(ctx, Key(edit.Service))
	if err != nil {
		return Accepted{}, err
	}
	if previous.ModRevision != edit.BaseRevision {
		return s.resolveMismatch(ctx, edit, previous, false)
	}
	txn, value, err := s.transaction(edit, previous)
	if err != nil {
		return Accepted{}, err
	}
	return s.commit(ctx, edit, txn, value)
}

func validate(edit Edit) error {
	switch {
	case edit.ChangeID == "" || len(edit.ChangeID) > maxChangeIDBytes:
		return kind.New(kind.BadRequest, "change id has %d bytes, expected 1 to %d", len(edit.ChangeID), maxChangeIDBytes)
	case len(edit.Author) > maxAuthorBytes:
		return kind.New(kind.BadRequest, "author has %d bytes, expected at most %d", len(edit.Author), maxAuthorBytes)
	}
	d, mistakes := Parse([]byte(edit.Text))
	if len(mistakes) > 0 {
		return InvalidError(mistakes)
	}
	if d.Service.Name != edit.Service {
		return kind.New(kind.InvalidDocument, "document names service %s, but the edit is for service %s", d.Service.Name, edit.Service)
	}
	return nil
}

// transaction returns a transaction that copies the previous document to the
// history, trims the history and writes the new document, on condition that the
// document is still at the base revision. It also returns the new record.
func (s *Store) transaction(edit Edit, previous kv.Entry) (kv.Txn, []byte, error) {
	now := time.Now
	if s.Now != nil {
		now = s.Now
	}
	next := record{At: now().UTC(), Author: edit.Author, ChangeID: edit.ChangeID, Text: edit.Text}
	txn := kv.Txn{Conditions: []kv.Condition{{Key: Key(edit.Service), ModRevision: edit.BaseRevision}}}
	if previous.ModRevision > 0 {
		var old record
		if err := json.Unmarshal(previous.Value, &old); err != nil {
			return kv.Txn{}, nil, kind.Wrap(kind.InvalidDocument, classError.Wrap(err))
		}
		replaced := replacedEdit{ChangeID: old.ChangeID, Revision: previous.ModRevision}
		next.Replaced = append(slices.Clone(old.Replaced), replaced)
		for len(next.Replaced) > HistoryLimit {
			key := historyKey(edit.Service, next.Replaced[0].Revision)
			txn.Writes = append(txn.Writes, kv.Write{Delete: true, Key: key})
			next.Replaced = next.Replaced[1:]
		}
		old.Replaced = nil
		value, err := json.Marshal(old)
		if err != nil {
			return kv.Txn{}, nil, classError.Wrap(err)
		}
		txn.Writes = append(txn.Writes, kv.Write{Key: historyKey(edit.Service, previous.ModRevision), Value: value})
	}
	value, err := json.Marshal(next)
	if err != nil {
		return kv.Txn{}, nil, classError.Wrap(err)
	}
	txn.Writes = append(txn.Writes, kv.Write{Key: Key(edit.Service), Value: value})
	return txn, value, nil
}

// commit commits the transaction. If the outcome is unknown, it retries until the
// store reports whether the transaction was committed or CommitTimeout has passed.
// Retrying is safe, because the first commit changes the revision that the condition
// requires.
func (s *Store) commit(ctx context.Context, edit Edit, txn kv.Txn, value []byte) (Accepted, error) {
	timeout := s.CommitTimeout
	if timeout == 0 {
		timeout = defaultCommitTimeout
	}
	delays := backoff.NewExponentialBackOff()
	delays.InitialInterval, delays.MaxInterval = commitInitialDelay, commitMaxDelay
	maybeCommitted := false
	attempt := func() (Accepted, error) {
		result, err := s.KV.Commit(ctx, txn)
		switch {
		case kind.Is(err, kind.StoreWriteUnknown):
			maybeCommitted = true
			return Accepted{}, err
		case err != nil && maybeCommitted:
			return Accepted{}, err
		case err != nil:
			return Accepted{}, backoff.Permanent(err)
		case result.Committed:
			return FromEntry(kv.Entry{Key: Key(edit.Service), ModRevision: result.Revision, Value: value})
		}
		accepted, err := s.resolveMismatch(ctx, edit, result.Current[0], maybeCommitted)
		if err != nil {
			err = backoff.Permanent(err)
		}
		return accepted, err
	}
	accepted, err := backoff.Retry(ctx, attempt, backoff.WithBackOff(delays), backoff.WithMaxElapsedTime(timeout))
	if err != nil && maybeCommitted && kind.Of(err).Kind != kind.Conflict {
		return Accepted{}, kind.Wrap(kind.StoreWriteUnknown, err)
	}
	return accepted, err
}

// resolveMismatch determines the result of an edit whose base revision is not the
// current one: the edit was committed earlier, or it conflicts with the current
// entry. maybeCommitted is true if the reply to an earlier attempt was lost.
func (s *Store) resolveMismatch(ctx context.Context, edit Edit, current kv.Entry, maybeCommitted bool) (Accepted, error) {
	if current.ModRevision == 0 {
		return Accepted{}, kind.New(kind.NotFound, "service %s has no document", edit.Service)
	}
	theirs, r, err := decodeRecord(current)
	if err != nil {
		return Accepted{}, err
	}
	committed, covered := r.committedRevision(edit.ChangeID, edit.BaseRevision, current.ModRevision)
	switch {
	case committed == current.ModRevision:
		return theirs, nil
	case committed > 0:
		return s.committedEdit(ctx, edit, committed), nil
	case maybeCommitted && !covered:
		return Accepted{}, kind.New(kind.StoreWriteUnknown, "cannot tell whether the edit of service %s was committed: the history no longer reaches back to its base revision %d",
			edit.Service, edit.BaseRevision)
	}
	conflict := &ConflictError{Theirs: theirs, Yours: edit}
	if base, err := s.AtRevision(ctx, edit.Service, edit.BaseRevision); err == nil {
		conflict.Base = base.Text
	}
	return Accepted{}, kind.Wrap(kind.Conflict, conflict)
}

// committedEdit returns the document of an edit that was committed at revision and
// has been replaced since. If it cannot be read from the history, it is rebuilt from
// the edit, and At is zero.
func (s *Store) committedEdit(ctx context.Context, edit Edit, revision int64) Accepted {
	if accepted, err := s.AtRevision(ctx, edit.Service, revision); err == nil {
		return accepted
	}
	d, _ := Parse([]byte(edit.Text))
	return Accepted{
		Author:   edit.Author,
		ChangeID: edit.ChangeID,
		Document: d,
		Revision: revision,
		Text:     edit.Text,
	}
}

// Get returns the document of service, or an error of kind not-found.
func (s *Store) Get(ctx context.Context, service string) (Accepted, error) {
	entry, err := s.KV.Get(ctx, Key(service))
	if err != nil {
		return Accepted{}, err
	}
	if entry.ModRevision == 0 {
		return Accepted{}, kind.New(kind.NotFound, "service %s has no document", service)
	}
	return FromEntry(entry)
}

// AtRevision returns the replaced document of service at revision, or an error of kind
// not-found if the history does not contain it.
func (s *Store) AtRevision(ctx context.Context, service string, revision int64) (Accepted, error) {
	entry, err := s.KV.Get(ctx, historyKey(service, revision))
	if err != nil {
		return Accepted{}, err
	}
	if entry.ModRevision == 0 {
		return Accepted{}, kind.New(kind.NotFound, "history of service %s does not contain revision %d", service, revision)
	}
	entry.ModRevision = revision
	accepted, _, err := decodeRecord(entry)
	return accepted, err
}

// History returns the current document and the replaced ones in the history,
// newest first. It omits replaced records that this version of the program cannot
// decode.
func (s *Store) History(ctx context.Context, service string) ([]Accepted, error) {
	current, err := s.Get(ctx, service)
	if err != nil {
		return nil, err
	}
	entries, _, err := s.KV.List(ctx, historyPrefix+service+"/")
	if err != nil {
		return nil, err
	}
	history := []Accepted{current}
	for _, entry := range slices.Backward(entries) {
		var revision int64
		if _, err := fmt.Sscanf(entry.Key[len(historyPrefix+service+"/"):], "%d", &revision); err != nil {
			continue
		}
		entry.ModRevision = revision
		if accepted, _, err := decodeRecord(entry); err == nil && revision < current.Revision {
			history = append(history, accepted)
		}
	}
	return history, nil
}

// Diff returns the unified diff between two texts. It is empty if they are equal.
func Diff(oldName, oldText, newName, newText string) string {
	return string(diff.Diff(oldName, []byte(oldText), newName, []byte(newText)))
}
