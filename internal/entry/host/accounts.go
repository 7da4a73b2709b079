package host

import (
	"context"
	"maps"
	"net/http"

	"github.com/nutmegway/nutmegway/internal/base/kind"
	"github.com/nutmegway/nutmegway/internal/fleet/config"
	"github.com/nutmegway/nutmegway/internal/fleet/mirror"
	"github.com/nutmegway/nutmegway/internal/request/account"
	"github.com/nutmegway/nutmegway/internal/request/forward"
	"github.com/nutmegway/nutmegway/internal/rollout/batch"
)

const (
	// serveShare is the age of the configuration up to which its API keys are in force, as a
	// share of the bound within which revoked keys stop. The rest is for the way of a request
	// to its server.
	serveShare = 0.9
	// keyWatchShare is the longest time of one watch of the store, and keyPollShare that of one
	// poll of another host, as shares of the same bound. A copy is at most twice as old as
	// both together while all answer, and a failed call can be repeated in time.
	keyWatchShare = 0.27
	keyPollShare  = 0.1
	// keyListShare is the age of the configuration, as a share of the same bound, from which it
	// is read instead of waiting for a change.
	keyListShare = 0.62
)

// setUpAccounts creates the gate of requests with API keys.
func (h *Host) setUpAccounts() {
	h.operatorMirror = new(mirror.Mirror)
	h.accounts = &account.Gate{
		Age: func() account.Age {
			age, known := h.operatorMirror.DeliveredAge()
			return account.Age{Known: known, Value: age}
		},
		Bounds: account.Bounds{Refuse: h.Settings.configBound(), Serve: share(serveShare, h.Settings.RevocationBound)},
		Config: h.config.Load,
		Logger: h.Logger,
	}
	h.accounts.ObserveAge()
}

// servesAccounts reports whether this host may serve requests with API keys now.
func (h *Host) servesAccounts() bool {
	c := h.config.Load()
	return c == nil || len(c.Accounts) == 0 || h.accounts.Serves()
}

// Authenticate returns the grant of a request on a route with the API key, which is empty if
// there is none. The grant is nil if the request needs no key. If c has client accounts,
// Authenticate removes the headers that only hosts set, and the key, from header.
func (h *Host) Authenticate(c *config.Config, route config.Route, header http.Header, key string) (*account.Grant, error) {
	if len(c.Accounts) == 0 {
		return nil, nil //nolint:nilnil // A nil grant is that of a request that needs none.
	}
	header.Del(h.Dialect.Account)
	header.Del(h.Dialect.Credential)
	if route.Public {
		return nil, nil //nolint:nilnil // As above.
	}
	return h.accounts.Authenticate(key)
}

// adoptGrant returns the grant of a request that another host handed on.
func (h *Host) adoptGrant(c *config.Config, route config.Route, request forward.Request) (*account.Grant, error) {
	if len(c.Accounts) == 0 {
		return nil, nil //nolint:nilnil // A nil grant is that of a request that needs none.
	}
	request.Header.Del(h.Dialect.Account)
	request.Header.Del(h.Dialect.Credential)
	switch {
	case route.Public:
		return nil, nil //nolint:nilnil // As above.
	case request.Grant == nil:
		return nil, kind.New(kind.Unavailable, "the request was handed on without the client account that its route needs")
	}
	return h.accounts.Adopt(*request.Grant), nil
}

// AuthorizeBatch returns an error unless a caller with the API key may read or end the batch.
// Only keys of the account that submitted a batch may. To others it isn't there.
func (h *Host) AuthorizeBatch(ctx context.Context, id, key string) error {
	c := h.config.Load()
	switch {
	case c == nil && h.Settings.RevocationBound > 0:
		_, err := h.ConfigInForce()
		return err
	case c == nil || len(c.Accounts) == 0:
		return nil
	}
	if key == "" {
		owner, err := h.Batches.Account(ctx, id)
		if err == nil && owner == "" {
			return nil
		}
		_, refusal := h.accounts.Authenticate(key)
		return refusal
	}
	grant, err := h.accounts.Authenticate(key)
	if err != nil {
		return err
	}
	owner, err := h.Batches.Account(ctx, id)
	if err != nil {
		return err
	}
	if owner != "" && owner != grant.Account {
		return kind.New(kind.NotFound, "no batch %q", id)
	}
	return nil
}

// Submit accepts a batch, or returns an error of kind leaving while the host leaves. grant is
// nil if the batch needs no API key. Once accepted, the batch doesn't depend on the key.
func (h *Host) Submit(ctx context.Context, b batch.Batch, grant *account.Grant) error {
	if h.leaving.Load() {
		return kind.New(kind.Leaving, "the host is leaving").WithRetryAfter(notReadyRetryAfter)
	}
	// A batch that was accepted before is answered so, however much runs.
	if _, known := h.Batches.Index.Get(b.ID); !known {
		if err := h.intake.CheckWork(b.HeldBytes()); err != nil {
			return err
		}
	}
	if grant == nil {
		return h.Batches.Submit(ctx, b)
	}
	if err := grant.Check(); err != nil {
		return err
	}
	b.Account = grant.Account
	if left, ok := grant.Left(); ok {
		var cancel context.CancelFunc
		ctx, cancel = context.WithTimeout(ctx, left)
		defer cancel()
	}
	return h.Batches.Submit(ctx, b)
}

// CleanItemHeader removes the headers that only hosts set, and API keys, from the header of an
// item if there are client accounts.
func (h *Host) CleanItemHeader(header map[string]string) {
	c := h.config.Load()
	if c == nil || len(c.Accounts) == 0 {
		return
	}
	maps.DeleteFunc(header, func(name, _ string) bool {
		name = http.CanonicalHeaderKey(name)
		return name == http.CanonicalHeaderKey(h.Dialect.Account) || name == http.CanonicalHeaderKey(h.Dialect.Credential)
	})
}
