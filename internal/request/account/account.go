// Package account decides whether a request with an API key may be served, when it arrives
// and again right before it is sent to a server.
package account

import (
	"time"

	"github.com/nutmegway/nutmegway/internal/base/boottime"
	"github.com/nutmegway/nutmegway/internal/base/kind"
	"github.com/nutmegway/nutmegway/internal/fleet/config"
)

// retryAfter is the retry delay sent to callers whose key can't be judged now. They come back
// at any host.
const retryAfter = 300 * time.Millisecond

// Bounds are ages of the copy of the configuration.
type Bounds struct {
	// Refuse is the age up to which a key that the copy lacks is refused. Beyond it the key may
	// have been added since.
	Refuse time.Duration
	// Serve is the age up to which a key of the copy is in force. Zero means any age.
	Serve time.Duration
}

// Age is the age of a copy of the configuration.
type Age struct {
	// Known is false if the store has never confirmed the copy.
	Known bool
	Value time.Duration
}

// within reports whether the age is known and at most bound.
func (a Age) within(bound time.Duration) bool { return a.Known && a.Value <= bound }

// Find returns the account that holds a key. If the copy c is too old for that, the error says
// that the request has not run and may be repeated.
func (b Bounds) Find(c *config.Config, age Age, key config.Digest) (config.Account, error) {
	if err := b.CheckAge(age); err != nil {
		return config.Account{}, err
	}
	if c == nil || len(c.Accounts) == 0 {
		return config.Account{}, kind.New(kind.Unavailable, "no client accounts are known").WithRetryAfter(retryAfter)
	}
	a, ok := c.AccountOf(key)
	if !ok {
		return config.Account{}, b.refuse(age, "the API key is not in force")
	}
	return a, nil
}

// CheckAge returns an error if the copy is too old for requests with a key.
func (b Bounds) CheckAge(age Age) error {
	if b.Serve == 0 || age.within(b.Serve) {
		return nil
	}
	return kind.New(kind.Unavailable, "the configuration is too old to tell which API keys are in force").WithRetryAfter(retryAfter)
}

// refuse returns the error of a request without a key that is in force.
func (b Bounds) refuse(age Age, message string) error {
	if !age.within(b.Refuse) {
		return kind.New(kind.Unavailable, "%s, but the configuration may be outdated", message).WithRetryAfter(retryAfter)
	}
	return kind.New(kind.Unauthorized, "%s", message)
}

// Grant is the permission to serve a request with a key. A nil Grant is that of a request that
// needs none.
type Grant struct {
	Account string
	// Expires is when the copy of the host that handed the request on is too old; zero means
	// never.
	Expires boottime.Instant
	Key     config.Digest

	gate *Gate
}

// Check returns an error if the request must not be sent to a server now.
func (g *Grant) Check() error {
	if g == nil {
		return nil
	}
	return g.gate.check(g)
}

// Left returns how long the grant lasts if the copy is not renewed. ok is false if it lasts
// without bound.
func (g *Grant) Left() (left time.Duration, ok bool) {
	if g == nil || g.gate.Bounds.Serve == 0 {
		return 0, false
	}
	return g.gate.Bounds.Serve - g.gate.Age().Value, true
}
