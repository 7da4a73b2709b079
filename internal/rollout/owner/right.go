package owner

import (
	"context"
	"time"

	"github.com/nutmegway/nutmegway/internal/rollout/weight"
)

// Right takes the right named key for the orderer of weights.
func (c *Claims) Right(ctx context.Context, key string) (weight.Right, error) {
	claim, life, _, err := c.Claim(ctx, key)
	if err != nil {
		return weight.Right{}, err
	}
	c.mu.Lock()
	id := c.id
	c.mu.Unlock()
	return weight.Right{
		Fence: claim.FencingToken,
		Life:  life,
		Until: func() time.Time { return c.until(id) },
	}, nil
}
