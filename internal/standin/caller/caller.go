// Package caller implements a stand-in for a caller. It fetches and caches the
// addresses of the entry hosts, sends requests, and retries a request on another
// entry host only if that is safe.
package caller

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"io"
	"math/rand/v2"
	"net/http"
	"net/http/httptrace"
	"net/url"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/nutmegway/nutmegway/internal/base/httperror"
	"github.com/nutmegway/nutmegway/internal/base/kind"
)

const (
	maxResponseBytes = 64 << 20
	// minBackoff and maxBackoff bound the wait between two attempts. maxBackoff is also
	// how long a failed address is avoided and the timeout of a request for addresses.
	minBackoff = 20 * time.Millisecond
	maxBackoff = time.Second
)

// Request is a request that a Caller sends.
type Request struct {
	Body   string
	Header http.Header
	// Idempotent requests are retried even if the last attempt may have run.
	Idempotent bool
	Method     string
	Path       string
}

// Attempt is one attempt to send a request.
type Attempt struct {
	At      time.Time
	Address string
	// Kind is empty if the attempt was answered.
	Kind kind.Kind
	Ran  kind.Ran
	// Refused is true if an entry host reported Ran. Otherwise the connection
	// broke and the caller inferred it.
	Refused bool
	// TimedOut is true if the attempt failed after its context had ended.
	TimedOut bool
	Duration time.Duration
}

// Outcome is the result of a request and all its attempts.
type Outcome struct {
	Answered bool
	Body     []byte
	Request  Request
	Status   int
	Attempts []Attempt
}

// LastAttempt returns the last attempt, or the zero Attempt if there was none.
func (o Outcome) LastAttempt() Attempt {
	if len(o.Attempts) == 0 {
		return Attempt{}
	}
	return o.Attempts[len(o.Attempts)-1]
}

// Caller sends requests to a service.
type Caller struct {
	AvailabilityZone string
	// EntryHosts are the addresses of the entry hosts that are asked for the list of
	// addresses. They are used themselves if none of them answers.
	EntryHosts []string
	HTTP       *http.Client
	// MaxAttempts bounds the attempts of one request; zero means 8.
	MaxAttempts int
	Random      *rand.Rand
	Service     string
	// AttemptTimeout bounds one attempt; zero means that only the context does.
	AttemptTimeout time.Duration

	mu                sync.Mutex
	addresses         []string
	addressesExpireAt time.Time
	avoidUntil        map[string]time.Time
}

// Do sends the request until it is answered, may not be retried, has used up its
// attempts, or ctx ends.
func (c *Caller) Do(ctx context.Context, request Request) Outcome {
	outcome := Outcome{Request: request}
	attempts := c.MaxAttempts
	if attempts == 0 {
		attempts = 8
	}
	for range attempts {
		address := c.chooseAddress(ctx, outcome.LastAttempt().Address)
		attempt := c.attempt(ctx, address, request, &outcome)
		outcome.Attempts = append(outcome.Attempts, attempt)
		if outcome.Answered || ctx.Err() != nil {
			break
		}
		properties := attempt.Kind.Properties()
		if attempt.Refused && properties.RetryAfter == 0 {
			break
		}
		if attempt.Ran != kind.RanNo && !request.Idempotent {
			break
		}
		c.avoid(address)
		backoff := min(max(minBackoff, properties.RetryAfter/4), maxBackoff)
		if sleep(ctx, backoff) != nil {
			break
		}
	}
	return outcome
}

func (c *Caller) attempt(ctx context.Context, address string, r Request, outcome *Outcome) Attempt {
	if c.AttemptTimeout > 0 {
		var cancel context.CancelFunc
		ctx, cancel = context.WithTimeout(ctx, c.AttemptTimeout)
		defer cancel()
	}
	var connected atomic.Bool
	traceCtx := httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{
		GotConn: func(httptrace.GotConnInfo) { connected.Store(true) },
	})
	attempt := Attempt{At: time.Now(), Address: address}
	err := c.send(traceCtx, address, r, outcome)
	attempt.Duration = time.Since(attempt.At)
	attempt.TimedOut = err != nil && ctx.Err() != nil
	if err == nil {
		return attempt
	}
	var refused *kind.Error
	if errors.As(err, &refused) {
		attempt.Kind, attempt.Ran, attempt.Refused = refused.Kind, kind.Of(refused).Ran, true
		return attempt
	}
	attempt.Kind, attempt.Ran = kind.OutcomeUnknown, kind.RanUnknown
	if !connected.Load() {
		attempt.Kind, attempt.Ran = kind.Unavailable, kind.RanNo
	}
	return attempt
}

