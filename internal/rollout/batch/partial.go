package batch

import (
	"context"
	"encoding/json"
	"strings"

	"github.com/nutmegway/nutmegway/internal/base/kind"
	"github.com/nutmegway/nutmegway/internal/external/kv"
)

// Partial is the part of an item's stream that a host had received when it gave
// the batch up. Another server goes on after LastEvent.
type Partial struct {
	Events []string `json:"events"`
	// Failures counts the runs of the item that failed at their servers.
	Failures  int     `json:"failures,omitempty"`
	Item      string  `json:"item"`
	LastEvent string  `json:"last-event"`
	Versions  []int64 `json:"versions"`
	// Whole is set if the text is complete and only its score is missing.
	Whole bool `json:"whole,omitempty"`
}

// SavePartials keeps the parts that a leaving owner has. What doesn't fit is
// left out and generated again.
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
		if len(encoded)+1 > pieceBytes {
			continue
		}
		if len(value)+len(encoded)+1 > pieceBytes {
			flush()
		}
		value = append(append(value, encoded...), '\n')
	}
	flush()
	if len(writes) == 0 {
		return nil
	}
	_, err := s.settle(ctx, kv.Txn{Writes: writes})
	return err
}

// Partials reads what SavePartials kept.
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
