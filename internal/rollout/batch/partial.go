package batch

import (
	"context"
	"encoding/json"
	"strings"

	"github.com/nutmegway/nutmegway/internal/base/kind"
	"github.com/nutmegway/nutmegway/internal/external/kv"
)

// Partial is the part of an item's stream that the owner of the batch has
// received and saved. The next owner resumes the stream after LastEvent,
// possibly at another backend server.
type Partial struct {
	Events []string `json:"events"`
	// Failures is the number of runs of the item that failed at a backend
	// server.
	Failures  int    `json:"failures,omitempty"`
	Item      string `json:"item"`
	LastEvent string `json:"last-event"`
	// Software is the software version of the servers that generated the events. Only
	// servers of the same version may resume the stream.
	Software string  `json:"software,omitempty"`
	Versions []int64 `json:"versions"`
	// TextComplete is set if the text is complete and only its score is missing.
	TextComplete bool `json:"whole,omitempty"`
}

// SavePartials stores partial streams for the next owner of the batch. It drops
// those that do not fit into one value or into the transaction; their items are
// generated again from the start.
func (s *Store) SavePartials(ctx context.Context, id string, partials []Partial) error {
	var writes []kv.Write
	var value []byte
	flush := func() {
		if len(value) > 0 && len(writes) < maxPieces {
			key := partialPrefix + id + "/" + string(rune('a'+len(writes)))
			writes = append(writes, kv.Write{Key: key, Value: value})
		}
		value = nil
	}
	for _, p := range partials {
		encoded, err := json.Marshal(p)
		if err != nil {
			return kind.Wrap(kind.Internal, err)
		}
		if len(encoded)+1 > maxPieceBytes {
			continue
		}
		if len(value)+len(encoded)+1 > maxPieceBytes {
			flush()
		}
		value = append(append(value, encoded...), '\n')
	}
	flush()
	if len(writes) == 0 {
		return nil
	}
	_, err := s.commitWithRetry(ctx, kv.Txn{Writes: writes})
	return err
}

// Partials returns the partial streams that SavePartials stored. They may include
// older ones of the same items, since a save does not delete the keys of an earlier
// save that had more of them.
func (s *Store) Partials(ctx context.Context, id string) ([]Partial, error) {
	entries, _, err := s.KV.ListAfter(ctx, partialPrefix+id+"/", "")
	if err != nil {
		return nil, err
	}
	var partials []Partial
	for _, entry := range entries {
		for line := range strings.Lines(string(entry.Value)) {
			var p Partial
			if err := json.Unmarshal([]byte(line), &p); err != nil {
				return nil, kind.Wrap(kind.Internal, err)
			}
			partials = append(partials, p)
		}
	}
	return partials, nil
}
