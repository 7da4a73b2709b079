package owner

import (
	"context"
	"time"

	"github.com/nutmegway/nutmegway/internal/rollout/weight"
)

// ClaimForDistributor claims key for a distributor of weight versions.
func (c *Claims) ClaimForDistributor(ctx context.Context, key string) (weight.Lease, error) {
	claim, leaseCtx, _, err := c.Claim(ctx, key)
	if err != nil {
		return weight.Lease{}, err
	}
	c.mu.Lock()
	id := c.leaseID
	c.mu.Unlock()
	return weight.Lease{
		FencingToken: claim.FencingToken,
		Context:      leaseCtx,
		ValidUntil:   func() time.Time { return c.leaseHeldUntil(id) },
	}, nil
}
