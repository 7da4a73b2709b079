package engine

import "sync"

// FaultKind is the kind of an injected fault.
type FaultKind string

// The kinds of faults. FaultCrash, FaultCrossed, FaultHang and FaultReset take effect
// once a generation has produced Fault.AfterTokens tokens.
const (
	// FaultCrash closes the listener and all connections.
	FaultCrash FaultKind = "crash"
	// FaultCrossed continues the response with the tokens and id of another request.
	FaultCrossed FaultKind = "crossed"
	// FaultHang stops the generation and keeps its connection open.
	FaultHang FaultKind = "hang"
	// FaultLoseOrderReply processes an order and closes the connection without a reply.
	FaultLoseOrderReply FaultKind = "lose-order-reply"
	// FaultLoseReply generates the complete response and sends none of it.
	FaultLoseReply FaultKind = "lose-reply"
	// FaultReset resets the connection.
	FaultReset FaultKind = "reset"
	// FaultSlow generates tokens at a tenth of the speed.
	FaultSlow FaultKind = "slow"
	// FaultSwapPartway accepts an order to load a version and fails halfway through.
	FaultSwapPartway FaultKind = "swap-partway"
)

// Fault affects the next Count requests or orders to which Kind applies. A Count of zero
// means one.
type Fault struct {
	AfterTokens int       `json:"after-tokens"`
	Count       int       `json:"count"`
	Kind        FaultKind `json:"kind"`
}

type faults struct {
	mu   sync.Mutex
	list []Fault
}

func (f *faults) add(fault Fault) {
	f.mu.Lock()
	defer f.mu.Unlock()
	fault.Count = max(fault.Count, 1)
	f.list = append(f.list, fault)
}

// take returns the first pending fault of one of the kinds and decrements its count.
func (f *faults) take(kinds ...FaultKind) (Fault, bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for i := range f.list {
		for _, k := range kinds {
			if f.list[i].Kind != k || f.list[i].Count == 0 {
				continue
			}
			f.list[i].Count--
			return f.list[i], true
		}
	}
	return Fault{}, false
}
