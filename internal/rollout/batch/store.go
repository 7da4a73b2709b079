package batch

import (
	"context"
	"encoding/json"
	"fmt"
	"strings"
	"time"

	"github.com/nutmegway/nutmegway/internal/base/kind"
	"github.com/nutmegway/nutmegway/internal/base/wait"
	"github.com/nutmegway/nutmegway/internal/external/kv"
	"github.com/nutmegway/nutmegway/internal/fleet/mirror"
)

const (
	// HeadPrefix is the key prefix of the heads of batches.
	HeadPrefix = mirror.LivePrefix + "batches/"

	itemsPrefix   = "nutmegway/batch-items/"
	partialPrefix = "nutmegway/batch-partials/"
	resultsPrefix = "nutmegway/batch-results/"

	// maxPieceBytes bounds the length of one value. The key-value service takes
	// values of up to 1 MB in base64 encoding.
	maxPieceBytes = 600 << 10
	// maxPieces bounds the number of values in one transaction. It leaves room
	// for the head among the 32 keys of a transaction.
	maxPieces = 30
	// maxIDBytes keeps all keys of a batch within the limit of 200 bytes per key.
	maxIDBytes = 120

	// writeTimeout is how long a write is retried before the caller gets an
	// error.
	writeTimeout  = 1200 * time.Millisecond
	readTimeout   = 1500 * time.Millisecond
	minRetryDelay = 30 * time.Millisecond
	maxRetryDelay = 300 * time.Millisecond
	// callerRetryAfter is the retry delay sent to a caller whose write was not
	// stored.
	callerRetryAfter = 500 * time.Millisecond
)

// Store reads and writes batches in the key-value service. Its fields must be set
// before the first call.
type Store struct {
	KV kv.RangeStore
	// Now is the clock; nil means time.Now.
	Now func() time.Time
}

func headKey(id string) string { return HeadPrefix + id }

func pieceKey(id string, n int) string { return fmt.Sprintf("%s%s/%04d", itemsPrefix, id, n) }

func chunkKey(id string, position int) string {
	return fmt.Sprintf("%s%s/%08d", resultsPrefix, id, position)
}

// CheckID returns an error of kind bad-request if id is not valid as the id of a
// batch.
func CheckID(id string) error {
	if id == "" || len(id) > maxIDBytes || strings.ContainsAny(id, "/ ") {
		return kind.New(kind.BadRequest, "batch id %q is invalid: it must have 1 to %d bytes without slash or space", id, maxIDBytes)
	}
	return nil
}

// Accept stores a batch with its owner. It returns the stored head and whether
// this call created the batch; if the batch was submitted before, the head is
// that of the earlier submission. An error of kind store-unavailable means that
// the batch is not stored and never will be. After an error of kind
// store-write-unknown it may be stored.
func (s *Store) Accept(ctx context.Context, b Batch, owner Owner) (Head, bool, error) {
	if err := CheckID(b.ID); err != nil {
		return Head{}, false, err
	}
	encoded, err := json.Marshal(b)
	if err != nil {
		return Head{}, false, kind.Wrap(kind.Internal, err)
	}
	pieces := split(encoded, maxPieceBytes)
	if len(pieces) > maxPieces {
		return Head{}, false, kind.New(kind.TooLarge, "batch %s is too large: %d bytes, at most %d", b.ID, len(encoded), maxPieces*maxPieceBytes)
	}
	head := Head{
		Account: b.Account, ID: b.ID, Owner: owner, Pieces: len(pieces), SubmittedMillis: s.now().UnixMilli(), Total: len(b.Items),
	}
	value, err := json.Marshal(head)
	if err != nil {
		return Head{}, false, kind.Wrap(kind.Internal, err)
	}
	txn := kv.Txn{
		Conditions: []kv.Condition{{Key: headKey(b.ID)}},
		Writes:     []kv.Write{{Key: headKey(b.ID), Value: value}},
	}
	for n, piece := range pieces {
		txn.Writes = append(txn.Writes, kv.Write{Key: pieceKey(b.ID, n), Value: piece})
	}
	result, err := s.commitWithRetry(ctx, txn)
	if err != nil {
		return Head{}, false, err
	}
	if result.Committed {
		head.Revision = result.Revision
		return head, true, nil
	}
	stored, err := decodeHead(result.Current[0])
	head.Revision = stored.Revision
	// A head that has changed since belongs to a batch that has run, or was ended.
	return stored, stored == head, err
}

