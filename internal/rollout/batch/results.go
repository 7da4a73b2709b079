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
	// chunkResults is the highest number of results of one key, so that a
	// reader finds the key that holds a position by its name.
	chunkResults = 16
	// appendChunks and appendBytes bound one call of Append. A key that is full
	// by its bytes holds more than half of pieceBytes together with its
	// neighbour, so the keys of a call stay below the 32 of a transaction.
	appendChunks = 4
	appendBytes  = 2 << 20
)

// Append lists results from position first on. The head's revision fences out
// a host that is no longer the owner: the error has kind conflict then. With
// last set the batch is done. It returns the head as it is stored afterwards.
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
		done := head
		done.Done = true
		value, err := json.Marshal(done)
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
	return s.landed(head, txn, result, last)
}

// chunkLength returns how many of the results one key takes.
func chunkLength(results []Result) int {
	size := 0
	for n, r := range results {
		size += len(r.Text)
		if n == chunkResults || n > 0 && size > pieceBytes {
			return n
		}
	}
	return len(results)
}

// AppendLimit returns how many of the results one call of Append takes.
func AppendLimit(results []Result) int {
	size := 0
	for n, r := range results {
		size += len(r.Text)
		if n == appendChunks*chunkResults || n > 0 && size > appendBytes {
			return n
		}
	}
	return len(results)
}

// landed tells whether a refused append had been carried out before, by an
// earlier call whose answer was lost.
func (s *Store) landed(head Head, txn kv.Txn, result kv.TxnResult, last bool) (Head, error) {
	stored, err := decodeHead(result.Current[0])
	if err != nil {
		return head, err
	}
	for i, write := range txn.Writes {
		if i+1 >= len(result.Current) {
			break
		}
		if !bytes.Equal(result.Current[i+1].Value, write.Value) {
			return stored, kind.New(kind.Conflict, "the batch %s has another owner or was ended", head.ID)
		}
	}
	if stored.Owner != head.Owner || stored.Ended || stored.Done != last {
		return stored, kind.New(kind.Conflict, "the batch %s has another owner or was ended", head.ID)
	}
	return stored, nil
}

// Results reads the results from position after on, and the revision from
// which a watch tells of later ones.
func (s *Store) Results(ctx context.Context, id string, after int) ([]Result, int64, error) {
	ctx, cancel := context.WithTimeout(ctx, readTimeout)
	defer cancel()
	// A key that holds the position starts at most chunkResults before it.
	from := ""
	if after >= chunkResults {
		from = chunkKey(id, after-chunkResults)
	}
	var revision int64
	entries, err := again(ctx, func() ([]kv.Entry, error) {
		entries, r, err := s.KV.ListAfter(ctx, resultsPrefix+id+"/", from)
		revision = r
		return entries, err
	})
	if err != nil {
		return nil, 0, err
	}
	results, err := resultsFrom(entries, after)
	return results, revision, err
}

// Await waits for results from position after on that are listed after
// revision. It returns none when ctx ends first.
func (s *Store) Await(ctx context.Context, id string, after int, revision int64) ([]Result, error) {
	watcher, err := s.KV.Watch(ctx, resultsPrefix+id+"/", revision)
	if err != nil {
		return nil, err
	}
	defer watcher.Close()
	batch, err := watcher.Next(ctx)
	if err != nil {
		return nil, err
	}
	entries := make([]kv.Entry, 0, len(batch.Events))
	for _, event := range batch.Events {
		if !event.Delete {
			entries = append(entries, event.Entry)
		}
	}
	return resultsFrom(entries, after)
}

// resultsFrom decodes keys of results, in order, from position after on.
func resultsFrom(entries []kv.Entry, after int) ([]Result, error) {
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
