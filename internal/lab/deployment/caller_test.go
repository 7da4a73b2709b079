package deployment_test

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"
	"go.uber.org/goleak"

	"github.com/nutmegway/nutmegway/internal/base/httperror"
	"github.com/nutmegway/nutmegway/internal/base/kind"
	"github.com/nutmegway/nutmegway/internal/lab/deployment"
	standinengine "github.com/nutmegway/nutmegway/internal/standin/engine"
	standinplain "github.com/nutmegway/nutmegway/internal/standin/plain"
)

func smallShape() deployment.Shape {
	shape := deployment.Brazos()
	shape.Engines, shape.Nodes, shape.Plains = 2, 2, 1
	return shape
}

// TestCallers sends well-formed and malformed requests to a deployment, and checks that
// no goroutine outlives it.
func TestCallers(t *testing.T) {
	defer goleak.VerifyNone(t, goleak.IgnoreCurrent())
	client := &http.Client{Transport: &http.Transport{}}
	defer client.CloseIdleConnections()
	defer http.DefaultClient.CloseIdleConnections()
	d := &deployment.Deployment{
		Configure: func(_ int, e *standinengine.Engine) { e.TokensPerSecond = 20_000 },
		Shape:     smallShape(),
	}
	err := d.Run(t.Context(), func(ctx context.Context) error {
		c := callers{client: client, ctx: ctx, deployment: d}
		t.Run("stream", c.stream)
		t.Run("refusals", c.refusals)
		t.Run("stream closed by the caller", c.closedStream)
		t.Run("truncated body", c.truncatedBody)
		t.Run("connection reset by the backend server", c.resetConnection)
		return nil
	})
	is.New(t).NoErr(err)
}

type callers struct {
	client     *http.Client
	ctx        context.Context //nolint:containedctx // It ends with the deployment under test.
	deployment *deployment.Deployment
}

func (c callers) url(path string) string {
	return "http://" + c.deployment.Nodes[0].CallerAddress + path
}

func (c callers) post(t *testing.T, path string, header http.Header, body io.Reader) *http.Response {
	t.Helper()
	request, err := http.NewRequestWithContext(c.ctx, http.MethodPost, c.url(path), body)
	if err != nil {
		t.Fatal(err)
	}
	for name, values := range header {
		request.Header[name] = values
	}
	response, err := c.client.Do(request)
	if err != nil {
		t.Fatal(err)
	}
	return response
}

// stream reads 2,000 tokens through an entry host and compares them with what
// the engine must produce.
func (c callers) stream(t *testing.T) {
	is := is.New(t)
	prompt, seed := "Write a long assessment.", longSeed("Write a long assessment.", 2000)
	want, tokens := standinengine.ExpectedCompletion(prompt, seed, 2000)
	is.Equal(tokens, 2000)
	body := fmt.Sprintf(`{"model":"reviewer","prompt":%q,"seed":%d,"max_tokens":2000,"stream":true}`, prompt, seed)
	response := c.post(t, "/v1/completions", nil, strings.NewReader(body))
	defer func() { _ = response.Body.Close() }()
	is.Equal(response.StatusCode, http.StatusOK)
	text, done := readEvents(response.Body)
	is.True(done)
	is.Equal(text, want)
}

// longSeed returns a seed for which the engine produces the given number of tokens.
func longSeed(prompt string, tokens int) int64 {
	seed := int64(0)
	for {
		if _, n := standinengine.ExpectedCompletion(prompt, seed, tokens); n == tokens {
			return seed
		}
		seed++
	}
}

func readEvents(r io.Reader) (text string, done bool) {
	var b strings.Builder
	scanner := bufio.NewScanner(r)
	scanner.Buffer(nil, 1<<20)
	for scanner.Scan() {
		data, ok := strings.CutPrefix(scanner.Text(), "data: ")
		if !ok {
			continue
		}
		if data == "[DONE]" {
			return b.String(), true
		}
		var event struct {
			Choices []struct {
				Text string `json:"text"`
			} `json:"choices"`
		}
		if err := json.Unmarshal([]byte(data), &event); err == nil && len(event.Choices) == 1 {
			b.WriteString(event.Choices[0].Text)
		}
	}
	return b.String(), false
}

