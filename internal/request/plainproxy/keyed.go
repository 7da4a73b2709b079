package plainproxy

import (
	"context"
	"io"
	"net/http"
	"time"

	"github.com/nutmegway/nutmegway/internal/base/kind"
	"github.com/nutmegway/nutmegway/internal/request/idempotency"
)

// longestKeyed bounds the time of a request with a key, since its record must
// outlive it.
const longestKeyed = time.Hour

func earlier(a, b time.Time) time.Time {
	if a.Before(b) {
		return a
	}
	return b
}

// serveKeyed answers a request with an idempotency key, which runs at most once
// however often it is sent.
func (x *exchange) serveKeyed() error {
	key := x.r.Header.Get(HeaderIdempotencyKey)
	if len(key) > idempotency.MaxKeyBytes {
		return kind.New(kind.BadRequest, "the idempotency key has more than %d bytes", idempotency.MaxKeyBytes)
	}
	var err error
	if x.body, err = hold(x.r, keyedBytes); err != nil {
		return err
	}
	d := x.document
	var rest answered
	result, err := x.proxy.Guard.Do(x.ctx, idempotency.Request{
		Deadline:    earlier(x.deadline, time.Now().Add(longestKeyed)),
		Fingerprint: idempotency.Fingerprint(x.r.Method, x.target, x.body.held),
		Retention:   d.Retry.KeepKeys,
		Key:         idempotency.Key{Service: d.Service.Name, Team: d.Service.Team, Value: key},
	}, func(ctx context.Context) (idempotency.Answer, error) {
		got, err := x.send(ctx)
		if err != nil {
			return idempotency.Answer{}, err
		}
		return collect(got, &rest)
	})
	if rest.end != nil {
		defer rest.end()
	}
	if err != nil {
		return err
	}
	if result.Replayed {
		x.w.Header().Set(HeaderReplayed, "true")
	}
	writeHeader(x.w, result.Answer.Header, result.Answer.Status)
	_, err = x.w.Write(result.Answer.Body)
	if err == nil && rest.response != nil {
		err = stream(x.w, rest.response.Body, true)
	}
	if err != nil {
		// The answer does not reach the caller whole; a repeat gets it.
		panic(http.ErrAbortHandler)
	}
	return nil
}

// collect reads an answer up to the limit of what is recorded. A longer one
// leaves the rest to be streamed.
func collect(got answered, rest *answered) (idempotency.Answer, error) {
	body, err := io.ReadAll(io.LimitReader(got.response.Body, idempotency.MaxAnswerBytes+1))
	if err != nil {
		got.end()
		return idempotency.Answer{}, kind.New(kind.OutcomeUnknown, "the server cut its answer short")
	}
	answer := idempotency.Answer{
		Body:     body,
		Header:   got.response.Header,
		Status:   got.response.StatusCode,
		TooLarge: len(body) > idempotency.MaxAnswerBytes,
	}
	if answer.TooLarge {
		*rest = got
	} else {
		got.end()
	}
	return answer, nil
}
