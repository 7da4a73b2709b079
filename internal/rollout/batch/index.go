package batch

import (
	"log/slog"
	"strings"
	"sync"
	"time"

	"github.com/nutmegway/nutmegway/internal/fleet/mirror"
)

// Index holds the heads of all batches as a mirror tells them.
// The fields are set before the first change.
type Index struct {
	Logger *slog.Logger
	// OnHead is called for each head that changed.
	OnHead func(Head)

	mu    sync.Mutex
	heads map[string]Head
}

// Apply takes over what the mirror of LivePrefix says of batches.
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
			x.Logger.Warn("head of a batch unreadable", slog.String("key", event.Entry.Key), slog.Any("error", err))
			continue
		}
		x.Put(head)
		if x.OnHead != nil {
			x.OnHead(head)
		}
	}
}

// Put notes a head that this host has read or written itself. An older one
// than is known is dropped.
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

// Get returns the newest known head of a batch.
func (x *Index) Get(id string) (Head, bool) {
	x.mu.Lock()
	defer x.mu.Unlock()
	head, ok := x.heads[id]
	return head, ok
}

// Older returns the heads of batches that were submitted before a time and whose
// items no longer run.
func (x *Index) Older(than time.Time) []Head {
	x.mu.Lock()
	defer x.mu.Unlock()
	var old []Head
	for _, head := range x.heads {
		if !head.IsOpen() && head.Submitted().Before(than) {
			old = append(old, head)
		}
	}
	return old
}

// Open returns the heads of batches whose items still run.
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