func (c callers) refusals(t *testing.T) {
	past := time.Now().Add(-time.Second).Format(time.RFC3339Nano)
	for _, tt := range []struct {
		body   string
		header http.Header
		kind   kind.Kind
		name   string
		path   string
		status int
	}{
		{name: "body over the limit", path: "/v1/completions", body: `{"prompt":"` + strings.Repeat("a", 9<<20) + `"}`, kind: kind.TooLarge, status: http.StatusRequestEntityTooLarge},
		{name: "deadline passed", path: "/v1/completions", body: `{"model":"reviewer","prompt":"a"}`, header: http.Header{httperror.HeaderDeadline: {past}}, kind: kind.DeadlineUnmet, status: http.StatusServiceUnavailable},
		{name: "malformed deadline", path: "/v1/completions", body: `{"model":"reviewer","prompt":"a"}`, header: http.Header{httperror.HeaderDeadline: {"soon"}}, kind: kind.BadRequest, status: http.StatusBadRequest},
		{name: "header of 10 MB", path: "/v1/completions", body: `{}`, header: http.Header{"X-Long": {strings.Repeat("a", 10<<20)}}, status: http.StatusRequestHeaderFieldsTooLarge},
		{name: "malformed JSON", path: "/v1/completions", body: `prompt`, kind: kind.BadRequest, status: http.StatusBadRequest},
		{name: "no prompt", path: "/v1/chat/completions", body: `{"model":"reviewer"}`, kind: kind.BadRequest, status: http.StatusBadRequest},
		{name: "unknown path", path: "/v2/completions", body: `{}`, kind: kind.NotFound, status: http.StatusNotFound},
		{name: "unknown service", path: "/v1/completions", body: `{"model":"absent","prompt":"a"}`, kind: kind.NotFound, status: http.StatusNotFound},
	} {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			response := c.postOnce(t, tt.path, tt.header, tt.body)
			defer func() { _ = response.Body.Close() }()
			is.Equal(response.StatusCode, tt.status)
			if tt.kind == "" {
				return
			}
			var body httperror.Body
			is.NoErr(json.NewDecoder(response.Body).Decode(&body))
			is.Equal(body.Error.Kind, tt.kind)
			is.Equal(body.Error.Ran, kind.RanNo)
		})
	}
}

// postOnce sends a request over a new connection and reads the response even if the
// server has stopped reading the request.
func (c callers) postOnce(t *testing.T, path string, header http.Header, body string) *http.Response {
	t.Helper()
	request, err := http.NewRequestWithContext(c.ctx, http.MethodPost, c.url(path), strings.NewReader(body))
	if err != nil {
		t.Fatal(err)
	}
	for name, values := range header {
		request.Header[name] = values
	}
	request.Close = true
	conn, err := (&net.Dialer{}).DialContext(c.ctx, "tcp", c.deployment.Nodes[0].CallerAddress)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = conn.Close() })
	// The server may close its side before the request is sent completely; only its
	// response matters.
	_ = request.Write(conn)
	response, err := http.ReadResponse(bufio.NewReader(conn), request)
	if err != nil {
		t.Fatal(err)
	}
	return response
}

// closedStream closes a stream partway and expects the engine to cancel the run.
func (c callers) closedStream(t *testing.T) {
	is := is.New(t)
	ctx, cancel := context.WithCancel(c.ctx)
	prompt := "Leave early."
	body := fmt.Sprintf(`{"model":"reviewer","prompt":%q,"seed":%d,"max_tokens":200000,"stream":true}`, prompt, longSeed(prompt, 200_000))
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, c.url("/v1/completions"), strings.NewReader(body))
	is.NoErr(err)
	response, err := c.client.Do(request)
	is.NoErr(err)
	_, err = io.ReadFull(response.Body, make([]byte, 1000))
	is.NoErr(err)
	cancel()
	_ = response.Body.Close()
	is.NoErr(eventually(c.ctx, func() bool {
		for _, engine := range c.deployment.Engines {
			for _, runs := range engine.GroundTruth().Runs {
				if runs[0].Prompt == prompt {
					return runs[0].Cancelled
				}
			}
		}
		return false
	}))
}

// truncatedBody sends less than its Content-Length and expects status 400.
func (c callers) truncatedBody(t *testing.T) {
	is := is.New(t)
	conn, err := (&net.Dialer{}).DialContext(c.ctx, "tcp", c.deployment.Nodes[0].CallerAddress)
	is.NoErr(err)
	defer func() { _ = conn.Close() }()
	_, err = io.WriteString(conn, "POST /v1/completions HTTP/1.1\r\nHost: a\r\nContent-Length: 100\r\n\r\n{\"model\":")
	is.NoErr(err)
	tcp, ok := conn.(*net.TCPConn)
	is.True(ok)
	is.NoErr(tcp.CloseWrite())
	response, err := http.ReadResponse(bufio.NewReader(conn), nil)
	is.NoErr(err)
	defer func() { _ = response.Body.Close() }()
	is.Equal(response.StatusCode, http.StatusBadRequest)
}

// resetConnection uploads a chunked body to a plain server that resets the connection,
// and expects the error to say that the booking may have run.
func (c callers) resetConnection(t *testing.T) {
	is := is.New(t)
	header := http.Header{standinplain.HeaderFault: {string(standinplain.FaultReset)}}
	body := io.MultiReader(strings.NewReader(`{"booking-id":"a`), bytes.NewReader(bytes.Repeat([]byte("a"), 1<<16)), strings.NewReader(`"}`))
	response := c.post(t, "/v1/plain/records/bookings", header, body)
	defer func() { _ = response.Body.Close() }()
	var answer httperror.Body
	is.NoErr(json.NewDecoder(response.Body).Decode(&answer))
	is.Equal(answer.Error.Ran, kind.RanUnknown)
}

var errConditionNotMet = errors.New("condition not met within 20 s")

// eventually polls done until it returns true, for at most 20 seconds.
func eventually(ctx context.Context, done func() bool) error {
	ctx, cancel := context.WithTimeout(ctx, 20*time.Second)
	defer cancel()
	for !done() {
		if ctx.Err() != nil {
			return errConditionNotMet
		}
		time.Sleep(5 * time.Millisecond)
	}
	return nil
}
