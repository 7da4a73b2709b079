package engine

import (
	"container/list"
	"sync"
	"time"

	backend "github.com/nutmegway/nutmegway/internal/backend/engine"
)

// maxCacheEvents bounds the cache events that are retained for readers.
const maxCacheEvents = 10_000

// delayedEvent is a cache event that readers see from visibleAt on.
type delayedEvent struct {
	backend.CacheEvent
	visibleAt time.Time
}

// cache is the prefix cache. It evicts the least recently used blocks first.
type cache struct {
	mu       sync.Mutex
	blocks   map[uint64]*list.Element
	events   []delayedEvent
	lru      list.List
	sequence int64
}

// lookUpOrAdd looks up the blocks of a prompt, adds the missing ones, and returns the
// number of leading blocks that were present.
func (c *cache) lookUpOrAdd(prefixes []uint64, e *Engine) (hits int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.blocks == nil {
		c.blocks = map[uint64]*list.Element{}
	}
	leading := true
	for _, prefix := range prefixes {
		element, ok := c.blocks[prefix]
		if ok {
			c.lru.MoveToFront(element)
		} else {
			c.blocks[prefix] = c.lru.PushFront(prefix)
			c.publish(prefix, false, e)
		}
		leading = leading && ok
		if leading {
			hits++
		}
	}
	for c.lru.Len() > e.CacheBlocks {
		if oldest, ok := c.lru.Remove(c.lru.Back()).(uint64); ok {
			delete(c.blocks, oldest)
			c.publish(oldest, true, e)
		}
	}
	return hits
}

func (c *cache) publish(prefix uint64, removed bool, e *Engine) {
	c.sequence++
	if e.DropEventEvery > 0 && c.sequence%int64(e.DropEventEvery) == 0 {
		return
	}
	c.events = append(c.events, delayedEvent{
		CacheEvent: backend.CacheEvent{Prefix: prefix, Removed: removed, Sequence: c.sequence},
		visibleAt:  time.Now().Add(e.EventLag),
	})
	if len(c.events) > maxCacheEvents {
		c.events = c.events[len(c.events)-maxCacheEvents:]
	}
}

func (c *cache) eventsAfter(sequence int64) []backend.CacheEvent {
	c.mu.Lock()
	defer c.mu.Unlock()
	visible := []backend.CacheEvent{}
	now := time.Now()
	for _, event := range c.events {
		if event.Sequence > sequence && !event.visibleAt.After(now) {
			visible = append(visible, event.CacheEvent)
		}
	}
	return visible
}

// clear empties the cache and publishes the removal of each block. It is called on a
// restart and on a new weight version, which make the cached blocks invalid.
func (c *cache) clear(e *Engine) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for element := c.lru.Front(); element != nil; element = element.Next() {
		if prefix, ok := element.Value.(uint64); ok {
			c.publish(prefix, true, e)
		}
	}
	c.blocks = nil
	c.lru.Init()
}