// commitWithRetry retries a transaction with back-off until its outcome is known
// or writeTimeout has passed. A transaction can be repeated safely: either its
// conditions let only the first commit take effect, or its writes are idempotent.
func (s *Store) commitWithRetry(ctx context.Context, txn kv.Txn) (kv.TxnResult, error) {
	ctx, cancel := context.WithTimeout(ctx, writeTimeout)
	defer cancel()
	mayHaveCommitted := false
	for delay := minRetryDelay; ; delay = min(2*delay, maxRetryDelay) {
		result, err := s.KV.Commit(ctx, txn)
		if err == nil {
			return result, nil
		}
		mayHaveCommitted = mayHaveCommitted || kind.Is(err, kind.StoreWriteUnknown)
		if !kind.Is(err, kind.StoreUnavailable) && !kind.Is(err, kind.StoreWriteUnknown) {
			return kv.TxnResult{}, err
		}
		if !wait.Within(ctx, wait.Jittered(delay)) {
			if mayHaveCommitted {
				return kv.TxnResult{}, kind.New(kind.StoreWriteUnknown, "the write of %d keys may have been committed: %v", len(txn.Writes), err)
			}
			return kv.TxnResult{}, kind.New(kind.StoreUnavailable, "the write of %d keys was not committed: %v", len(txn.Writes), err).WithRetryAfter(callerRetryAfter)
		}
	}
}

// Head returns the head of a batch. The error has kind not-found if there is no
// such batch.
func (s *Store) Head(ctx context.Context, id string) (Head, error) {
	ctx, cancel := context.WithTimeout(ctx, readTimeout)
	defer cancel()
	entry, err := retryRead(ctx, func() (kv.Entry, error) { return s.KV.Get(ctx, headKey(id)) })
	if err != nil {
		return Head{}, err
	}
	if entry.ModRevision == 0 {
		return Head{}, kind.New(kind.NotFound, "no batch %q", id)
	}
	return decodeHead(entry)
}

// Load returns a batch with its items.
func (s *Store) Load(ctx context.Context, id string) (Batch, error) {
	ctx, cancel := context.WithTimeout(ctx, readTimeout)
	defer cancel()
	entries, err := retryRead(ctx, func() ([]kv.Entry, error) {
		entries, _, err := s.KV.ListAfter(ctx, itemsPrefix+id+"/", "")
		return entries, err
	})
	if err != nil {
		return Batch{}, err
	}
	var encoded []byte
	for _, entry := range entries {
		encoded = append(encoded, entry.Value...)
	}
	var b Batch
	if err := json.Unmarshal(encoded, &b); err != nil {
		return Batch{}, kind.Wrap(kind.Internal, err)
	}
	return b, nil
}

// Claim makes owner the owner of a batch unless its head has changed. A host
// releases a batch by claiming it for the zero Owner.
func (s *Store) Claim(ctx context.Context, head Head, owner Owner) (Head, error) {
	return s.updateHead(ctx, head, func(h *Head) { h.Owner = owner })
}

// End marks a batch as ended by its trainer. known is the head as this host
// knows it, or the zero Head. If known is outdated, End reads the head and
// tries again. The error has kind not-found if there is no such batch.
func (s *Store) End(ctx context.Context, id string, known Head) (Head, error) {
	ctx, cancel := context.WithTimeout(ctx, writeTimeout)
	defer cancel()
	head := known
	for {
		if head.Revision == 0 {
			var err error
			if head, err = s.Head(ctx, id); err != nil {
				return head, err
			}
		}
		if head.Ended {
			return head, nil
		}
		ended, err := s.updateHead(ctx, head, func(h *Head) { h.Ended = true })
		switch {
		case err == nil || !kind.Is(err, kind.Conflict) && !kind.Is(err, kind.StoreWriteUnknown):
			return ended, err
		case !wait.Within(ctx, minRetryDelay):
			return head, err
		}
		head = Head{}
	}
}

