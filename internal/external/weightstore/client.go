package weightstore

import (
	"bytes"
	"context"
	"encoding/json"
	"net/http"
	"net/url"
	"strconv"
	"time"

	"github.com/zeebo/errs"

	"github.com/nutmegway/nutmegway/internal/base/httpbody"
	"github.com/nutmegway/nutmegway/internal/base/httpconn"
	"github.com/nutmegway/nutmegway/internal/base/httpstatus"
	"github.com/nutmegway/nutmegway/internal/base/kind"
)

var classError = errs.Class("weightstore")

var _ Store = Client{}

const (
	// DefaultTimeout bounds a call if its Client sets no timeout.
	DefaultTimeout = 5 * time.Second

	defaultRetryAfter = time.Second
	maxReplyBytes     = 16 << 20
)

// Client calls the weight store over HTTP.
type Client struct {
	// BaseURL is the address of the store, such as http://192.0.2.1:8080.
	BaseURL string
	// HTTP sends the requests; nil means httpconn.DefaultClient.
	HTTP *http.Client
	// Timeout bounds each call. Zero means DefaultTimeout.
	Timeout time.Duration
}

// Publish registers version. Publishing the same version again returns nil. If the
// store has another version with this number, the error has kind conflict. If the
// store is at its rate limit, the error has kind overloaded and says when to retry.
func (c Client) Publish(ctx context.Context, version Version) error {
	body, err := json.Marshal(version)
	if err != nil {
		return kind.Wrap(kind.BadRequest, classError.Wrap(err))
	}
	return c.call(ctx, http.MethodPost, version.Model, body, nil)
}

// Versions returns the versions of model, oldest first. If the store is at its rate
// limit, the error has kind overloaded and says when to retry.
func (c Client) Versions(ctx context.Context, model string) ([]Version, error) {
	var versions []Version
	if err := c.call(ctx, http.MethodGet, model, nil, &versions); err != nil {
		return nil, err
	}
	return versions, nil
}

func (c Client) call(ctx context.Context, method, model string, body []byte, reply any) error {
	timeout := c.Timeout
	if timeout == 0 {
		timeout = DefaultTimeout
	}
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	target := c.BaseURL + "/v1/models/" + url.PathEscape(model) + "/versions"
	request, err := http.NewRequestWithContext(ctx, method, target, bytes.NewReader(body))
	if err != nil {
		return kind.Wrap(kind.BadRequest, classError.Wrap(err))
	}
	if method == http.MethodPost {
		request.Header.Set("Content-Type", "application/json")
	}
	client := c.HTTP
	if client == nil {
		client = httpconn.DefaultClient
	}
	response, err := client.Do(request)
	if err != nil {
		return kind.Wrap(kind.Unavailable, classError.Wrap(err))
	}
	defer func() { _ = response.Body.Close() }()
	data, err := httpbody.ReadAll(response, maxReplyBytes)
	if err != nil {
		return kind.Wrap(kind.Unavailable, classError.Wrap(err))
	}
	if err := statusError(response); err != nil || reply == nil {
		return err
	}
	return kind.Wrap(kind.Unavailable, classError.Wrap(json.Unmarshal(data, reply)))
}

// statusError converts the HTTP status of a response to an error, or to nil if the
// call succeeded.
func statusError(response *http.Response) error {
	switch {
	case response.StatusCode == http.StatusTooManyRequests:
		wait := defaultRetryAfter
		if seconds, err := strconv.Atoi(response.Header.Get("Retry-After")); err == nil {
			wait = time.Duration(seconds) * time.Second
		}
		return kind.New(kind.Overloaded, "the weight store is at its rate limit; retry after %s", wait).WithRetryAfter(wait)
	case response.StatusCode == http.StatusNotFound:
		return kind.New(kind.NotFound, "the weight store has no such model")
	case response.StatusCode == http.StatusConflict:
		return kind.New(kind.Conflict, "the weight store already has a different version with this number")
	case !httpstatus.IsSuccess(response.StatusCode):
		return kind.New(kind.Unavailable, "weight store: status %03d, want one of the class 2xx", response.StatusCode)
	default:
		return nil
	}
}
