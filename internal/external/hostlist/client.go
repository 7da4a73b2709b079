package hostlist

import (
	"context"
	"encoding/json"
	"net/http"
	"strconv"
	"time"

	"github.com/zeebo/errs"

	"github.com/nutmegway/nutmegway/internal/base/httpbody"
	"github.com/nutmegway/nutmegway/internal/base/httpconn"
	"github.com/nutmegway/nutmegway/internal/base/kind"
)

var classError = errs.Class("hostlist")

var _ Reader = Client{}

const (
	// DefaultTimeout bounds a read if its Client sets no timeout.
	DefaultTimeout = 5 * time.Second

	maxListBytes = 16 << 20
)

// Client is a Reader that calls the platform's service over HTTP.
type Client struct {
	// BaseURL is the address of the service, such as http://192.0.2.1:8080.
	BaseURL string
	// HTTP sends the requests; nil means httpconn.DefaultClient.
	HTTP *http.Client
	// Timeout bounds each read. Zero means DefaultTimeout.
	Timeout time.Duration
}

// Read returns the list if its revision is above after, else an empty list
// with the current revision. Every error is of kind unavailable.
func (c Client) Read(ctx context.Context, after int64) (List, error) {
	list, err := c.read(ctx, after)
	if err != nil {
		return List{}, kind.Wrap(kind.Unavailable, classError.Wrap(err))
	}
	return list, nil
}

func (c Client) read(ctx context.Context, after int64) (List, error) {
	timeout := c.Timeout
	if timeout == 0 {
		timeout = DefaultTimeout
	}
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	url := c.BaseURL + "/v1/hosts?after=" + strconv.FormatInt(after, 10)
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, url, http.NoBody)
	if err != nil {
		return List{}, err
	}
	client := c.HTTP
	if client == nil {
		client = httpconn.DefaultClient
	}
	response, err := client.Do(request)
	if err != nil {
		return List{}, err
	}
	defer func() { _ = response.Body.Close() }()
	if response.StatusCode != http.StatusOK {
		return List{}, errs.New("GET %s: status %d, want %d", url, response.StatusCode, http.StatusOK)
	}
	data, err := httpbody.ReadAll(response, maxListBytes)
	if err != nil {
		return List{}, err
	}
	var list List
	err = json.Unmarshal(data, &list)
	return list, err
}
