package batch

import (
	"log/slog"
	"strings"
	"sync"
	"time"

	"github.com/nutmegway/nutmegway/internal/fleet/mirror"
)

// Index is an in-memory copy of the heads of all batches, which a mirror keeps
// up to date. Its fields must be set before the first call of Apply.
type Index struct {
	Logger *slog.Logger
	// OnHead is called for each head that was created or changed; it may be nil.
	OnHead func(Head)

	mu    sync.Mutex
	heads map[string]Head
}

// Apply applies a change of the mirror of LivePrefix. It ignores keys other than
// heads of batches.
func (x *Index) Apply(change mirror.Change) {
	for _, event := range change.Events {
		id, ok := strings.CutPrefix(event.Entry.Key, HeadPrefix)
		if !ok {
			continue
		}
		if event.Delete {
			x.mu.Lock()
			delete(x.heads, id)
			x.mu.Unlock()
			continue
		}
		head, err := decodeHead(event.Entry)
		if err != nil {
			x.Logger.Warn("head of a batch cannot be decoded", slog.String("key", event.Entry.Key), slog.Any("error", err))
			continue
		}
		x.Put(head)
		if x.OnHead != nil {
			x.OnHead(head)
		}
	}
}

// Put adds a head that this host has read or written itself. It is ignored
// unless its revision is newer than that of the known head.
func (x *Index) Put(head Head) {
	x.mu.Lock()
	defer x.mu.Unlock()
	if x.heads == nil {
		x.heads = make(map[string]Head)
	}
	if x.heads[head.ID].Revision < head.Revision {
		x.heads[head.ID] = head
	}
}

// Get returns the newest known head of a batch, and false if none is known.
func (x *Index) Get(id string) (Head, bool) {
	x.mu.Lock()
	defer x.mu.Unlock()
	head, ok := x.heads[id]
	return head, ok
}

// ClosedBefore returns the heads of the batches that were submitted before t and
// are no longer open.
func (x *Index) ClosedBefore(t time.Time) []Head {
	x.mu.Lock()
	defer x.mu.Unlock()
	var closed []Head
	for _, head := range x.heads {
		if !head.IsOpen() && head.Submitted().Before(t) {
			closed = append(closed, head)
		}
	}
	return closed
}

// Open returns the heads of the batches that are open.
func (x *Index) Open() []Head {
	x.mu.Lock()
	defer x.mu.Unlock()
	var open []Head
	for _, head := range x.heads {
		if head.IsOpen() {
			open = append(open, head)
		}
	}
	return open
}
