package callerapi

import (
	"context"
	"encoding/json"
	"errors"
	"io"
	"log/slog"
	"net/http"
	"strings"
	"time"

	"github.com/google/uuid"
	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/trace"

	"github.com/nutmegway/nutmegway/internal/backend/engine"
	"github.com/nutmegway/nutmegway/internal/base/httperror"
	"github.com/nutmegway/nutmegway/internal/base/kind"
	"github.com/nutmegway/nutmegway/internal/fleet/document"
	"github.com/nutmegway/nutmegway/internal/request/dispatch"
)

// defaultMaxTokens is the limit on an answer's tokens if the request sets none.
const defaultMaxTokens = 256

// maxMaxTokens is the highest value of max_tokens that a request may set.
const maxMaxTokens = 1 << 20

// completionRequest holds the supported fields of requests for completions and chat
// completions. The names are those of the published interface.
type completionRequest struct {
	MaxTokens int       `json:"max_tokens"`
	Messages  []message `json:"messages"`
	Model     string    `json:"model"`
	Prompt    string    `json:"prompt"`
	Seed      int64     `json:"seed"`
	Stream    bool      `json:"stream"`
}

type message struct {
	Content string `json:"content"`
	Role    string `json:"role"`
}

// completionFormat holds what differs between the formats of completions and chat
// completions.
type completionFormat struct {
	chat        bool
	chunkObject string
	object      string
}

var (
	chatFormat = completionFormat{chat: true, chunkObject: "chat.completion.chunk", object: "chat.completion"}
	textFormat = completionFormat{chunkObject: "text_completion", object: "text_completion"}
)

func (h *Handler) chatCompletions(w http.ResponseWriter, r *http.Request) {
	h.generate(w, r, chatFormat)
}

func (h *Handler) completions(w http.ResponseWriter, r *http.Request) {
	h.generate(w, r, textFormat)
}

func (h *Handler) generate(w http.ResponseWriter, r *http.Request, format completionFormat) {
	ctx := r.Context()
	request, err := decodeRequest(w, r, format)
	if err != nil {
		h.refuse(ctx, w, r, err)
		return
	}
	trace.SpanFromContext(ctx).SetAttributes(attribute.String("service", request.Model))
	accepted, ok := h.Documents.Document(request.Model)
	if !ok || accepted.Document.Service.Kind != document.KindModelEngine {
		h.refuse(ctx, w, r, kind.New(kind.NotFound, "no model service %q", request.Model))
		return
	}
	callDeadline, err := parseDeadline(r, time.Now(), accepted.Document.Admission.CheckDeadline)
	if err != nil {
		h.refuse(ctx, w, r, err)
		return
	}
	ctx, cancel := context.WithDeadline(ctx, callDeadline)
	defer cancel()
	stream, err := h.Dispatcher.Dispatch(ctx, newCall(request, accepted.Document, callDeadline))
	if err != nil {
		h.refuse(ctx, w, r, err)
		return
	}
	defer closeStream(stream)
	h.respond(ctx, w, r, stream, newEncoder(format, request))
}

// respond writes the answer. An error before the first byte of the answer is sent as an
// error response with its own status. A later error is sent as the last event of the stream.
func (h *Handler) respond(ctx context.Context, w http.ResponseWriter, r *http.Request, stream dispatch.Stream, e *encoder) {
	var err error
	if e.stream {
		err = writeStream(w, stream, e)
	} else {
		err = writeCompletion(w, stream, e)
	}
	if err == nil {
		h.Logger.DebugContext(ctx, "request answered", slog.String("request-id", requestID(r)), slog.Int("tokens", e.tokens))
		return
	}
	if e.stream && e.started {
		e.writeError(w, httperror.New(err))
		h.logRefusal(ctx, r, err)
		return
	}
	h.refuse(ctx, w, r, err)
}

func (h *Handler) refuse(ctx context.Context, w http.ResponseWriter, r *http.Request, err error) {
	h.logRefusal(ctx, r, err)
	httperror.Write(w, err)
}

func (h *Handler) logRefusal(ctx context.Context, r *http.Request, err error) {
	e := kind.Of(err)
	h.Logger.InfoContext(ctx, "request refused",
		slog.String("request-id", requestID(r)),
		slog.String("kind", string(e.Kind)),
		slog.String("ran", string(e.Ran)),
		slog.String("error", e.Message))
}

func decodeRequest(w http.ResponseWriter, r *http.Request, format completionFormat) (completionRequest, error) {
	var request completionRequest
	err := json.NewDecoder(http.MaxBytesReader(w, r.Body, MaxBodyBytes)).Decode(&request)
	var tooLarge *http.MaxBytesError
	switch {
	case errors.As(err, &tooLarge):
		return request, kind.New(kind.TooLarge, "the body exceeds the limit of %d bytes", tooLarge.Limit)
	case err != nil:
		return request, kind.New(kind.BadRequest, "the body is not a completion request in JSON: %s", err)
	}
	if request.MaxTokens == 0 {
		request.MaxTokens = defaultMaxTokens
	}
	if request.MaxTokens < 0 || request.MaxTokens > maxMaxTokens {
		return request, kind.New(kind.BadRequest, "max_tokens is %d, allowed: 1 to %d", request.MaxTokens, maxMaxTokens)
	}
	if format.chat {
		request.Prompt = chatPrompt(request.Messages)
	}
	if request.Prompt == "" {
		return request, kind.New(kind.BadRequest, "the prompt of the request is empty")
	}
	return request, nil
}

// chatPrompt joins the messages of a chat into the prompt of a completion.
func chatPrompt(messages []message) string {
	var b strings.Builder
	for _, m := range messages {
		b.WriteString(m.Role)
		b.WriteString(": ")
		b.WriteString(m.Content)
		b.WriteByte('\n')
	}
	return b.String()
}

// newCall returns the dispatcher's call for a request. The call gets an id of its own, so
// that two callers that use the same request id never share an answer.
func newCall(request completionRequest, d document.Document, deadline time.Time) dispatch.Call {
	return dispatch.Call{
		Class:    dispatch.ClassCheck,
		Deadline: deadline,
		Request: engine.Request{
			ID:        uuid.NewString(),
			MaxTokens: request.MaxTokens,
			Model:     request.Model,
			Prompt:    request.Prompt,
			Seed:      request.Seed,
		},
		Service: request.Model,
		Share:   d.Service.Team,
		Team:    d.Service.Team,
	}
}

// writeStream sends each chunk as it arrives. The status line is sent with the first
// chunk, so that an error before that chunk can still be sent with its own status.
func writeStream(w http.ResponseWriter, stream dispatch.Stream, e *encoder) error {
	flusher := http.NewResponseController(w)
	for {
		chunk, err := stream.Next()
		if errors.Is(err, io.EOF) {
			return e.writeEnd(w)
		}
		if err != nil {
			return err
		}
		if err := e.writeChunk(w, chunk); err != nil {
			return kind.Wrap(kind.Cancelled, err)
		}
		if err := flusher.Flush(); err != nil {
			return kind.Wrap(kind.Cancelled, err)
		}
	}
}

// writeCompletion sends the whole answer once the generation has ended.
func writeCompletion(w http.ResponseWriter, stream dispatch.Stream, e *encoder) error {
	for {
		chunk, err := stream.Next()
		if errors.Is(err, io.EOF) {
			writeJSON(w, e.completion())
			return nil
		}
		if err != nil {
			return err
		}
		e.collect(chunk)
	}
}

// closeStream ends the generation. The error is ignored because Next has already
// reported the outcome.
func closeStream(stream dispatch.Stream) {
	_ = stream.Close()
}
