package batch

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"strings"

	"github.com/nutmegway/nutmegway/internal/base/kind"
	"github.com/nutmegway/nutmegway/internal/external/kv"
)

const (
	// maxChunkResults is the maximum number of results in one key. The bound
	// lets a reader start its range read at a key name that it computes from the
	// position.
	maxChunkResults = 16
	// maxAppendChunks and maxAppendBytes bound the results of one call of
	// Append. If long texts limit the length of the chunks, any two successive
	// ones have more than maxPieceBytes of text together. So a call writes
	// fewer keys than the 32 of a transaction.
	maxAppendChunks = 4
	maxAppendBytes  = 2 << 20
)

// Append stores results at the positions from first on and returns the head as
// it is stored afterwards. If last is set, the batch becomes done. The write is
// conditional on the revision of head: the error has kind conflict if the
// stored head has changed, for example because the host is no longer the owner
// or the batch was ended.
func (s *Store) Append(ctx context.Context, head Head, first int, results []Result, last bool) (Head, error) {
	txn := kv.Txn{Conditions: []kv.Condition{{Key: headKey(head.ID), ModRevision: head.Revision}}}
	for start := 0; start < len(results); {
		n := chunkLength(results[start:])
		value, err := json.Marshal(results[start : start+n])
		if err != nil {
			return head, kind.Wrap(kind.Internal, err)
		}
		key := chunkKey(head.ID, first+start)
		txn.Conditions = append(txn.Conditions, kv.Condition{Key: key})
		txn.Writes = append(txn.Writes, kv.Write{Key: key, Value: value})
		start += n
	}
	if last {
		doneHead := head
		doneHead.Done = true
		value, err := json.Marshal(doneHead)
		if err != nil {
			return head, kind.Wrap(kind.Internal, err)
		}
		txn.Writes = append(txn.Writes, kv.Write{Key: headKey(head.ID), Value: value})
	}
	result, err := s.KV.Commit(ctx, txn)
	if err != nil {
		return head, err
	}
	if result.Committed {
		if last {
			head.Done, head.Revision = true, result.Revision
		}
		return head, nil
	}
	return s.resolveRefusedAppend(head, txn, result, last)
}

// chunkLength returns how many of the results go into one key.
func chunkLength(results []Result) int {
	size := 0
	for n, r := range results {
		size += encodedLen(r.Text)
		if n == maxChunkResults || n > 0 && size > maxPieceBytes {
			return n
		}
	}
	return len(results)
}

// AppendLimit returns how many of the results fit into one call of Append.
func AppendLimit(results []Result) int {
	size := 0
	for n, r := range results {
		size += encodedLen(r.Text)
		if n == maxAppendChunks*maxChunkResults || n > 0 && size > maxAppendBytes {
			return n
		}
	}
	return len(results)
}

// resolveRefusedAppend handles an append whose conditions did not hold. It
// returns the stored head, and an error of kind conflict unless an earlier
// call, whose response was lost, has written the same results.
func (s *Store) resolveRefusedAppend(head Head, txn kv.Txn, result kv.TxnResult, last bool) (Head, error) {
	stored, err := decodeHead(result.Current[0])
	if err != nil {
		return head, err
	}
	for i, write := range txn.Writes {
		if i+1 >= len(result.Current) {
			break
		}
		if !bytes.Equal(result.Current[i+1].Value, write.Value) {
			return stored, kind.New(kind.Conflict, "append to batch %s at revision %d refused: another owner has it or it was ended", head.ID, head.Revision)
		}
	}
	if stored.Owner != head.Owner || stored.Ended || stored.Done != last {
		return stored, kind.New(kind.Conflict, "append to batch %s at revision %d refused: another owner has it or it was ended", head.ID, head.Revision)
	}
	return stored, nil
}

// Results returns the results from position after on, and the store revision of
// the read, which Await takes to wait for later results.
func (s *Store) Results(ctx context.Context, id string, after int) ([]Result, int64, error) {
	ctx, cancel := context.WithTimeout(ctx, readTimeout)
	defer cancel()
	// The key that holds the position starts at most maxChunkResults positions
	// before it.
	from := ""
	if after >= maxChunkResults {
		from = chunkKey(id, after-maxChunkResults)
	}
	var revision int64
	entries, err := retryRead(ctx, func() ([]kv.Entry, error) {
		entries, r, err := s.KV.ListAfter(ctx, resultsPrefix+id+"/", from)
		revision = r
		return entries, err
	})
	if err != nil {
		return nil, 0, err
	}
	results, err := decodeResults(entries, after)
	return results, revision, err
}

// Await waits for results that are stored later than revision, and returns those
// from position after on. If ctx ends first, it returns no results.
func (s *Store) Await(ctx context.Context, id string, after int, revision int64) ([]Result, error) {
	watcher, err := s.KV.Watch(ctx, resultsPrefix+id+"/", revision)
	if err != nil {
		return nil, err
	}
	defer watcher.Close()
	update, err := watcher.Next(ctx)
	if err != nil {
		return nil, err
	}
	entries := make([]kv.Entry, 0, len(update.Events))
	for _, event := range update.Events {
		if !event.Delete {
			entries = append(entries, event.Entry)
		}
	}
	return decodeResults(entries, after)
}

// decodeResults decodes the results from position after on. The entries must be
// in the order of their keys; it stops before the first gap between positions.
func decodeResults(entries []kv.Entry, after int) ([]Result, error) {
	var results []Result
	next := after
	for _, entry := range entries {
		var first int
		if _, err := fmt.Sscanf(entry.Key[strings.LastIndexByte(entry.Key, '/')+1:], "%d", &first); err != nil {
			return nil, kind.Wrap(kind.Internal, err)
		}
		var chunk []Result
		if err := json.Unmarshal(entry.Value, &chunk); err != nil {
			return nil, kind.Wrap(kind.Internal, err)
		}
		if first > next {
			break
		}
		if skip := next - first; skip < len(chunk) {
			results = append(results, chunk[skip:]...)
			next = first + len(chunk)
		}
	}
	return results, nil
}
