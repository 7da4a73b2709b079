package batchrun

import "github.com/nutmegway/nutmegway/internal/rollout/batch"

const (
	// closedLimitBytes bounds the memory for results of closed batches. A batch of
	// the platform's sites has some tens of kilobytes of text, and other readers
	// read one for two minutes. What doesn't fit is read at the store.
	closedLimitBytes = 6 << 20
	// resultBytes is counted for each result beside its text.
	resultBytes = 200
)

// closedResults keeps the results of batches that were closed while this host
// owned them, for readers: nothing can be added to them any more. It is not safe
// for concurrent use.
type closedResults struct {
	byID  map[string]closedBatch
	bytes int
	// order are the ids, oldest first.
	order []string
}

type closedBatch struct {
	bytes   int
	results []batch.Result
	total   int
}

// add keeps the results of a batch and drops the oldest ones beyond the limit.
func (c *closedResults) add(id string, results []batch.Result, total int) {
	if _, known := c.byID[id]; known {
		return
	}
	if c.byID == nil {
		c.byID = make(map[string]closedBatch)
	}
	closed := closedBatch{results: results, total: total}
	for _, r := range results {
		closed.bytes += len(r.Text) + resultBytes
	}
	c.byID[id] = closed
	c.order = append(c.order, id)
	c.bytes += closed.bytes
	for c.bytes > closedLimitBytes {
		c.bytes -= c.byID[c.order[0]].bytes
		delete(c.byID, c.order[0])
		c.order = c.order[1:]
	}
}

// drop forgets a batch that came to life again.
func (c *closedResults) drop(id string) {
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

func (c *closedResults) page(id string, after int) (batch.Page, bool) {
	closed, ok := c.byID[id]
	if !ok {
		return batch.Page{}, false
	}
	return batch.NewPage(closed.results[min(after, len(closed.results)):], closed.total, after), true
}

// keepClosed keeps the results of a run that ends with head, if they are exactly
// what the store holds: this host still owned the batch when it was closed, and
// no write of results has an outcome that isn't known. r.mu is held.
func (r *Runner) keepClosed(x *run, head batch.Head) {
	if head.IsOpen() || head.Owner != r.Self || len(x.writing) > 0 {
		return
	}
	r.closed.add(head.ID, x.listed, head.Total)
}
