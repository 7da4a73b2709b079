// Package generation runs the generation of one item at a model engine and reads the
// resulting event stream.
package generation

import (
	"bufio"
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"log/slog"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/zeebo/errs"

	"github.com/nutmegway/nutmegway/internal/backend/dialect"
	"github.com/nutmegway/nutmegway/internal/backend/plain"
	"github.com/nutmegway/nutmegway/internal/base/httpbody"
	"github.com/nutmegway/nutmegway/internal/base/kind"
)

var classError = errs.Class("generation")

// errEventTimeout is the cancellation cause of a run whose next event was overdue.
var errEventTimeout = classError.New("no event came in time")

const (
	// maxEventBytes bounds all lines from the end of one event to the end of the next. An
	// event holds only a few tokens.
	maxEventBytes = 64 << 10
	// maxIdleBytes bounds the comments and empty lines from the end of one event to the
	// end of the next.
	maxIdleBytes = 32 << 10
	// maxRejectionBytes bounds the body of an answer that isn't a stream.
	maxRejectionBytes = 64 << 10
	// A stream of up to n tokens may hold n times maxBytesPerToken bytes of data, plus
	// extraTextBytes, since the average token of a short text may be longer.
	maxBytesPerToken = 64
	extraTextBytes   = 64 << 10
	// defaultMaxTextBytes and defaultMaxEvents bound a stream whose MaxTokens is unknown.
	defaultMaxTextBytes = 16 << 20
	defaultMaxEvents    = 100_000
)

// ErrStreamTooLong is returned for a stream that exceeds a limit on its bytes or events.
var ErrStreamTooLong = classError.New("event stream exceeds its limit of bytes or events")

// ErrOutOfOrder is returned for a stream whose events have no ids, or ids that don't
// increase from the one that the run resumes after.
var ErrOutOfOrder = classError.New("events are out of order")

// RefusalError is in the chain of the error of a run that the server refused without running it.
type RefusalError struct {
	// Load is the load header of the answer; empty if the answer has none.
	Load   string
	Status int
}

// Error implements error.
func (r *RefusalError) Error() string {
	return fmt.Sprintf("server refused the request with status %d", r.Status)
}

// Request describes one run of an item.
type Request struct {
	// Account is the client account of the caller; empty if there is none.
	Account string
	Address string
	Body    []byte
	// Budget is how long the caller still waits for the result; zero if unknown. It is
	// sent to the engine in a header.
	Budget time.Duration
	// BeforeSend is called before anything is sent; see plain.Request.
	BeforeSend func() error
	// EventTimeout bounds the time between two events, and FirstEventTimeout the time
	// until the first event.
	EventTimeout      time.Duration
	FirstEventTimeout time.Duration
	Header            map[string]string
	Host              string
	ID                string
	// MaxTokens is the largest number of tokens of the item, including those of earlier
	// runs; zero if unknown. It sets the limits on the length of the stream.
	MaxTokens int
	// ResumeAfter is the id of the last event that an earlier run delivered; empty
	// starts from the beginning.
	ResumeAfter string
	Server      string
	Target      string
}

// Event is one server-sent event of a stream.
type Event struct {
	Data string
	ID   string
	// Version is the weight version that generated the event; zero if unknown.
	Version int64
}

// Outcome is the way in which a run ended.
type Outcome string

// The outcomes of a run.
const (
	// OutcomeBroken means that the stream broke off or was invalid, that the server
	// answered with something other than a stream, or that onEvent returned an error.
	OutcomeBroken Outcome = "broken"
	// OutcomeCompleted means that the stream arrived in full.
	OutcomeCompleted Outcome = "completed"
	// OutcomeFailed means that the server answered that the run failed.
	OutcomeFailed Outcome = "failed"
	// OutcomeImpossible means that the server answered that no run of the item can succeed.
	OutcomeImpossible Outcome = "impossible"
	// OutcomeNotRun means that the server refused the request and did not run the item, or
	// that the request was not sent because of the server's request limit.
	OutcomeNotRun Outcome = "not-run"
	// OutcomeStalled means that the run was cancelled because an event was overdue.
	OutcomeStalled Outcome = "stalled"
	// OutcomeStopped means that the caller's context ended.
	OutcomeStopped Outcome = "stopped"
	// OutcomeUnsendable means that no request for the item can be sent, to whatever server.
	OutcomeUnsendable Outcome = "unsendable"
	// OutcomeUnreachable means that no byte of the request was sent, because there was no
	// connection to the server or it takes no new work.
	OutcomeUnreachable Outcome = "unreachable"
)

