// Package trainerapi serves trainers over HTTP: they order groups, read their
// stream of samples and publish weight versions, on any entry host.
package trainerapi

import (
	"context"
	"encoding/json"
	"errors"
	"io"
	"log/slog"
	"net/http"
	"strconv"
	"time"

	"github.com/nutmegway/nutmegway/internal/base/kind"
	"github.com/nutmegway/nutmegway/internal/base/refusal"
	"github.com/nutmegway/nutmegway/internal/rollout/owner/ownerpb"
	"github.com/nutmegway/nutmegway/internal/rollout/sample"
)

const (
	// maxBody bounds the body of a request.
	maxBody = 1 << 20
	// readLimit is the number of lines of one answer. The trainer asks again
	// with its new cursor, which says what it has.
	readLimit = 512
	// readWait is how long an answer without further samples stays open.
	readWait = 10 * time.Second
	// maxReadWait bounds the time that a trainer may ask for.
	maxReadWait = time.Minute
)

// Owner carries requests out on the owner of the trainer's stream.
type Owner interface {
	Handle(ctx context.Context, request *ownerpb.Request, emit func(lines []byte) error) error
}

// Handler serves the paths below /v1/services/{service}/trainers/{trainer}/.
// The fields are set before the first request.
type Handler struct {
	Logger *slog.Logger
	Owner  Owner
}

// Mux returns the handler for the trainers' paths.
func (h *Handler) Mux() *http.ServeMux {
	const base = "/v1/services/{service}/trainers/{trainer}/"
	mux := http.NewServeMux()
	mux.HandleFunc("DELETE "+base+"groups/{group}", h.cancel)
	mux.HandleFunc("GET "+base+"samples", h.read)
	mux.HandleFunc("POST "+base+"groups", h.submit)
	mux.HandleFunc("POST "+base+"versions", h.publish)
	return mux
}

func request(r *http.Request, operation ownerpb.Operation, body []byte) *ownerpb.Request {
	return &ownerpb.Request{
		Body:      body,
		Operation: operation,
		Service:   r.PathValue("service"),
		Trainer:   r.PathValue("trainer"),
	}
}

// accepted is the body of the answer to an accepted order.
type accepted struct {
	Accepted bool   `json:"accepted"`
	ID       string `json:"id"`
}

func (h *Handler) submit(w http.ResponseWriter, r *http.Request) {
	body, err := readBody(w, r)
	if err != nil {
		refusal.Write(w, err)
		return
	}
	var group sample.Group
	if err := json.Unmarshal(body, &group); err != nil {
		refusal.Write(w, kind.Wrap(kind.BadRequest, err))
		return
	}
	if err := group.Validate(); err != nil {
		refusal.Write(w, err)
		return
	}
	if err := h.Owner.Handle(r.Context(), request(r, ownerpb.Operation_OPERATION_SUBMIT, body), noLines); err != nil {
		refusal.Write(w, err)
		return
	}
	writeJSON(w, http.StatusAccepted, accepted{Accepted: true, ID: group.ID})
}

func (h *Handler) cancel(w http.ResponseWriter, r *http.Request) {
	body := []byte(r.PathValue("group"))
	if err := h.Owner.Handle(r.Context(), request(r, ownerpb.Operation_OPERATION_CANCEL, body), noLines); err != nil {
		refusal.Write(w, err)
		return
	}
	w.WriteHeader(http.StatusNoContent)
}

func (h *Handler) publish(w http.ResponseWriter, r *http.Request) {
	body, err := readBody(w, r)
	if err != nil {
		refusal.Write(w, err)
		return
	}
	if err := h.Owner.Handle(r.Context(), request(r, ownerpb.Operation_OPERATION_PUBLISH, body), noLines); err != nil {
		refusal.Write(w, err)
		return
	}
	writeJSON(w, http.StatusAccepted, json.RawMessage(body))
}

// read streams samples. An answer that ends is continued with a new request
// from the trainer's cursor.
func (h *Handler) read(w http.ResponseWriter, r *http.Request) {
	ask := request(r, ownerpb.Operation_OPERATION_READ, nil)
	if err := parseRead(r, ask); err != nil {
		refusal.Write(w, err)
		return
	}
	var started bool
	control := http.NewResponseController(w)
	begin := func() {
		started = true
		w.Header().Set("Content-Type", "application/x-ndjson")
		w.WriteHeader(http.StatusOK)
	}
	err := h.Owner.Handle(r.Context(), ask, func(lines []byte) error {
		if !started {
			begin()
		}
		if _, err := w.Write(lines); err != nil {
			return kind.Wrap(kind.Cancelled, err)
		}
		return control.Flush()
	})
	switch {
	case err == nil && !started:
		begin()
	case err != nil && !started:
		refusal.Write(w, err)
	case err != nil:
		h.Logger.DebugContext(r.Context(), "a read ended early", slog.Any("error", err))
	}
}

func parseRead(r *http.Request, ask *ownerpb.Request) error {
	query := r.URL.Query()
	ask.Limit, ask.WaitMillis = readLimit, readWait.Milliseconds()
	if text := query.Get("cursor"); text != "" {
		cursor, err := strconv.ParseInt(text, 10, 64)
		if err != nil {
			return kind.New(kind.BadRequest, "the cursor is not a number")
		}
		ask.Cursor = cursor
	}
	if text := query.Get("wait"); text != "" {
		wait, err := time.ParseDuration(text)
		if err != nil || wait < 0 || wait > maxReadWait {
			return kind.New(kind.BadRequest, "wait must be a duration of at most %s", maxReadWait)
		}
		ask.WaitMillis = wait.Milliseconds()
	}
	return nil
}

func noLines([]byte) error { return nil }

func readBody(w http.ResponseWriter, r *http.Request) ([]byte, error) {
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxBody))
	var tooLarge *http.MaxBytesError
	if errors.As(err, &tooLarge) {
		return nil, kind.New(kind.TooLarge, "the body is over %d bytes", maxBody)
	}
	return body, kind.Wrap(kind.BadRequest, err)
}

func writeJSON(w http.ResponseWriter, code int, value any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(code)
	_ = json.NewEncoder(w).Encode(value) // The peer is gone when this fails.
}