// send sends the request once. A *kind.Error is a refusal by an entry host.
func (c *Caller) send(ctx context.Context, address string, r Request, outcome *Outcome) error {
	request, err := http.NewRequestWithContext(ctx, r.Method, "http://"+address+r.Path, strings.NewReader(r.Body))
	if err != nil {
		return err
	}
	for key, values := range r.Header {
		request.Header[key] = values
	}
	if deadline, ok := ctx.Deadline(); ok && request.Header.Get(httperror.HeaderDeadline) == "" {
		request.Header.Set(httperror.HeaderDeadline, deadline.Format(time.RFC3339Nano))
	}
	response, err := c.httpClient().Do(request)
	if err != nil {
		return err
	}
	defer response.Body.Close() //nolint:errcheck // The body has been read.
	body, err := io.ReadAll(io.LimitReader(response.Body, maxResponseBytes))
	if err != nil {
		return err
	}
	if refused := parseRefusal(body, response.StatusCode); refused != nil {
		return refused
	}
	outcome.Answered, outcome.Body, outcome.Status = true, body, response.StatusCode
	return nil
}

// parseRefusal returns the refusal by an entry host that body contains, either as
// the whole body or as the last event of a stream. It returns nil if there is none.
func parseRefusal(body []byte, status int) error {
	if _, event, ok := bytes.Cut(body, []byte("event: error\ndata: ")); ok {
		body = event
	} else if status < http.StatusBadRequest {
		return nil
	}
	var refused httperror.Body
	if err := json.Unmarshal(bytes.TrimSpace(body), &refused); err != nil || refused.Error.Kind == "" {
		return nil //nolint:nilerr // Any other body is the service's own response.
	}
	return refused.Err()
}

// Addresses returns the addresses of the entry hosts to use. It fetches the list
// again once the cached one has expired. If no entry host answers, it returns the
// expired list, or EntryHosts if there is none.
func (c *Caller) Addresses(ctx context.Context) []string {
	c.mu.Lock()
	cached, fresh := c.addresses, time.Now().Before(c.addressesExpireAt)
	c.mu.Unlock()
	if fresh && len(cached) > 0 {
		return cached
	}
	for _, i := range c.permutation(len(c.EntryHosts)) {
		addresses, ttl, err := c.fetchAddresses(ctx, c.EntryHosts[i])
		if err != nil || len(addresses) == 0 {
			continue
		}
		c.mu.Lock()
		c.addresses, c.addressesExpireAt = addresses, time.Now().Add(ttl)
		c.mu.Unlock()
		return addresses
	}
	if len(cached) > 0 {
		return cached
	}
	return c.EntryHosts
}

func (c *Caller) fetchAddresses(ctx context.Context, entryHost string) ([]string, time.Duration, error) {
	ctx, cancel := context.WithTimeout(ctx, maxBackoff)
	defer cancel()
	target := "http://" + entryHost + "/v1/services/" + url.PathEscape(c.Service) + "/addresses?availability-zone=" + url.QueryEscape(c.AvailabilityZone)
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, target, nil)
	if err != nil {
		return nil, 0, err
	}
	response, err := c.httpClient().Do(request)
	if err != nil {
		return nil, 0, err
	}
	defer response.Body.Close() //nolint:errcheck // The body has been read.
	if response.StatusCode != http.StatusOK {
		return nil, 0, httperror.Read(response)
	}
	var list struct {
		Addresses []struct {
			Address string `json:"address"`
		} `json:"addresses"`
		KeepSeconds float64 `json:"keep-seconds"`
	}
	if err := json.NewDecoder(response.Body).Decode(&list); err != nil {
		return nil, 0, err
	}
	addresses := make([]string, 0, len(list.Addresses))
	for _, a := range list.Addresses {
		addresses = append(addresses, a.Address)
	}
	return addresses, time.Duration(list.KeepSeconds * float64(time.Second)), nil
}

// chooseAddress returns the first address other than last that is not being avoided
// after a failure. If there is none, it returns the first address other than last,
// and as a last resort the first address.
func (c *Caller) chooseAddress(ctx context.Context, last string) string {
	addresses := c.Addresses(ctx)
	c.mu.Lock()
	defer c.mu.Unlock()
	now := time.Now()
	for _, address := range addresses {
		if address != last && now.After(c.avoidUntil[address]) {
			return address
		}
	}
	for _, address := range addresses {
		if address != last {
			return address
		}
	}
	return addresses[0]
}

func (c *Caller) avoid(address string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.avoidUntil == nil {
		c.avoidUntil = map[string]time.Time{}
	}
	c.avoidUntil[address] = time.Now().Add(maxBackoff)
}

func (c *Caller) permutation(n int) []int {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.Random == nil {
		c.Random = rand.New(rand.NewPCG(1, 1))
	}
	return c.Random.Perm(n)
}

func (c *Caller) httpClient() *http.Client {
	if c.HTTP == nil {
		return http.DefaultClient
	}
	return c.HTTP
}

func sleep(ctx context.Context, d time.Duration) error {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return ctx.Err()
	case <-timer.C:
		return nil
	}
}
