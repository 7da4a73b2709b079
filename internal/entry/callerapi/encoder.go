package callerapi

import (
	"encoding/json"
	"net/http"
	"strings"
	"time"

	"github.com/google/uuid"

	"github.com/nutmegway/nutmegway/internal/base/httperror"
	"github.com/nutmegway/nutmegway/internal/request/dispatch"
)

// completion is a whole answer or one chunk of a stream in the format of the published
// interface, extended by the weight versions.
type completion struct {
	Choices []choice `json:"choices"`
	Created int64    `json:"created"`
	ID      string   `json:"id"`
	Model   string   `json:"model"`
	Object  string   `json:"object"`
	Usage   *usage   `json:"usage,omitempty"`
	// WeightVersions are the weight versions that produced the tokens, in the order of the
	// tokens.
	WeightVersions []versionSpan `json:"weight_versions"`
}

type choice struct {
	Delta        *message `json:"delta,omitempty"`
	FinishReason *string  `json:"finish_reason"`
	Index        int      `json:"index"`
	Message      *message `json:"message,omitempty"`
	Text         *string  `json:"text,omitempty"`
}

type usage struct {
	CompletionTokens int `json:"completion_tokens"`
}

// versionSpan is the range of tokens from From up to, but not including, To that a weight
// version produced.
type versionSpan struct {
	From    int   `json:"from"`
	To      int   `json:"to"`
	Version int64 `json:"version"`
}

// encoder writes the answer of one request.
type encoder struct {
	created      int64
	finishReason string
	id           string
	model        string
	format       completionFormat
	spans        []versionSpan
	started      bool
	stream       bool
	text         strings.Builder
	tokens       int
}

func newEncoder(format completionFormat, request completionRequest) *encoder {
	return &encoder{
		created: time.Now().Unix(),
		id:      "cmpl-" + uuid.NewString(),
		model:   request.Model,
		format:  format,
		stream:  request.Stream,
	}
}

// writeChunk sends a chunk as an event. The first one also sends the header.
func (e *encoder) writeChunk(w http.ResponseWriter, chunk dispatch.Chunk) error {
	if !e.started {
		w.Header().Set("Content-Type", "text/event-stream")
		w.Header().Set("Cache-Control", "no-store")
		e.started = true
	}
	span := versionSpan{From: e.tokens, To: e.tokens + chunk.Tokens, Version: chunk.Version}
	e.tokens += chunk.Tokens
	event := completion{
		Choices:        []choice{e.chunkChoice(chunk)},
		Created:        e.created,
		ID:             e.id,
		Model:          e.model,
		Object:         e.format.chunkObject,
		WeightVersions: []versionSpan{span},
	}
	return writeEvent(w, event)
}

func (e *encoder) chunkChoice(chunk dispatch.Chunk) choice {
	var c choice
	if chunk.FinishReason != "" {
		c.FinishReason = &chunk.FinishReason
	}
	if e.format.chat {
		c.Delta = &message{Content: chunk.Text, Role: "assistant"}
		return c
	}
	c.Text = &chunk.Text
	return c
}

// writeEnd sends the event that ends a complete stream.
func (e *encoder) writeEnd(w http.ResponseWriter) error {
	_, err := w.Write([]byte("data: [DONE]\n\n"))
	return err
}

// writeError sends an error as the last event of a stream that has already started.
func (e *encoder) writeError(w http.ResponseWriter, body httperror.Body) {
	if _, err := w.Write([]byte("event: error\n")); err != nil {
		return
	}
	// The error is ignored: if the write fails, no error can be sent either.
	_ = writeEvent(w, body)
}

// collect appends a chunk to an answer that isn't streamed and merges adjacent spans of
// the same weight version.
func (e *encoder) collect(chunk dispatch.Chunk) {
	e.text.WriteString(chunk.Text)
	e.finishReason = chunk.FinishReason
	from := e.tokens
	e.tokens += chunk.Tokens
	if n := len(e.spans); n > 0 && e.spans[n-1].Version == chunk.Version {
		e.spans[n-1].To = e.tokens
		return
	}
	e.spans = append(e.spans, versionSpan{From: from, To: e.tokens, Version: chunk.Version})
}

// completion returns the whole answer from the collected chunks.
func (e *encoder) completion() completion {
	text := e.text.String()
	c := choice{FinishReason: &e.finishReason}
	if e.format.chat {
		c.Message = &message{Content: text, Role: "assistant"}
	} else {
		c.Text = &text
	}
	return completion{
		Choices:        []choice{c},
		Created:        e.created,
		ID:             e.id,
		Model:          e.model,
		Object:         e.format.object,
		Usage:          &usage{CompletionTokens: e.tokens},
		WeightVersions: e.spans,
	}
}

// writeEvent sends value as the data of a server-sent event.
func writeEvent(w http.ResponseWriter, value any) error {
	data, err := json.Marshal(value)
	if err != nil {
		return err
	}
	event := make([]byte, 0, len("data: ")+len(data)+len("\n\n"))
	event = append(event, "data: "...)
	event = append(event, data...)
	event = append(event, "\n\n"...)
	_, err = w.Write(event)
	return err
}
