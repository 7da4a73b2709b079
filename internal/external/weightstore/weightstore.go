// Package weightstore lists and publishes the weight versions in the platform's
// weight store. The store is rate-limited. The engines fetch the weights
// themselves.
package weightstore

import (
	"context"
	"time"
)

// Version is one published set of weights of a model.
type Version struct {
	Bytes int64  `json:"bytes"`
	Model string `json:"model"`
	// Number orders the versions of a model.
	Number      int64     `json:"number"`
	PublishedAt time.Time `json:"published-at"`
}

// Store is the weight store.
type Store interface {
	// Publish adds version to the versions of its model.
	Publish(ctx context.Context, version Version) error
	// Versions returns the versions of model, oldest first.
	Versions(ctx context.Context, model string) ([]Version, error)
}
