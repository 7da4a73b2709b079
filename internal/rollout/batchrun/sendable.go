package batchrun

import (
	"net/http"

	"github.com/nutmegway/nutmegway/internal/backend/plain"
	"github.com/nutmegway/nutmegway/internal/base/kind"
	"github.com/nutmegway/nutmegway/internal/rollout/batch"
)

// checkSendable returns an error if no request can be sent for one of the items or their reward
// requests.
func checkSendable(b batch.Batch) error {
	for n, item := range b.Items {
		header := make(http.Header, len(item.Header))
		for name, value := range item.Header {
			header[name] = []string{value}
		}
		if err := plain.CheckSendable(item.Target, header); err != nil {
			return kind.New(kind.BadRequest, "item %d of the batch, id %q: %v", n, item.ID, err)
		}
		if item.Reward == nil {
			continue
		}
		if err := plain.CheckSendable(item.Reward.Target, nil); err != nil {
			return kind.New(kind.BadRequest, "reward request of item %d of the batch, id %q: %v", n, item.ID, err)
		}
	}
	return nil
}
