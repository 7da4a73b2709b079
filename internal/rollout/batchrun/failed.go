package batchrun

const (
	// failedFactor times a route's attempts is the number of failed runs after which an
	// item reaches no server any more, over all batches and owners.
	failedFactor = 3
	// maxFailedItems bounds the items whose failed runs are counted.
	maxFailedItems = 4096
)

// failedItems counts the runs that failed at their servers, by the id of the item. An
// item comes again in later batches under its id. The zero value is ready. It is not safe
// for concurrent use.
type failedItems struct {
	counts map[string]int
	// order are the ids, oldest first.
	order []string
}

// raise makes the count of an item at least n.
func (f *failedItems) raise(id string, n int) {
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

// add counts n more failed runs of an item.
func (f *failedItems) add(id string, n int) { f.raise(id, f.counts[id]+n) }

// of returns the failed runs of an item.
func (f *failedItems) of(id string) int { return f.counts[id] }
