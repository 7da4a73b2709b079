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
	// HistoryLimit is the number of replaced edits that are kept.
	HistoryLimit = 50

	settleFirstDelay = 50 * time.Millisecond
	settleMaxDelay   = time.Second
	settleTimeout    = 10 * time.Second

	maxAuthorBytes   = 256
	maxChangeIDBytes = 128
)

// Edit is a change that an operator asks for.
type Edit struct {
	Author string
	// BaseRevision is the revision that the operator has read; zero creates
	// the document.
	BaseRevision int64
	// ChangeID is chosen by the operator's command and is the same in each
	// repeat of the edit.
	ChangeID string
	Service  string
	Text     string
}

// ConflictError says that another edit landed since the operator read the
// document. It is the cause of an error of kind conflict.
type ConflictError struct {
	// Base is the text that the edit was made from; empty when the history no
	// longer holds it.
	Base string
	// Theirs is the document in force.
	Theirs Accepted
	Yours  Edit
}

// Error describes the conflict in one line.
func (e *ConflictError) Error() string {
	return fmt.Sprintf("the document of %s is at revision %d by %s, the edit was made from %d",
		e.Yours.Service, e.Theirs.Revision, e.Theirs.Author, e.Yours.BaseRevision)
}

// Changes returns both changes as unified differences from the common base.
func (e *ConflictError) Changes() (theirs, yours string) {
	return Diff("base", e.Base, "theirs", e.Theirs.Text), Diff("base", e.Base, "yours", e.Yours.Text)
}

// Store keeps the documents in the key-value service. Its fields are set before
// the first call.
type Store struct {
	KV kv.Store
	// Now is the clock for the time of an edit; nil means time.Now.
	Now func() time.Time
	// SettleTimeout bounds the time spent on learning whether an edit landed.
	// Zero means 10 s.
	SettleTimeout time.Duration
}

// Apply checks an edit and makes it the document in force if BaseRevision is
// still the revision of the document. Applying an edit again returns the
// outcome of the first time. The kinds of its errors are: invalid-document and
// bad-request (nothing was changed), conflict with a ConflictError as cause
// (nothing was changed), store-unavailable (nothing was changed) and
// store-write-unknown (the store stayed away for too long after the write).
func (s *Store) Apply(ctx context.Context, edit Edit) (Accepted, error) {
	if err := check(edit); err != nil {
		return Accepted{}, err
	}
	previous, err := s.KV.Get(ctx, Key(edit.Service))
	if err != nil {
		return Accepted{}, err
	}
	if previous.ModRevision != edit.BaseRevision {
		return s.settleRefusal(ctx, edit, previous, false)
	}
	txn, value, err := s.transaction(edit, previous)
	if err != nil {
		return Accepted{}, err
	}
	return s.commit(ctx, edit, txn, value)
}

func check(edit Edit) error {
	switch {
	case edit.ChangeID == "" || len(edit.ChangeID) > maxChangeIDBytes:
		return kind.New(kind.BadRequest, "the change id must have 1 to %d bytes", maxChangeIDBytes)
	case len(edit.Author) > maxAuthorBytes:
		return kind.New(kind.BadRequest, "the author must have at most %d bytes", maxAuthorBytes)
	}
	d, mistakes := Parse([]byte(edit.Text))
	if len(mistakes) > 0 {
		return Invalid(mistakes)
	}
	if d.Service.Name != edit.Service {
		return kind.New(kind.InvalidDocument, "the document names the service %s, the edit is for %s", d.Service.Name, edit.Service)
	}
	return nil
}

// transaction moves the previous document to the history, trims the history
// and writes the new document, all under the condition of the base revision.
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
		replaced := earlierEdit{ChangeID: old.ChangeID, Revision: previous.ModRevision}
		next.Earlier = append(slices.Clone(old.Earlier), replaced)
		for len(next.Earlier) > HistoryLimit {
			key := historyKey(edit.Service, next.Earlier[0].Revision)
			txn.Writes = append(txn.Writes, kv.Write{Delete: true, Key: key})
			next.Earlier = next.Earlier[1:]
		}
		old.Earlier = nil
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

