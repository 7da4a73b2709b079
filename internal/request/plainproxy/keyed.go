package plainproxy

import (
	"context"
	"io"
	"net/http"
	"time"

	"github.com/nutmegway/nutmegway/internal/base/kind"
	"github.com/nutmegway/nutmegway/internal/request/idempotency"
)

// maxKeyedTime bounds the time of a request with an idempotency key, because the key's
// record must outlive the request.
const maxKeyedTime = time.Hour

func earliest(a, b time.Time) time.Time {
	if a.Before(b) {
		return a
	}
	return b
}

// serveKeyed serves a request with an idempotency key, which runs at most once however
// often the caller sends it.
func (x *exchange) serveKeyed() error {
	key := x.r.Header.Get(HeaderIdempotencyKey)
	if len(key) > idempotency.MaxKeyBytes {
		return kind.New(kind.BadRequest, "the idempotency key has %d bytes, more than the limit of %d bytes", len(key), idempotency.MaxKeyBytes)
	}
	var err error
	if x.body, err = bufferBody(x.r, maxKeyedBodyBytes); err != nil {
		return err
	}
	d := x.document
	var oversized serverResponse
	result, err := x.proxy.Guard.Do(x.ctx, idempotency.Request{
		Deadline:    earliest(x.deadline, time.Now().Add(maxKeyedTime)),
		Fingerprint: idempotency.Fingerprint(x.r.Method, x.target, x.body.buffered),
		Retention:   d.Retry.KeepKeys,
		Key:         idempotency.Key{Service: d.Service.Name, Team: d.Service.Team, Value: key},
	}, func(ctx context.Context) (idempotency.Answer, error) {
		got, err := x.send(ctx)
		if err != nil {
			return idempotency.Answer{}, err
		}
		return readAnswer(got, &oversized)
	})
	if oversized.close != nil {
		defer oversized.close()
	}
	if err != nil {
		return err
	}
	if result.Replayed {
		x.w.Header().Set(HeaderReplayed, "true")
	}
	writeHeader(x.w, result.Answer.Header, result.Answer.Status)
	_, err = x.w.Write(result.Answer.Body)
	if err == nil && oversized.response != nil {
		err = copyBody(x.w, oversized.response.Body, true)
	}
	if err != nil {
		// The caller got only a part of the response. It can repeat the request with the
		// same key to get the recorded response, unless that was too large to be recorded.
		if oversized.response != nil {
			x.abort(oversized, err)
		}
		panic(http.ErrAbortHandler)
	}
	return nil
}

// readAnswer returns the response as an answer to be recorded, and closes it. If its body
// is longer than idempotency.MaxAnswerBytes, the answer is marked as too large and contains
// only the first MaxAnswerBytes+1 bytes. The response is then stored in oversized and stays
// open: the caller streams the remaining body and closes it. If the body can't be read,
// readAnswer closes the response and returns an error of kind outcome-unknown.
func readAnswer(got serverResponse, oversized *serverResponse) (idempotency.Answer, error) {
	body, err := io.ReadAll(io.LimitReader(got.response.Body, idempotency.MaxAnswerBytes+1))
	if err != nil {
		got.close()
		return idempotency.Answer{}, kind.New(kind.OutcomeUnknown, "the response of backend server %q was cut after %d bytes: %v", got.server, len(body), err)
	}
	answer := idempotency.Answer{
		Body:     body,
		Header:   got.response.Header,
		Status:   got.response.StatusCode,
		TooLarge: len(body) > idempotency.MaxAnswerBytes,
	}
	if answer.TooLarge {
		*oversized = got
	} else {
		got.close()
	}
	return answer, nil
}
