package chaos

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"math"
	"net/http"
	"strings"
	"time"

	"github.com/google/uuid"
	"golang.org/x/sync/errgroup"

	"github.com/nutmegway/nutmegway/internal/fleet/document"
	"github.com/nutmegway/nutmegway/internal/lab/deployment"
	"github.com/nutmegway/nutmegway/internal/lab/ledger"
)

const (
	editInterval    = 700 * time.Millisecond
	editTimeout     = 5 * time.Second
	observeInterval = 250 * time.Millisecond
	// firstEdit is the number of the first edit. A document carries its number as
	// the milliseconds for which callers keep an address.
	firstEdit = 2000
)

var errUnexpectedStatus = errors.New("addresses request was not answered with status 200")

// documentText returns the plain service's document with number milliseconds as the time
// for which callers keep an address.
func (r *run) documentText(number int64) string {
	keep := "keep-for = " + r.Shape.AddressTTL.String()
	return strings.Replace(r.Shape.PlainDocument(), keep, fmt.Sprintf("keep-for = %dms", number), 1)
}

// edit changes the document every editInterval, through each node in turn, until ctx
// ends.
func (r *run) edit(ctx context.Context) error {
	for i := 0; sleep(ctx, editInterval) == nil; i++ {
		r.editOnce(ctx, i)
	}
	return nil
}

// editOnce makes one edit based on the current document. It records the edit in the
// ledger only if it was accepted; an error is ignored, since faults are expected.
func (r *run) editOnce(ctx context.Context, node int) {
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), editTimeout)
	defer cancel()
	admin := r.deployment.Admin(r.deployment.Nodes[node%len(r.deployment.Nodes)])
	current, err := admin.Get(ctx, r.Shape.PlainService, 0)
	if err != nil {
		return
	}
	number := r.edits.Add(1)
	_, err = admin.Apply(ctx, document.Edit{
		Author: "chaos", BaseRevision: current.Revision, ChangeID: uuid.NewString(),
		Service: r.Shape.PlainService, Text: r.documentText(number),
	})
	if err != nil {
		return
	}
	r.ledger.Add(func(records *ledger.Records) {
		records.Acceptances = append(records.Acceptances, ledger.Acceptance{At: time.Now(), Number: int(number)})
	})
}

// raceEdits makes two edits at once through different nodes, so that both can be based
// on the same revision and conflict.
func (r *run) raceEdits(ctx context.Context, node int) {
	var group errgroup.Group
	for i := range 2 {
		group.Go(func() error {
			r.editOnce(ctx, node+i)
			return nil
		})
	}
	_ = group.Wait() // The edits return no error.
}

// observe records which edit is in force on each node, as seen in the responses to
// callers. It does so every observeInterval until ctx ends.
func (r *run) observe(ctx context.Context) error {
	var group errgroup.Group
	for _, node := range r.deployment.Nodes {
		group.Go(func() error {
			for sleep(ctx, observeInterval) == nil {
				r.observeNode(ctx, node)
			}
			return nil
		})
	}
	return group.Wait()
}

func (r *run) observeNode(ctx context.Context, node *deployment.Node) {
	since := time.Unix(0, r.started[node.ID].Load())
	sent := time.Now()
	number, err := r.editInForce(ctx, node)
	if err != nil || since != time.Unix(0, r.started[node.ID].Load()) {
		return
	}
	r.ledger.Add(func(records *ledger.Records) {
		records.Observations = append(records.Observations, ledger.Observation{
			Node: node.ID, Number: number, Sent: sent, Since: since,
		})
	})
}

func (r *run) editInForce(ctx context.Context, node *deployment.Node) (int, error) {
	ctx, cancel := context.WithTimeout(ctx, time.Second)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, http.MethodGet,
		"http://"+node.CallerAddress+"/v1/services/"+r.Shape.PlainService+"/addresses", nil)
	if err != nil {
		return 0, err
	}
	response, err := r.client.Do(request)
	if err != nil {
		return 0, err
	}
	defer response.Body.Close() //nolint:errcheck // The body was read.
	if response.StatusCode != http.StatusOK {
		return 0, errUnexpectedStatus
	}
	var list struct {
		KeepSeconds float64 `json:"keep-seconds"`
	}
	err = json.NewDecoder(response.Body).Decode(&list)
	const milli = 1000
	return int(math.Round(list.KeepSeconds * milli)), err
}
