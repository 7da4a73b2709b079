// Package generation runs one generation of an item at a model engine and reads
// its stream of events.
package generation

import (
	"bufio"
	"bytes"
	"context"
	"errors"
	"io"
	"log/slog"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/zeebo/errs"

	"github.com/nutmegway/nutmegway/internal/backend/dialect"
	"github.com/nutmegway/nutmegway/internal/backend/plain"
	"github.com/nutmegway/nutmegway/internal/base/kind"
)

var classError = errs.Class("generation")

// errStalled is the cause of a stream that was ended because no event came.
var errStalled = classError.New("no event came in time")

const (
	// maxEventBytes bounds the lines of one event together. An event holds some
	// tokens.
	maxEventBytes = 256 << 10
	// maxIdleBytes bounds what comes between two events: comments and empty lines.
	maxIdleBytes = 64 << 10
	// tokenBytes is the longest text that a token may have on average, and textSlack
	// what a short text may have beyond.
	tokenBytes = 64
	textSlack  = 64 << 10
	// defaultTextBytes and defaultEvents bound a text whose tokens aren't known.
	defaultTextBytes = 16 << 20
	defaultEvents    = 100_000
)

// ErrEndless is the failure of a stream that is longer than any sound one.
var ErrEndless = classError.New("the stream is longer than a sound one")

// Request is one run of an item.
type Request struct {
	Address string
	Body    []byte
	// Budget is how long the result is of use; zero if unknown.
	Budget time.Duration
	// Check is asked before anything is sent; see plain.Request.
	Check func() error
	// EventWait is the longest time without an event, and FirstWait that before
	// the first one.
	EventWait time.Duration
	FirstWait time.Duration
	Header    map[string]string
	Host      string
	ID        string
	// MaxTokens is the number of tokens that the whole item may have, those of
	// earlier runs included; zero if unknown.
	MaxTokens int
	// ResumeAfter is the id of the last event that an earlier run has given;
	// empty begins at the start.
	ResumeAfter string
	Server      string
	Target      string
}

// Event is one event of a stream.
type Event struct {
	Data string
	ID   string
	// Version is the weight version that generated the event; zero if unknown.
	Version int64
}

// Outcome tells how a run ended.
type Outcome string

// The outcomes of a run.
const (
	// OutcomeBroken is a stream that broke off, or whose server answered with
	// something else than a stream.
	OutcomeBroken Outcome = "broken"
	// OutcomeCompleted is a stream that came whole.
	OutcomeCompleted Outcome = "completed"
	// OutcomeFailed is a server's answer that the run failed.
	OutcomeFailed Outcome = "failed"
	// OutcomeImpossible is a server's answer that the item can never be done.
	OutcomeImpossible Outcome = "impossible"
	// OutcomeNotRun is a refusal: the server did not run the item.
	OutcomeNotRun Outcome = "not-run"
	// OutcomeStalled is a stream that was ended because no event came in time.
	OutcomeStalled Outcome = "stalled"
	// OutcomeStopped is a run that its caller ended.
	OutcomeStopped Outcome = "stopped"
)

// Client runs generations. The fields are set before the first call.
type Client struct {
	Dialect dialect.Dialect
	Logger  *slog.Logger
	Plain   *plain.Client
}

// Run sends the item and calls onEvent for each event in order. An error of
// onEvent ends the run. onLoad is told the load header of the answer. The
// connection is closed when Run returns, unless the stream came whole.
func (c *Client) Run(
	ctx context.Context, r Request, onLoad func(string), onEvent func(Event) error,
) (Outcome, error) {
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	stall := time.AfterFunc(r.FirstWait, func() { cancel(errStalled) })
	defer stall.Stop()
	response, err := c.Plain.Do(ctx, r.Address, c.request(r))
	if err != nil {
		return c.broken(ctx, err)
	}
	defer func() { _ = response.Body.Close() }()
	if outcome, err := c.refused(response); outcome != "" {
		return outcome, err
	}
	onLoad(response.Header.Get(c.Dialect.Load))
	version, _ := strconv.ParseInt(response.Header.Get(c.Dialect.WeightVersion), 10, 64)
	reader := eventReader{
		versionField: strings.ToLower(c.Dialect.WeightVersion),
		scanner:      bufio.NewScanner(response.Body), version: version,
	}
	reader.scanner.Buffer(nil, maxEventBytes)
	left := limitOf(r.MaxTokens)
	for {
		event, err := reader.next()
		if errors.Is(err, io.EOF) {
			return OutcomeCompleted, nil
		}
		if err != nil {
			return c.broken(ctx, err)
		}
		if !left.take(event) {
			return OutcomeBroken, ErrEndless
		}
		stall.Reset(r.EventWait)
		if err := onEvent(event); err != nil {
			return OutcomeBroken, err
		}
	}
}

