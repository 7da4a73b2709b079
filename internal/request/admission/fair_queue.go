package admission

import "slices"

// flow is the backlog of one share, oldest item first.
type flow struct {
	items []Item
	share string
	// virtualStart is the virtual start time of the flow's next item.
	virtualStart float64
}

// fairQueue orders the items of one class by start-time fair queueing: the shares
// that have a backlog get tokens in proportion to their weights.
type fairQueue struct {
	count int
	flows map[string]*flow
	// virtualTime is the highest virtual start time of an item that was taken, in tokens
	// per weight.
	virtualTime float64
	weights     map[string]float64
}

// weight returns the weight of a share, which is 1 if none is configured.
func (f *fairQueue) weight(share string) float64 {
	if w := f.weights[share]; w > 0 {
		return w
	}
	return 1
}

func (f *fairQueue) push(item Item) {
	fl, ok := f.flows[item.Share]
	if !ok {
		if f.flows == nil {
			f.flows = make(map[string]*flow)
		}
		fl = &flow{share: item.Share}
		f.flows[item.Share] = fl
	}
	if len(fl.items) == 0 {
		fl.virtualStart = max(fl.virtualStart, f.virtualTime)
	}
	fl.items = append(fl.items, item)
	f.count++
}

// nextFlow returns the flow with a backlog and the earliest virtual start time, or
// nil when nothing waits. Ties go to the share whose name sorts first.
func (f *fairQueue) nextFlow() *flow {
	var best *flow
	for _, fl := range f.flows {
		if len(fl.items) == 0 {
			continue
		}
		if best == nil || fl.virtualStart < best.virtualStart || (fl.virtualStart == best.virtualStart && fl.share < best.share) {
			best = fl
		}
	}
	return best
}

// peek returns the item that pop would return.
func (f *fairQueue) peek() (Item, bool) {
	fl := f.nextFlow()
	if fl == nil {
		return Item{}, false
	}
	return fl.items[0], true
}

// pop removes the item with the earliest virtual start time and charges its tokens to
// its share.
func (f *fairQueue) pop() (Item, bool) {
	fl := f.nextFlow()
	if fl == nil {
		return Item{}, false
	}
	item := fl.items[0]
	fl.items = slices.Delete(fl.items, 0, 1)
	f.count--
	f.virtualTime = max(f.virtualTime, fl.virtualStart)
	fl.virtualStart += float64(item.Tokens) / f.weight(fl.share)
	f.removeIdleFlows()
	return item, true
}

// adjustCharge corrects the charge of a share by the difference between the tokens
// that its item cost and the expected ones.
func (f *fairQueue) adjustCharge(share string, difference int) {
	if fl, ok := f.flows[share]; ok {
		fl.virtualStart = max(f.virtualTime, fl.virtualStart+float64(difference)/f.weight(share))
	}
}

// remove removes a waiting item without charging its share. It reports whether the
// item was waiting.
func (f *fairQueue) remove(id uint64) bool {
	for _, fl := range f.flows {
		i := slices.IndexFunc(fl.items, func(item Item) bool { return item.id == id })
		if i >= 0 {
			fl.items = slices.Delete(fl.items, i, i+1)
			f.count--
			return true
		}
	}
	return false
}

// removeIf removes all waiting items that match and returns them in order of arrival.
func (f *fairQueue) removeIf(match func(Item) bool) []Item {
	var removed []Item
	for _, fl := range f.flows {
		fl.items = slices.DeleteFunc(fl.items, func(item Item) bool {
			if !match(item) {
				return false
			}
			removed = append(removed, item)
			return true
		})
	}
	f.count -= len(removed)
	slices.SortFunc(removed, func(a, b Item) int { return int(a.id) - int(b.id) })
	return removed
}

// longestBacklog returns the flow with the most waiting tokens relative to its weight,
// or nil when nothing waits. Ties go to the share whose name sorts first.
func (f *fairQueue) longestBacklog() *flow {
	var longest *flow
	var longestCost float64
	for _, fl := range f.flows {
		backlog := float64(sumTokens(fl.items)) / f.weight(fl.share)
		if len(fl.items) == 0 || backlog < longestCost {
			continue
		}
		if longest == nil || backlog > longestCost || fl.share < longest.share {
			longest, longestCost = fl, backlog
		}
	}
	return longest
}

// dropNewest removes and returns the item of fl that arrived last.
func (f *fairQueue) dropNewest(fl *flow) Item {
	last := len(fl.items) - 1
	item := fl.items[last]
	fl.items = fl.items[:last]
	f.count--
	return item
}

// waitingTokens returns the expected tokens of all waiting items.
func (f *fairQueue) waitingTokens() int {
	total := 0
	for _, fl := range f.flows {
		total += sumTokens(fl.items)
	}
	return total
}

// removeIdleFlows removes the flows that have no backlog and whose virtual start time
// is not ahead of the virtual time.
func (f *fairQueue) removeIdleFlows() {
	for name, fl := range f.flows {
		if len(fl.items) == 0 && fl.virtualStart <= f.virtualTime {
			delete(f.flows, name)
		}
	}
}

func sumTokens(items []Item) int {
	total := 0
	for _, item := range items {
		total += item.Tokens
	}
	return total
}