// Client runs generations. The fields are set before the first call.
type Client struct {
	Dialect dialect.Dialect
	Logger  *slog.Logger
	Plain   *plain.Client
}

// Run sends the item and calls onEvent for each event in order. An error from onEvent
// ends the run. onLoad is called with the load header of the answer. The connection is
// closed when Run returns, unless the stream arrived in full.
func (c *Client) Run(
	ctx context.Context, r Request, onLoad func(string), onEvent func(Event) error,
) (Outcome, error) {
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	timer := time.AfterFunc(r.FirstEventTimeout, func() { cancel(errEventTimeout) })
	defer timer.Stop()
	response, err := c.Plain.Do(ctx, r.Address, c.newRequest(r))
	if err != nil {
		return c.failureOutcome(ctx, err)
	}
	defer func() { _ = response.Body.Close() }()
	if outcome, err := c.rejectionOutcome(response); outcome != "" {
		if _, cut := httpbody.ReadAll(response, maxRejectionBytes); cut != nil {
			return c.failureOutcome(ctx, cut)
		}
		return outcome, err
	}
	if r.ResumeAfter != "" && !isEventStream(response) {
		return OutcomeBroken, classError.New("server answered a resumed run with content type %q, want an event stream",
			response.Header.Get("Content-Type"))
	}
	onLoad(response.Header.Get(c.Dialect.Load))
	version, _ := strconv.ParseInt(response.Header.Get(c.Dialect.WeightVersion), 10, 64)
	reader := eventReader{
		versionField: strings.ToLower(c.Dialect.WeightVersion),
		scanner:      bufio.NewScanner(response.Body), version: version,
	}
	reader.scanner.Buffer(nil, maxEventBytes)
	allowance := newStreamAllowance(r.MaxTokens)
	previousID := r.ResumeAfter
	for {
		event, err := reader.next()
		if errors.Is(err, io.EOF) {
			return OutcomeCompleted, nil
		}
		if err != nil {
			return c.failureOutcome(ctx, err)
		}
		if !allowance.consume(event) {
			return OutcomeBroken, ErrStreamTooLong
		}
		if err := checkOrder(previousID, event.ID); err != nil {
			return OutcomeBroken, err
		}
		previousID = event.ID
		timer.Reset(r.EventTimeout)
		if err := onEvent(event); err != nil {
			return OutcomeBroken, err
		}
	}
}

func isEventStream(response *http.Response) bool {
	return strings.HasPrefix(response.Header.Get("Content-Type"), "text/event-stream")
}

// checkOrder returns an error unless the id of an event is a number that is greater than the
// id of the event before it. Text of an error, which has no ids, is thus not taken for text
// of the generation. previous is empty for the first event.
func checkOrder(previous, id string) error {
	number, err := strconv.ParseInt(id, 10, 64)
	if err != nil {
		return errors.Join(ErrOutOfOrder, classError.New("event has id %q, want a number", id))
	}
	if previous == "" {
		return nil
	}
	before, err := strconv.ParseInt(previous, 10, 64)
	if err != nil || number <= before {
		return errors.Join(ErrOutOfOrder, classError.New("event has id %q, want one after %q", id, previous))
	}
	return nil
}

// streamAllowance holds the numbers of bytes of data and of events that a stream may still
// deliver.
type streamAllowance struct{ bytes, events int }

// newStreamAllowance returns the allowance of a stream of up to maxTokens tokens, or the
// default if maxTokens is unknown. Each event holds at least one token.
func newStreamAllowance(maxTokens int) streamAllowance {
	if maxTokens <= 0 {
		return streamAllowance{bytes: defaultMaxTextBytes, events: defaultMaxEvents}
	}
	return streamAllowance{bytes: maxTokens*maxBytesPerToken + extraTextBytes, events: maxTokens}
}

// consume deducts an event and reports whether it is within the allowance.
func (a *streamAllowance) consume(event Event) bool {
	a.bytes -= len(event.Data)
	a.events--
	return a.bytes >= 0 && a.events >= 0
}

