// Package caller is a stand-in for a caller: it asks which entry hosts to use,
// keeps the answer, sends requests, and repeats on another entry host only
// what it may.
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

	"github.com/nutmegway/nutmegway/internal/base/kind"
	"github.com/nutmegway/nutmegway/internal/base/refusal"
)

const (
	maxAnswer = 64 << 20
	// minWait and maxWait bound the time between two tries.
	minWait = 20 * time.Millisecond
	maxWait = time.Second
)

// Request is one request of the caller.
type Request struct {
	Body   string
	Header http.Header
	// Idempotent requests are repeated whatever became of the last try.
	Idempotent bool
	Method     string
	Path       string
}

// Try is one sending of a request.
type Try struct {
	At      time.Time
	Address string
	// Kind is empty when the try was answered.
	Kind kind.Kind
	Ran  kind.Ran
	// Refused is true when an entry host said Ran; otherwise the connection
	// broke and the caller concluded it.
	Refused bool
	// TimedOut is true when the caller gave up.
	TimedOut bool
	Took     time.Duration
}

// Outcome is what became of a request.
type Outcome struct {
	Answered bool
	Body     []byte
	Request  Request
	Status   int
	Tries    []Try
}

// Last returns the last try.
func (o Outcome) Last() Try {
	if len(o.Tries) == 0 {
		return Try{}
	}
	return o.Tries[len(o.Tries)-1]
}

// Caller is one caller of a service.
type Caller struct {
	AvailabilityZone string
	// Entries are the addresses that are asked first.
	Entries []string
	HTTP    *http.Client
	// MaxTries bounds the tries of one request; zero is 8.
	MaxTries int
	Random   *rand.Rand
	Service  string
	// TryTimeout bounds one try; zero leaves it to the context.
	TryTimeout time.Duration

	mu        sync.Mutex
	addresses []string
	keepUntil time.Time
	skip      map[string]time.Time
}

// Do sends the request until it is answered, may not be repeated, or ctx ends.
func (c *Caller) Do(ctx context.Context, request Request) Outcome {
	outcome := Outcome{Request: request}
	tries := c.MaxTries
	if tries == 0 {
		tries = 8
	}
	for range tries {
		address := c.choose(ctx, outcome.Last().Address)
		try := c.try(ctx, address, request, &outcome)
		outcome.Tries = append(outcome.Tries, try)
		if outcome.Answered || ctx.Err() != nil {
			break
		}
		answer := try.Kind.Properties()
		if try.Refused && answer.RetryAfter == 0 {
			break
		}
		if try.Ran != kind.RanNo && !request.Idempotent {
			break
		}
		c.avoid(address)
		wait := min(max(minWait, answer.RetryAfter/4), maxWait)
		if sleep(ctx, wait) != nil {
			break
		}
	}
	return outcome
}

func (c *Caller) try(ctx context.Context, address string, r Request, outcome *Outcome) Try {
	if c.TryTimeout > 0 {
		var cancel context.CancelFunc
		ctx, cancel = context.WithTimeout(ctx, c.TryTimeout)
		defer cancel()
	}
	var connected atomic.Bool
	traced := httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{
		GotConn: func(httptrace.GotConnInfo) { connected.Store(true) },
	})
	try := Try{At: time.Now(), Address: address}
	err := c.send(traced, address, r, outcome)
	try.Took = time.Since(try.At)
	try.TimedOut = err != nil && ctx.Err() != nil
	if err == nil {
		return try
	}
	var refused *kind.Error
	if errors.As(err, &refused) {
		try.Kind, try.Ran, try.Refused = refused.Kind, kind.Of(refused).Ran, true
		return try
	}
	try.Kind, try.Ran = kind.OutcomeUnknown, kind.RanUnknown
	if !connected.Load() {
		try.Kind, try.Ran = kind.Unavailable, kind.RanNo
	}
	return try
}

// send makes one try. An error of the closed list is an entry host's refusal.
func (c *Caller) send(ctx context.Context, address string, r Request, outcome *Outcome) error {
	request, err := http.NewRequestWithContext(ctx, r.Method, "http://"+address+r.Path, strings.NewReader(r.Body))
	if err != nil {
		return err
	}
	for key, values := range r.Header {
		request.Header[key] = values
	}
	if deadline, ok := ctx.Deadline(); ok && request.Header.Get(refusal.HeaderDeadline) == "" {
		request.Header.Set(refusal.HeaderDeadline, deadline.Format(time.RFC3339Nano))
	}
	response, err := c.client().Do(request)
	if err != nil {
		return err
	}
	defer response.Body.Close() //nolint:errcheck // The body was read.
	body, err := io.ReadAll(io.LimitReader(response.Body, maxAnswer))
	if err != nil {
		return err
	}
	if refused := refusalIn(body, response.StatusCode); refused != nil {
		return refused
	}
	outcome.Answered, outcome.Body, outcome.Status = true, body, response.StatusCode
	return nil
}

// refusalIn returns the refusal of an entry host that body holds, also as the
// last event of a stream.
func refusalIn(body []byte, status int) error {
	if _, event, ok := bytes.Cut(body, []byte("event: error\ndata: ")); ok {
		body = event
	} else if status < http.StatusBadRequest {
		return nil
	}
	var refused refusal.Body
	if err := json.Unmarshal(bytes.TrimSpace(body), &refused); err != nil || refused.Error.Kind == "" {
		return nil //nolint:nilerr // Another answer is the service's own.
	}
	return refused.Err()
}

// Addresses returns the entry hosts to use and asks again once the kept answer
// has expired.
func (c *Caller) Addresses(ctx context.Context) []string {
	c.mu.Lock()
	kept, fresh := c.addresses, time.Now().Before(c.keepUntil)
	c.mu.Unlock()
	if fresh && len(kept) > 0 {
		return kept
	}
	for _, i := range c.perm(len(c.Entries)) {
		addresses, keep, err := c.ask(ctx, c.Entries[i])
		if err != nil || len(addresses) == 0 {
			continue
		}
		c.mu.Lock()
		c.addresses, c.keepUntil = addresses, time.Now().Add(keep)
		c.mu.Unlock()
		return addresses
	}
	if len(kept) > 0 {
		return kept
	}
	return c.Entries
}

func (c *Caller) ask(ctx context.Context, entry string) ([]string, time.Duration, error) {
	ctx, cancel := context.WithTimeout(ctx, maxWait)
	defer cancel()
	target := "http://" + entry + "/v1/services/" + url.PathEscape(c.Service) + "/addresses?availability-zone=" + url.QueryEscape(c.AvailabilityZone)
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, target, nil)
	if err != nil {
		return nil, 0, err
	}
	response, err := c.client().Do(request)
	if err != nil {
		return nil, 0, err
	}
	defer response.Body.Close() //nolint:errcheck // The body was read.
	if response.StatusCode != http.StatusOK {
		return nil, 0, refusal.Read(response)
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

// choose returns an address that did not fail just now, if there is one.
func (c *Caller) choose(ctx context.Context, last string) string {
	addresses := c.Addresses(ctx)
	c.mu.Lock()
	defer c.mu.Unlock()
	now := time.Now()
	for _, address := range addresses {
		if address != last && now.After(c.skip[address]) {
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
	if c.skip == nil {
		c.skip = map[string]time.Time{}
	}
	c.skip[address] = time.Now().Add(maxWait)
}

func (c *Caller) perm(n int) []int {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.Random == nil {
		c.Random = rand.New(rand.NewPCG(1, 1))
	}
	return c.Random.Perm(n)
}

func (c *Caller) client() *http.Client {
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
