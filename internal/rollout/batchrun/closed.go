package batchrun

import "github.com/nutmegway/nutmegway/internal/rollout/batch"

const (
	// closedCacheMaxBytes bounds the memory for results of closed batches. A
	// typical batch has some tens of kilobytes of text, and readers go on
	// reading it for two minutes. Results that don't fit are read from the
	// store.
	closedCacheMaxBytes = 6 << 20
	// resultOverheadBytes is counted for each result in addition to its text.
	resultOverheadBytes = 200
)

// closedCache holds the results of batches that were closed while this host owned
// them. Such results are final. Beyond its size limit the cache evicts the oldest
// batches. The zero value is ready. It is not safe for concurrent use.
type closedCache struct {
	byID  map[string]closedBatch
	bytes int
	// order holds the batch IDs, oldest first.
	order []string
}

type closedBatch struct {
	bytes   int
	results []batch.Result
	total   int
}

// add caches the results of a batch unless it is cached already, and evicts the oldest
// batches beyond the size limit.
func (c *closedCache) add(id string, results []batch.Result, total int) {
	if _, known := c.byID[id]; known {
		return
	}
	if c.byID == nil {
		c.byID = make(map[string]closedBatch)
	}
	closed := closedBatch{results: results, total: total}
	for _, r := range results {
		closed.bytes += len(r.Text) + resultOverheadBytes
	}
	c.byID[id] = closed
	c.order = append(c.order, id)
	c.bytes += closed.bytes
	for c.bytes > closedCacheMaxBytes {
		c.bytes -= c.byID[c.order[0]].bytes
		delete(c.byID, c.order[0])
		c.order = c.order[1:]
	}
}

// remove removes a batch from the cache, because this host runs it again.
func (c *closedCache) remove(id string) {
	closed, ok := c.byID[id]
	if !ok {
		return
	}
	c.bytes -= closed.bytes
	delete(c.byID, id)
	for i, other := range c.order {
		if other == id {
			c.order = append(c.order[:i:i], c.order[i+1:]...)
			return
		}
	}
}

// page returns the results of a cached batch from position after on. It returns false
// if the batch isn't cached.
func (c *closedCache) page(id string, after int) (batch.Page, bool) {
	closed, ok := c.byID[id]
	if !ok {
		return batch.Page{}, false
	}
	return batch.NewPage(closed.results[min(after, len(closed.results)):], closed.total, after), true
}

// cacheClosed caches the results of a batch that stops with head, if they are
// exactly those in the store. This is so if this host owned the batch when it
// was closed, and no write of results has an unknown outcome. The caller holds
// r.mu.
func (r *Runner) cacheClosed(br *batchRun, head batch.Head) {
	if head.IsOpen() || head.Owner != r.Self || len(br.unconfirmed) > 0 {
		return
	}
	r.closed.add(head.ID, br.stored, head.Total)
}