// limit is what a stream may still bring.
type limit struct{ bytes, events int }

// limitOf returns the limit of a text. Each event holds at least one token.
func limitOf(maxTokens int) limit {
	if maxTokens <= 0 {
		return limit{bytes: defaultTextBytes, events: defaultEvents}
	}
	return limit{bytes: maxTokens*tokenBytes + textSlack, events: maxTokens}
}

// take counts an event and reports whether it is within the limit.
func (l *limit) take(event Event) bool {
	l.bytes -= len(event.Data)
	l.events--
	return l.bytes >= 0 && l.events >= 0
}

func (c *Client) request(r Request) plain.Request {
	header := make(http.Header, len(r.Header)+3)
	for name, value := range r.Header {
		header.Set(name, value)
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
		Check:  r.Check,
		Method: http.MethodPost, RequestID: r.ID, Server: r.Server, Target: r.Target,
	}
}

// refused returns the outcome of an answer that isn't a stream.
func (c *Client) refused(response *http.Response) (Outcome, error) {
	status := response.StatusCode
	switch {
	case response.Header.Get(c.Dialect.NotRun) != "" || status == http.StatusMisdirectedRequest:
		return OutcomeNotRun, classError.New("the server refused with status %d", status)
	case status == http.StatusOK:
		return "", nil
	case status == http.StatusUnprocessableEntity:
		return OutcomeImpossible, classError.New("the server answered that the item can't be done")
	case status == http.StatusInternalServerError:
		return OutcomeFailed, classError.New("the server answered that the run failed")
	default:
		return OutcomeBroken, classError.New("the server answered with status %d", status)
	}
}

// broken tells the outcome of a run that ended with an error.
func (*Client) broken(ctx context.Context, err error) (Outcome, error) {
	switch {
	case errors.Is(context.Cause(ctx), errStalled):
		return OutcomeStalled, errStalled
	case ctx.Err() != nil:
		return OutcomeStopped, context.Cause(ctx)
	case kind.Of(err).Kind == kind.Unavailable && kind.Of(err).Ran == kind.RanNo:
		return OutcomeBroken, err
	default:
		return OutcomeBroken, err
	}
}

// eventReader reads events of a stream. An event that is cut off by the end of
// the stream is an error.
type eventReader struct {
	scanner *bufio.Scanner
	// version is the weight version that holds until an event names another.
	version int64
	// versionField is the field of an event that names its weight version.
	versionField string
}

func (r *eventReader) next() (Event, error) {
	event := Event{}
	var data []string
	begun := false
	idle, size := 0, 0
	for r.scanner.Scan() {
		line := r.scanner.Text()
		// The line's end counts too: empty lines may come without end.
		size += len(line) + 1
		if size > maxEventBytes {
			return Event{}, ErrEndless
		}
		if line == "" || strings.HasPrefix(line, ":") {
			idle += len(line) + 1
			if idle > maxIdleBytes {
				return Event{}, ErrEndless
			}
		}
		if strings.HasPrefix(line, ":") {
			continue
		}
		if line == "" {
			if !begun {
				continue
			}
			event.Data, event.Version = strings.Join(data, "\n"), r.version
			return event, nil
		}
		begun = true
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
	if begun {
		return Event{}, classError.New("the stream ends within an event")
	}
	return Event{}, io.EOF
}