func (c *Client) newRequest(r Request) plain.Request {
	header := make(http.Header, len(r.Header)+3)
	for name, value := range r.Header {
		header.Set(name, value)
	}
	// A caller must not have headers removed that are set here.
	plain.RemoveHopByHop(header)
	if r.Account != "" {
		header.Set(c.Dialect.Account, r.Account)
	}
	header.Set(c.Dialect.ExpectServer, r.Server)
	if r.Budget > 0 {
		header.Set(c.Dialect.BudgetMillis, strconv.FormatInt(r.Budget.Milliseconds(), 10))
	}
	if r.ResumeAfter != "" {
		header.Set(c.Dialect.ResumeAfter, r.ResumeAfter)
	}
	return plain.Request{
		Body: bytes.NewReader(r.Body), Header: header, Host: r.Host, Length: int64(len(r.Body)),
		BeforeSend: r.BeforeSend,
		Method:     http.MethodPost, Purpose: plain.PurposeItem, RequestID: r.ID, Server: r.Server, Target: r.Target,
	}
}

// rejectionOutcome returns the outcome and the error of an answer that isn't a stream. For
// a stream, the outcome is empty.
func (c *Client) rejectionOutcome(response *http.Response) (Outcome, error) {
	status := response.StatusCode
	switch {
	case response.Header.Get(c.Dialect.NotRun) != "" || status == http.StatusMisdirectedRequest:
		return OutcomeNotRun, classError.Wrap(&RefusalError{Load: response.Header.Get(c.Dialect.Load), Status: status})
	case status == http.StatusOK:
		return "", nil
	case status == http.StatusUnprocessableEntity:
		return OutcomeImpossible, classError.New("server answered with status %d: item can never succeed", status)
	case status == http.StatusInternalServerError:
		return OutcomeFailed, classError.New("server answered with status %d: run failed", status)
	default:
		return OutcomeBroken, classError.New("server answered with status %d, want 200", status)
	}
}

// failureOutcome returns the outcome and cause of a run that ended with err.
func (*Client) failureOutcome(ctx context.Context, err error) (Outcome, error) {
	switch {
	case errors.Is(context.Cause(ctx), errEventTimeout):
		return OutcomeStalled, errEventTimeout
	case ctx.Err() != nil:
		return OutcomeStopped, context.Cause(ctx)
	case errors.Is(err, plain.ErrNotAdmitted):
		return OutcomeNotRun, err
	case kind.Is(err, kind.BadRequest):
		return OutcomeUnsendable, err
	case kind.Is(err, kind.Unavailable) && kind.Of(err).Ran == kind.RanNo:
		return OutcomeUnreachable, err
	default:
		return OutcomeBroken, err
	}
}

// eventReader reads the events of a stream. A stream that ends within an event is an
// error.
type eventReader struct {
	scanner *bufio.Scanner
	// version is the weight version of the following events until one names another.
	version int64
	// versionField is the field of an event that names its weight version.
	versionField string
}

func (r *eventReader) next() (Event, error) {
	event := Event{}
	var data []string
	inEvent := false
	idleBytes, eventBytes := 0, 0
	for r.scanner.Scan() {
		line := r.scanner.Text()
		// Line ends count too, or an endless series of empty lines would be unbounded.
		eventBytes += len(line) + 1
		if eventBytes > maxEventBytes {
			return Event{}, ErrStreamTooLong
		}
		if line == "" || strings.HasPrefix(line, ":") {
			idleBytes += len(line) + 1
			if idleBytes > maxIdleBytes {
				return Event{}, ErrStreamTooLong
			}
		}
		if strings.HasPrefix(line, ":") {
			continue
		}
		if line == "" {
			if !inEvent {
				continue
			}
			event.Data, event.Version = strings.Join(data, "\n"), r.version
			return event, nil
		}
		inEvent = true
		field, value, _ := strings.Cut(line, ":")
		value = strings.TrimPrefix(value, " ")
		switch field {
		case "data":
			data = append(data, value)
		case "id":
			event.ID = value
		case r.versionField:
			version, err := strconv.ParseInt(value, 10, 64)
			if err != nil {
				return Event{}, classError.Wrap(err)
			}
			r.version = version
		}
	}
	if err := r.scanner.Err(); err != nil {
		return Event{}, classError.Wrap(err)
	}
	if inEvent {
		return Event{}, classError.New("event stream ended in the middle of an event")
	}
	return Event{}, io.EOF
}
