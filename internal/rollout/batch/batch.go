// Package batch holds batches of rollouts that trainers submit as a whole and
// read later. A batch that was accepted lies in the key-value service until it
// is no longer read: its items, the positions of its results and its owner.
package batch

import (
	"time"
)

// State is what became of an item.
type State string

// The final states of an item.
const (
	StateCompleted State = "completed"
	// StateDead is an item that will never complete.
	StateDead State = "dead"
)

// Item is one generation of a batch.
type Item struct {
	Body  []byte `json:"body"`
	Group string `json:"group"`
	// Header holds the headers of the item's request.
	Header map[string]string `json:"header"`
	ID     string            `json:"id"`
	// LengthHint is the caller's estimate of the tokens to generate; zero if
	// there is none.
	LengthHint int `json:"length-hint"`
	// Reward is the request that scores the item's text; nil if none does.
	Reward *Reward `json:"reward,omitempty"`
	// Target is the path of the item's request.
	Target string `json:"target"`
	// Tokens is the number of prompt tokens and of tokens to generate at most.
	Tokens int `json:"tokens"`
}

// Reward is a request to a plain service that scores the text of an item once it is
// complete. It may be repeated.
type Reward struct {
	Body []byte `json:"body"`
	// Host and Target select the route, as with single requests.
	Host   string `json:"host"`
	ID     string `json:"id"`
	Target string `json:"target"`
}

// Batch is what a trainer submits for one step.
type Batch struct {
	// Host and Target select the route, as with single requests.
	Host  string `json:"host"`
	ID    string `json:"id"`
	Items []Item `json:"items"`
	// MinVersion is the oldest weight version that may generate tokens.
	MinVersion int64  `json:"min-version"`
	Model      string `json:"model"`
	Step       int64  `json:"step"`
	Target     string `json:"target"`
	// TargetGroups is how many groups the trainer waits for.
	TargetGroups int `json:"target-groups"`
}

// Result is the outcome of one item.
type Result struct {
	Item string `json:"item"`
	// Score is the signature of the server's answer to the item's reward request;
	// empty if the item has none.
	Score string `json:"score,omitempty"`
	State State  `json:"state"`
	// Text is the data of all events, separated by line feeds.
	Text string `json:"text"`
	// Versions are the weight versions that generated the events, ascending.
	Versions []int64 `json:"versions"`
}

// Owner is the incarnation of an entry host that runs a batch. The zero value
// is no owner.
type Owner struct {
	Host        string `json:"host"`
	Incarnation string `json:"incarnation"`
}

// Head is the changeable part of a batch.
type Head struct {
	// Done is set once all results are listed.
	Done bool `json:"done"`
	// Ended is set when the trainer wants no more results.
	Ended bool   `json:"ended"`
	ID    string `json:"id"`
	Owner Owner  `json:"owner"`
	// Pieces is the number of keys that hold the items.
	Pieces int `json:"pieces"`
	// SubmittedMillis is when the batch was accepted, in Unix milliseconds of
	// the accepting host's clock.
	SubmittedMillis int64 `json:"submitted-millis"`
	Total           int   `json:"total"`

	// Revision is the store's revision of this head.
	Revision int64 `json:"-"`
}

// IsOpen reports whether items of the batch still run.
func (h Head) IsOpen() bool { return !h.Done && !h.Ended }

// Submitted returns when the batch was accepted.
func (h Head) Submitted() time.Time { return time.UnixMilli(h.SubmittedMillis) }

// Page is a part of the results of a batch.
type Page struct {
	// Next is the position after the last result.
	Next    int
	Results []Result
	Total   int
}

// pageBytes bounds the text of one page. Readers take at most 1 MB, and
// encoding adds to the text.
const pageBytes = 600 << 10

// Cut returns the results of a page that starts at position after.
func Cut(results []Result, total, after int) Page {
	page := Page{Next: after, Total: total}
	size := 0
	for _, r := range results {
		size += len(r.Text)
		if len(page.Results) > 0 && size > pageBytes {
			break
		}
		page.Results = append(page.Results, r)
		page.Next++
	}
	return page
}