// updateHead applies edit to a head and stores it. If the stored head has
// changed since, updateHead returns it, with an error of kind conflict unless
// it already equals the edited head.
func (s *Store) updateHead(ctx context.Context, head Head, edit func(*Head)) (Head, error) {
	changed := head
	edit(&changed)
	value, err := json.Marshal(changed)
	if err != nil {
		return head, kind.Wrap(kind.Internal, err)
	}
	result, err := s.commitWithRetry(ctx, kv.Txn{
		Conditions: []kv.Condition{{Key: headKey(head.ID), ModRevision: head.Revision}},
		Writes:     []kv.Write{{Key: headKey(head.ID), Value: value}},
	})
	if err != nil {
		return head, err
	}
	if result.Committed {
		changed.Revision = result.Revision
		return changed, nil
	}
	stored, err := decodeHead(result.Current[0])
	if err != nil {
		return head, err
	}
	expected := changed
	expected.Revision = stored.Revision
	if stored == expected {
		return stored, nil
	}
	return stored, kind.New(kind.Conflict, "head of batch %s has changed: expected revision %d, got %d", head.ID, head.Revision, stored.Revision)
}

// Remove deletes all keys of a batch that is no longer read. It deletes the
// head last, so that the caller still finds the batch after an interrupted
// removal and can retry it.
func (s *Store) Remove(ctx context.Context, head Head) error {
	for _, prefix := range []string{itemsPrefix, partialPrefix, resultsPrefix} {
		entries, _, err := s.KV.ListAfter(ctx, prefix+head.ID+"/", "")
		if err != nil {
			return err
		}
		for start := 0; start < len(entries); start += maxPieces {
			var txn kv.Txn
			for _, entry := range entries[start:min(start+maxPieces, len(entries))] {
				txn.Writes = append(txn.Writes, kv.Write{Delete: true, Key: entry.Key})
			}
			if _, err := s.commitWithRetry(ctx, txn); err != nil {
				return err
			}
		}
	}
	_, err := s.commitWithRetry(ctx, kv.Txn{
		Conditions: []kv.Condition{{Key: headKey(head.ID), ModRevision: head.Revision}},
		Writes:     []kv.Write{{Delete: true, Key: headKey(head.ID)}},
	})
	return err
}

func decodeHead(entry kv.Entry) (Head, error) {
	if entry.ModRevision == 0 {
		return Head{}, kind.New(kind.NotFound, "no head of a batch at key %s", entry.Key)
	}
	var head Head
	if err := json.Unmarshal(entry.Value, &head); err != nil {
		return Head{}, kind.Wrap(kind.Internal, err)
	}
	head.Revision = entry.ModRevision
	return head, nil
}

// retryRead retries a read with back-off while the store is unavailable, until
// ctx ends.
func retryRead[T any](ctx context.Context, read func() (T, error)) (T, error) {
	for delay := minRetryDelay; ; delay = min(2*delay, maxRetryDelay) {
		value, err := read()
		if err == nil || !kind.Is(err, kind.StoreUnavailable) {
			return value, err
		}
		if !wait.Within(ctx, wait.Jittered(delay)) {
			return value, err
		}
	}
}

// split divides data into pieces of at most size bytes. It returns at least one.
func split(data []byte, size int) [][]byte {
	var pieces [][]byte
	for len(data) > size {
		pieces = append(pieces, data[:size])
		data = data[size:]
	}
	return append(pieces, data)
}

func (s *Store) now() time.Time {
	if s.Now != nil {
		return s.Now()
	}
	return time.Now()
}
