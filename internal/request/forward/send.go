package forward

import (
	"bytes"
	"context"
	"errors"
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/nutmegway/nutmegway/internal/backend/inventory"
	"github.com/nutmegway/nutmegway/internal/backend/plain"
	"github.com/nutmegway/nutmegway/internal/base/httpbody"
	"github.com/nutmegway/nutmegway/internal/base/httpstatus"
	"github.com/nutmegway/nutmegway/internal/base/kind"
)

// Outcome is the result of [Forwarder.Send].
type Outcome struct {
	// Err is set if no complete answer was received.
	Err    error
	Header http.Header
	Ran    kind.Ran
	Status int
}

// Send sends a request that may be repeated to one server, reads the complete answer and
// discards its body. An event stream or an answer beyond the buffer of a request is an error.
// atMostOnce has the meaning of [plain.Request.AtMostOnce]: the request uses a connection
// of its own.
func (f *Forwarder) Send(
	ctx context.Context, candidate inventory.Candidate, request Request, deadline time.Time, atMostOnce bool,
) Outcome {
	a := f.send(ctx, candidate, request, deadline, atMostOnce)
	defer a.close()
	if a.refused() {
		f.Inventory.BackOffRequests(candidate.ID, minRetryAfter)
	}
	if a.response == nil {
		return Outcome{Err: a.err, Ran: a.ran}
	}
	outcome := Outcome{Header: a.response.Header, Ran: a.ran, Status: a.response.StatusCode}
	if a.hasMore {
		outcome.Err = kind.New(kind.BackendFailed, "the answer of backend server %q is too long: at least %d bytes", candidate.ID, len(a.head))
	}
	return outcome
}

// send sends the request to one server and reads its answer as readAnswer does. atMostOnce has the
// meaning of [plain.Request.AtMostOnce].
func (f *Forwarder) send(
	ctx context.Context, candidate inventory.Candidate, request Request, deadline time.Time, atMostOnce bool,
) answer {
	f.Inventory.RequestStarted(candidate.ID)
	defer f.Inventory.RequestFinished(candidate.ID)
	header := request.Header.Clone()
	// A caller must not have headers removed that are set here.
	plain.RemoveHopByHop(header)
	if request.Grant != nil {
		header.Set(f.Dialect.Account, request.Grant.Account)
	}
	header.Set(f.Dialect.BudgetMillis, strconv.FormatInt(max(time.Until(deadline).Milliseconds(), 1), 10))
	header.Set(f.Dialect.ExpectServer, candidate.ID)
	var sent time.Time
	response, err := f.Client.Do(ctx, candidate.Address, plain.Request{
		Body: bytes.NewReader(request.Body), Header: header, Host: request.Host, Length: int64(len(request.Body)),
		BeforeSend: func() error {
			if err := f.Inventory.CheckAvailable(candidate.ID); err != nil {
				return err
			}
			sent = time.Now()
			return request.Grant.Check()
		},
		Method: request.Method, AtMostOnce: atMostOnce, Purpose: plain.PurposeSingle, RequestID: request.ID, Server: candidate.ID, Target: request.Target,
	})
	if err != nil {
		switch {
		case errors.Is(err, plain.ErrNotAdmitted):
			f.Inventory.BackOff(candidate.ID, kind.Of(err).RetryAfter)
		case kind.Is(err, kind.BadRequest):
			// The request can't be sent to any server.
		case ctx.Err() == nil && request.Grant.Check() == nil:
			f.recordFailure(candidate.ID, err)
		}
		return answer{server: candidate.Server, err: err, ran: kind.Of(err).Ran, sent: sent}
	}
	a := f.readAnswer(ctx, candidate, response)
	a.sent = sent
	return a
}

// readAnswer reads the body of a server's answer up to the buffer size, and nothing of an event
// stream. An answer that says that the request has not run counts only if it is whole.
func (f *Forwarder) readAnswer(ctx context.Context, candidate inventory.Candidate, response *http.Response) answer {
	a := answer{server: candidate.Server, response: response, ran: kind.RanYes}
	if response.Header.Get(f.Dialect.NotRun) != "" || response.StatusCode == http.StatusMisdirectedRequest {
		if _, err := httpbody.ReadAll(response, f.bufferSize()); err != nil {
			_ = response.Body.Close()
			if ctx.Err() == nil {
				f.Inventory.RecordRequestFailure(candidate.ID)
			}
			return answer{server: candidate.Server, err: err, ran: kind.RanUnknown}
		}
		a.ran = kind.RanNo
		return a
	}
	if err := f.checkSigned(response); err != nil {
		_ = response.Body.Close()
		f.Inventory.RecordRequestFailure(candidate.ID)
		return answer{server: candidate.Server, err: err, ran: kind.RanUnknown}
	}
	var err error
	a.head, a.hasMore, err = f.readHead(response)
	if err != nil {
		_ = response.Body.Close()
		return answer{server: candidate.Server, err: err, ran: kind.RanUnknown}
	}
	load := ParseLoad(response.Header.Get(f.Dialect.Load))
	switch {
	case isEventStream(response):
	case a.hasMore:
		f.Inventory.RecordLoad(candidate.ID, load)
	default:
		f.Inventory.RecordAnswer(candidate.ID, load)
	}
	return a
}

// checkSigned returns an error for a success without the server's signature. A faulty server may
// send bytes between two answers that look like one, and only the signature tells them apart.
func (f *Forwarder) checkSigned(response *http.Response) error {
	if f.Dialect.Signature == "" || !httpstatus.IsSuccess(response.StatusCode) || response.Header.Get(f.Dialect.Signature) != "" {
		return nil
	}
	return kind.New(kind.OutcomeUnknown, "server answered with status %d without a signature", response.StatusCode)
}

// recordFailure backs off a server that gave no answer. A server that can't be reached backs off
// for all work; otherwise the request may be the cause, and it backs off for requests only.
func (f *Forwarder) recordFailure(server string, err error) {
	if kind.Of(err).Ran == kind.RanNo {
		f.Inventory.RecordFailure(server)
		return
	}
	f.Inventory.RecordRequestFailure(server)
}

// readHead reads the body of an answer up to the buffer size, or nothing of an event stream.
func (f *Forwarder) readHead(response *http.Response) (head []byte, hasMore bool, err error) {
	if isEventStream(response) {
		return nil, true, nil
	}
	limit := f.bufferSize()
	head, err = io.ReadAll(io.LimitReader(response.Body, limit))
	return head, int64(len(head)) == limit, err
}

// bufferSize returns how many bytes of an answer may be buffered now.
func (f *Forwarder) bufferSize() int64 {
	return min(max(bufferMemory/max(f.inFlight.Load(), 1), minBufferBytes), maxBufferBytes)
}

// ParseLoad returns the total number of running and waiting requests from a server's load
// header. The two numbers are its first two comma-separated fields. ParseLoad returns -1
// if the header is absent or malformed.
func ParseLoad(header string) int {
	running, rest, ok := strings.Cut(header, ",")
	waiting, _, okWaiting := strings.Cut(rest, ",")
	if !ok || !okWaiting {
		return -1
	}
	r, errRunning := strconv.Atoi(strings.TrimSpace(running))
	w, errWaiting := strconv.Atoi(strings.TrimSpace(waiting))
	if errRunning != nil || errWaiting != nil || r < 0 || w < 0 {
		return -1
	}
	return r + w
}
