package host

import (
	"errors"
	"net/http"
	"os"
	"time"

	"github.com/nutmegway/nutmegway/internal/base/kind"
	"github.com/nutmegway/nutmegway/internal/fleet/config"
	"github.com/nutmegway/nutmegway/internal/request/intake"
)

const (
	// maxHeaderBytes bounds the header of a request before a configuration has set a limit.
	maxHeaderBytes = 256 << 10
	// defaultMaxBodyBytes bounds a body if the configuration sets no limit.
	defaultMaxBodyBytes = 32 << 20
	// bodyTimeout bounds the time to read a body. Callers wait less than this for an
	// answer, so it only ends requests whose caller has given up.
	bodyTimeout = 30 * time.Second
	// callerDescriptorShare, peerDescriptorShare and auxiliaryDescriptorShare are the shares
	// of the file descriptors that the connections of callers, of other hosts and of each other
	// listener may take. Each request of a caller needs another one for its backend server.
	callerDescriptorShare    = 0.4
	peerDescriptorShare      = 0.25
	auxiliaryDescriptorShare = 0.0625
	// intakeShare is the share of the process's memory that callers may make it hold. The rest
	// is for what the host knows of the deployment and for collecting garbage.
	intakeShare = 0.4
)

// ReadBody reads the body of a caller's request. A body that is longer than
// limits.BodyBytes or takes longer than bodyTimeout is an error, and so is one for which the
// host has no memory. All errors say that the request has not run.
func ReadBody(w http.ResponseWriter, r *http.Request, limits config.Limits) ([]byte, error) {
	limit := int64(defaultMaxBodyBytes)
	if limits.BodyBytes > 0 {
		limit = limits.BodyBytes
	}
	if r.ContentLength > limit {
		return nil, kind.New(kind.TooLarge, "the body has %d bytes, the limit is %d bytes", r.ContentLength, limit)
	}
	controller := http.NewResponseController(w)
	// The body is read without a deadline if the writer supports none, as in tests.
	_ = controller.SetReadDeadline(time.Now().Add(bodyTimeout))
	body, err := intake.ReadAll(intake.FromContext(r.Context()), r.Body, r.ContentLength, limit)
	_ = controller.SetReadDeadline(time.Time{})
	switch {
	case kind.Is(err, kind.Unavailable):
		return nil, err
	case errors.Is(err, os.ErrDeadlineExceeded):
		return nil, kind.New(kind.DeadlineUnmet, "the body was not complete after %s: got %d bytes", bodyTimeout, len(body))
	case err != nil:
		return nil, kind.New(kind.BadRequest, "the body could not be read after %d bytes: %v", len(body), err)
	case int64(len(body)) > limit:
		return nil, kind.New(kind.TooLarge, "the body exceeds the limit of %d bytes", limit)
	}
	return body, nil
}

// newIntake returns the memory that callers share.
func (h *Host) newIntake() *intake.Budget {
	return &intake.Budget{
		Bytes: int64(intakeShare * float64(h.Settings.MemoryBytes)), HeadBytes: h.headBytes, Logger: h.Logger,
		Work: func() int64 { return h.runner.HeldBytes() },
	}
}

// headBytes returns how long the head of a request may be.
func (h *Host) headBytes() int {
	if c := h.config.Load(); c != nil && c.Limits.HeaderBytes > 0 {
		return c.Limits.HeaderBytes
	}
	return maxHeaderBytes
}

// kvTokens returns the memory of a model engine of the service, in tokens, as the configuration
// gives it; zero if it isn't known.
func (h *Host) kvTokens(service string) int {
	if c := h.config.Load(); c != nil {
		return c.Services[service].KVTokens
	}
	return 0
}

// descriptors returns the part of the file descriptors for a listener, or zero if it is unbounded.
func (s Settings) descriptors(part float64) int {
	if s.MaxDescriptors == 0 {
		return 0
	}
	return max(int(part*float64(s.MaxDescriptors)), 1)
}