// commit sends the transaction until the store says whether it took effect. A
// repeat cannot take effect twice, because the first effect changes the
// revision that the condition names.
func (s *Store) commit(ctx context.Context, edit Edit, txn kv.Txn, value []byte) (Accepted, error) {
	timeout := s.SettleTimeout
	if timeout == 0 {
		timeout = settleTimeout
	}
	delays := backoff.NewExponentialBackOff()
	delays.InitialInterval, delays.MaxInterval = settleFirstDelay, settleMaxDelay
	sent := false
	attempt := func() (Accepted, error) {
		result, err := s.KV.Commit(ctx, txn)
		switch {
		case kind.Is(err, kind.StoreWriteUnknown):
			sent = true
			return Accepted{}, err
		case err != nil && sent:
			return Accepted{}, err
		case err != nil:
			return Accepted{}, backoff.Permanent(err)
		case result.Committed:
			return FromEntry(kv.Entry{Key: Key(edit.Service), ModRevision: result.Revision, Value: value})
		}
		accepted, err := s.settleRefusal(ctx, edit, result.Current[0], sent)
		if err != nil {
			err = backoff.Permanent(err)
		}
		return accepted, err
	}
	accepted, err := backoff.Retry(ctx, attempt, backoff.WithBackOff(delays), backoff.WithMaxElapsedTime(timeout))
	if err != nil && sent && kind.Of(err).Kind != kind.Conflict {
		return Accepted{}, kind.Wrap(kind.StoreWriteUnknown, err)
	}
	return accepted, err
}

// settleRefusal decides what became of an edit whose condition does not hold:
// it landed earlier, or it conflicts with the entry. sent is true when an
// earlier reply was lost.
func (s *Store) settleRefusal(ctx context.Context, edit Edit, current kv.Entry, sent bool) (Accepted, error) {
	if current.ModRevision == 0 {
		return Accepted{}, kind.New(kind.NotFound, "the service %s has no document", edit.Service)
	}
	theirs, r, err := decode(current)
	if err != nil {
		return Accepted{}, err
	}
	landed, covered := r.landedAt(edit.ChangeID, edit.BaseRevision, current.ModRevision)
	switch {
	case landed == current.ModRevision:
		return theirs, nil
	case landed > 0:
		return s.landed(ctx, edit, landed), nil
	case sent && !covered:
		return Accepted{}, kind.New(kind.StoreWriteUnknown, "the history no longer reaches back to revision %d", edit.BaseRevision)
	}
	conflict := &ConflictError{Theirs: theirs, Yours: edit}
	if base, err := s.At(ctx, edit.Service, edit.BaseRevision); err == nil {
		conflict.Base = base.Text
	}
	return Accepted{}, kind.Wrap(kind.Conflict, conflict)
}

// landed returns an edit that another one has replaced since.
func (s *Store) landed(ctx context.Context, edit Edit, revision int64) Accepted {
	if accepted, err := s.At(ctx, edit.Service, revision); err == nil {
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
		return Accepted{}, kind.New(kind.NotFound, "the service %s has no document", service)
	}
	return FromEntry(entry)
}

// At returns the document of service at a replaced revision, or an error of
// kind not-found when the history does not hold it.
func (s *Store) At(ctx context.Context, service string, revision int64) (Accepted, error) {
	entry, err := s.KV.Get(ctx, historyKey(service, revision))
	if err != nil {
		return Accepted{}, err
	}
	if entry.ModRevision == 0 {
		return Accepted{}, kind.New(kind.NotFound, "the history of %s does not hold revision %d", service, revision)
	}
	entry.ModRevision = revision
	accepted, _, err := decode(entry)
	return accepted, err
}

// History returns the document in force and the replaced ones that are kept,
// newest first. A record that this version cannot read is left out.
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
		if accepted, _, err := decode(entry); err == nil && revision < current.Revision {
			history = append(history, accepted)
		}
	}
	return history, nil
}

// Diff returns the unified difference between two texts, empty when they are
// equal.
func Diff(oldName, oldText, newName, newText string) string {
	return string(diff.Diff(oldName, []byte(oldText), newName, []byte(newText)))
}
