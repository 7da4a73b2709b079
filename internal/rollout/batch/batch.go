// Package batch stores batches of rollouts. A trainer submits a batch in one
// request and reads its results later. The key-value service holds the owner,
// the items and, by position, the results of an accepted batch. They are kept
// until the batch is closed and its retention, counted from the submission, has
// passed.
package batch

import (
	"time"
)

// State is the final state of an item.
type State string

// The final states of an item.
const (
	StateCompleted State = "completed"
	// StateDead marks an item that will never complete.
	StateDead State = "dead"
)

// Item is one generation request of a batch.
type Item struct {
	Body  []byte `json:"body"`
	Group string `json:"group"`
	// Header holds the headers of the item's request.
	Header map[string]string `json:"header"`
	ID     string            `json:"id"`
	// LengthHint is the caller's estimate of the number of tokens to generate;
	// zero if there is none.
	LengthHint int `json:"length-hint"`
	// Reward is the request that scores the item's text; nil if it is not
	// scored.
	Reward *Reward `json:"reward,omitempty"`
	// Target is the path of the item's request.
	Target string `json:"target"`
	// Tokens is the number of prompt tokens plus the maximum number of tokens to
	// generate.
	Tokens int `json:"tokens"`
}

// Reward is a request to a plain service that scores the text of a completed
// item. It may be sent more than once.
type Reward struct {
	Body []byte `json:"body"`
	// Host and Target select the route, as with single requests.
	Host   string `json:"host"`
	ID     string `json:"id"`
	Target string `json:"target"`
}

// Batch is the set of items that a trainer submits for one training step.
type Batch struct {
	// Account is the client account that submitted the batch; empty if it needed none.
	Account string `json:"account,omitempty"`
	// ConfigVersion is the version of the configuration under which the batch was accepted.
	// Only this one or a later one decides on its items. Zero means unknown.
	ConfigVersion int64 `json:"config-version,omitempty"`
	// Host and Target select the route, as with single requests.
	Host  string `json:"host"`
	ID    string `json:"id"`
	Items []Item `json:"items"`
	// MinVersion is the oldest weight version that may generate tokens.
	MinVersion int64  `json:"min-version"`
	Model      string `json:"model"`
	Step       int64  `json:"step"`
	Target     string `json:"target"`
	// TargetGroups is the number of groups that the trainer waits for.
	TargetGroups int `json:"target-groups"`
}

// itemBytes is what an item holds beside its texts while it runs.
const itemBytes = 1 << 10

// HeldBytes returns about what the batch holds while it runs.
func (b Batch) HeldBytes() int64 {
	total := 0
	for _, item := range b.Items {
		total += itemBytes + len(item.Body) + len(item.Group) + len(item.ID) + len(item.Target)
		for name, value := range item.Header {
			total += len(name) + len(value)
		}
		if item.Reward != nil {
			total += len(item.Reward.Body)
		}
	}
	return int64(total)
}

// Result is the outcome of one item.
type Result struct {
	Item string `json:"item"`
	// Score is the signature of the server's answer to the item's reward request;
	// empty if the item has none.
	Score string `json:"score,omitempty"`
	State State  `json:"state"`
	// Text is the data of all events of the item's stream, separated by line
	// feeds.
	Text string `json:"text"`
	// Versions lists the weight versions that generated the events, ascending.
	Versions []int64 `json:"versions"`
}

// Owner identifies the incarnation of an entry host that runs a batch. The zero
// value means that the batch has no owner.
type Owner struct {
	Host        string `json:"host"`
	Incarnation string `json:"incarnation"`
}

// Head is the mutable part of a batch.
type Head struct {
	// Account is that of the batch.
	Account string `json:"account,omitempty"`
	// Done is set once the results of all items are stored.
	Done bool `json:"done"`
	// Ended is set when the trainer has ended the batch and wants no more
	// results.
	Ended bool   `json:"ended"`
	ID    string `json:"id"`
	Owner Owner  `json:"owner"`
	// Pieces is the number of keys over which the encoded batch is split.
	Pieces int `json:"pieces"`
	// SubmittedMillis is when the batch was accepted, in Unix milliseconds by
	// the clock of the accepting host.
	SubmittedMillis int64 `json:"submitted-millis"`
	// Total is the number of items.
	Total int `json:"total"`

	// Revision is the modification revision of the head's key in the store.
	Revision int64 `json:"-"`
}

// IsOpen reports whether the batch is neither done nor ended.
func (h Head) IsOpen() bool { return !h.Done && !h.Ended }

// Submitted returns when the batch was accepted.
func (h Head) Submitted() time.Time { return time.UnixMilli(h.SubmittedMillis) }

// Page is a contiguous range of the results of a batch.
type Page struct {
	// Next is the position after the last result.
	Next    int
	Results []Result
	// Total is the number of items of the batch.
	Total int
}

// maxPageBytes bounds the encoded text of one page. Readers accept at most 1 MB, and the other
// fields of the results need some of it.
const maxPageBytes = 600 << 10

// NewPage returns the page that starts at position after, where results holds the
// results from that position on and total is the number of items of the batch. The
// page holds as many of the results as fit into maxPageBytes, but at least one if
// there is any.
func NewPage(results []Result, total, after int) Page {
	page := Page{Next: after, Total: total}
	size := 0
	for _, r := range results {
		size += encodedLen(r.Text)
		if len(page.Results) > 0 && size > maxPageBytes {
			break
		}
		page.Results = append(page.Results, r)
		page.Next++
	}
	return page
}
