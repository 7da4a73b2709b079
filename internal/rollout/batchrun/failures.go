package batchrun

const (
	// failedRunsFactor times a route's maximum attempts is the number of failed runs,
	// over all batches and owners, after which an item is not run any more.
	failedRunsFactor = 3
	// maxFailedItems bounds the number of items whose failed runs are counted.
	maxFailedItems = 4096
)

// failureCounts counts the runs that failed at their servers, by item ID. Trainers submit
// an item again in later batches under the same ID. Beyond maxFailedItems the oldest
// items are evicted. The zero value is ready. It is not safe for concurrent use.
type failureCounts struct {
	counts map[string]int
	// order holds the item IDs, oldest first.
	order []string
}

// raise raises the count of an item to n if it is lower.
func (f *failureCounts) raise(id string, n int) {
	before, known := f.counts[id]
	if n <= before {
		return
	}
	if f.counts == nil {
		f.counts = make(map[string]int)
	}
	f.counts[id] = n
	if known {
		return
	}
	f.order = append(f.order, id)
	if len(f.order) > maxFailedItems {
		delete(f.counts, f.order[0])
		f.order = f.order[1:]
	}
}

// add adds n failed runs to the count of an item.
func (f *failureCounts) add(id string, n int) { f.raise(id, f.counts[id]+n) }

// count returns the number of failed runs of an item.
func (f *failureCounts) count(id string) int { return f.counts[id] }
