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
	// HeadPrefix is the prefix of the keys of heads.
	HeadPrefix = mirror.LivePrefix + "batches/"

	itemsPrefix   = "nutmegway/batch-items/"
	partialPrefix = "nutmegway/batch-partials/"
	resultsPrefix = "nutmegway/batch-results/"

	// pieceBytes is the length of one value. The service holds a megabyte of a
	// value as base64 text.
	pieceBytes = 600 << 10
	// maxPieces leaves room for the head among the 32 keys of a transaction.
	maxPieces = 30
	// maxIDBytes keeps all keys of a batch within the 200 bytes of a key.
	maxIDBytes = 120

	// acceptTimeout bounds how long a write is kept waiting for the
	// service before the caller is told to come again.
	acceptTimeout = 1200 * time.Millisecond
	readTimeout   = 1500 * time.Millisecond
	retryFirst    = 30 * time.Millisecond
	retryMax      = 300 * time.Millisecond
	// returnAfter is when a caller whose batch could not be stored comes again.
	returnAfter = 500 * time.Millisecond
)

// Store keeps batches in the key-value service. Its fields are set before the
// first call.
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

// CheckID returns an error if id can't name a batch.
func CheckID(id string) error {
	if id == "" || len(id) > maxIDBytes || strings.ContainsAny(id, "/ ") {
		return kind.New(kind.BadRequest, "the id of a batch has 1 to %d bytes without slash or space", maxIDBytes)
	}
	return nil
}

// Accept stores a batch with its owner. It returns the head that is stored,
// which is that of an earlier submission if there was one. An error of kind
// store-unavailable means that the batch isn't stored and never will be; after
// store-write-unknown it may be.
func (s *Store) Accept(ctx context.Context, b Batch, owner Owner) (Head, bool, error) {
	if err := CheckID(b.ID); err != nil {
		return Head{}, false, err
	}
	encoded, err := json.Marshal(b)
	if err != nil {
		return Head{}, false, kind.Wrap(kind.Internal, err)
	}
	pieces := split(encoded, pieceBytes)
	if len(pieces) > maxPieces {
		return Head{}, false, kind.New(kind.TooLarge, "a batch of %d bytes is too large", len(encoded))
	}
	head := Head{
		ID: b.ID, Owner: owner, Pieces: len(pieces), SubmittedMillis: s.now().UnixMilli(), Total: len(b.Items),
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
	result, err := s.settle(ctx, txn)
	if err != nil {
		return Head{}, false, err
	}
	if result.Committed {
		head.Revision = result.Revision
		return head, true, nil
	}
	stored, err := decodeHead(result.Current[0])
	return stored, stored.Owner == owner && stored.SubmittedMillis == head.SubmittedMillis, err
}

// settle repeats a conditional transaction until the service has said what
// became of it. Its conditions make a repeat harmless: whoever was first wins.
func (s *Store) settle(ctx context.Context, txn kv.Txn) (kv.TxnResult, error) {
	ctx, cancel := context.WithTimeout(ctx, acceptTimeout)
	defer cancel()
	unknown := false
	for pause := retryFirst; ; pause = min(2*pause, retryMax) {
		result, err := s.KV.Commit(ctx, txn)
		if err == nil {
			return result, nil
		}
		unknown = unknown || kind.Is(err, kind.StoreWriteUnknown)
		if !kind.Is(err, kind.StoreUnavailable) && !kind.Is(err, kind.StoreWriteUnknown) {
			return kv.TxnResult{}, err
		}
		if !wait.Within(ctx, wait.Jittered(pause)) {
			if unknown {
				return kv.TxnResult{}, kind.New(kind.StoreWriteUnknown, "the write may have landed: %v", err)
			}
			return kv.TxnResult{}, kind.New(kind.StoreUnavailable, "the write did not land: %v", err).WithRetryAfter(returnAfter)
		}
	}
}

// Head reads the head of a batch. The error has kind not-found if there is
// none.
func (s *Store) Head(ctx context.Context, id string) (Head, error) {
	ctx, cancel := context.WithTimeout(ctx, readTimeout)
	defer cancel()
	entry, err := again(ctx, func() (kv.Entry, error) { return s.KV.Get(ctx, headKey(id)) })
	if err != nil {
		return Head{}, err
	}
	if entry.ModRevision == 0 {
		return Head{}, kind.New(kind.NotFound, "no batch %q", id)
	}
	return decodeHead(entry)
}

// Load reads the items of a batch.
func (s *Store) Load(ctx context.Context, id string) (Batch, error) {
	ctx, cancel := context.WithTimeout(ctx, readTimeout)
	defer cancel()
	entries, err := again(ctx, func() ([]kv.Entry, error) {
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

// Claim makes owner the owner of a batch if its head is still as given. An
// owner that gives a batch up claims it for nobody.
func (s *Store) Claim(ctx context.Context, head Head, owner Owner) (Head, error) {
	return s.change(ctx, head, func(h *Head) { h.Owner = owner })
}

// End marks a batch as ended by its trainer. known is the head as this host has
// heard of it, or zero; one that is too old costs a read. It has kind not-found if
// there is no such batch.
func (s *Store) End(ctx context.Context, id string, known Head) (Head, error) {
	ctx, cancel := context.WithTimeout(ctx, acceptTimeout)
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
		ended, err := s.change(ctx, head, func(h *Head) { h.Ended = true })
		switch {
		case err == nil || !kind.Is(err, kind.Conflict) && !kind.Is(err, kind.StoreWriteUnknown):
			return ended, err
		case !wait.Within(ctx, retryFirst):
			return head, err
		}
		head = Head{}
	}
}

// change writes a head if it is still as given, and has kind conflict if not.
func (s *Store) change(ctx context.Context, head Head, edit func(*Head)) (Head, error) {
	changed := head
	edit(&changed)
	value, err := json.Marshal(changed)
	if err != nil {
		return head, kind.Wrap(kind.Internal, err)
	}
	result, err := s.settle(ctx, kv.Txn{
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
	wanted := changed
	wanted.Revision = stored.Revision
	if stored == wanted {
		return stored, nil
	}
	return stored, kind.New(kind.Conflict, "the batch %s has changed", head.ID)
}

// Remove forgets a batch that nobody reads any more. Its head goes last, so that
// a removal that breaks off is tried again.
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
			if _, err := s.settle(ctx, txn); err != nil {
				return err
			}
		}
	}
	_, err := s.settle(ctx, kv.Txn{
		Conditions: []kv.Condition{{Key: headKey(head.ID), ModRevision: head.Revision}},
		Writes:     []kv.Write{{Delete: true, Key: headKey(head.ID)}},
	})
	return err
}

func decodeHead(entry kv.Entry) (Head, error) {
	if entry.ModRevision == 0 {
		return Head{}, kind.New(kind.NotFound, "no batch at %s", entry.Key)
	}
	var head Head
	if err := json.Unmarshal(entry.Value, &head); err != nil {
		return Head{}, kind.Wrap(kind.Internal, err)
	}
	head.Revision = entry.ModRevision
	return head, nil
}

// again repeats a read until it succeeds or ctx ends.
func again[T any](ctx context.Context, read func() (T, error)) (T, error) {
	for pause := retryFirst; ; pause = min(2*pause, retryMax) {
		value, err := read()
		if err == nil || !kind.Is(err, kind.StoreUnavailable) {
			return value, err
		}
		if !wait.Within(ctx, wait.Jittered(pause)) {
			return value, err
		}
	}
}

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
