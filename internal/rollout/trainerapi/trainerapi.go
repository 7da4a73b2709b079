// Package trainerapi implements the HTTP API for trainers. On any entry host they
// submit and cancel groups, read their stream of samples and publish weight
// versions.
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

	"github.com/nutmegway/nutmegway/internal/base/httperror"
	"github.com/nutmegway/nutmegway/internal/base/kind"
	"github.com/nutmegway/nutmegway/internal/rollout/owner/ownerpb"
	"github.com/nutmegway/nutmegway/internal/rollout/sample"
)

const (
	// maxBodyBytes limits the body of a request.
	maxBodyBytes = 1 << 20
	// maxReadLines limits the lines of one response. The trainer continues with a
	// new request, whose cursor acknowledges the lines that it has received.
	maxReadLines = 512
	// defaultReadWait is how long a response waits for further samples if the
	// trainer doesn't set a time.
	defaultReadWait = 10 * time.Second
	// maxReadWait limits the time that a trainer may set.
	maxReadWait = time.Minute
)

// Owner executes requests on the host that owns the trainer's stream.
type Owner interface {
	// Handle executes request and calls emit with the lines of a read.
	Handle(ctx context.Context, request *ownerpb.Request, emit func(lines []byte) error) error
}

// Handler handles the paths below /v1/services/{service}/trainers/{trainer}/.
// The fields are set before the first request.
type Handler struct {
	Logger *slog.Logger
	Owner  Owner
}

// Mux returns a mux that routes the trainers' paths to h.
func (h *Handler) Mux() *http.ServeMux {
	const base = "/v1/services/{service}/trainers/{trainer}/"
	mux := http.NewServeMux()
	mux.HandleFunc("DELETE "+base+"groups/{group}", h.cancel)
	mux.HandleFunc("GET "+base+"samples", h.read)
	mux.HandleFunc("POST "+base+"groups", h.submit)
	mux.HandleFunc("POST "+base+"versions", h.publish)
	return mux
}

// newOwnerRequest returns a request for the owner of the stream that the path of
// r names.
func newOwnerRequest(r *http.Request, operation ownerpb.Operation, body []byte) *ownerpb.Request {
	return &ownerpb.Request{
		Body:      body,
		Operation: operation,
		Service:   r.PathValue("service"),
		Trainer:   r.PathValue("trainer"),
	}
}

// acceptedResponse is the body of the response to an accepted order.
type acceptedResponse struct {
	Accepted bool   `json:"accepted"`
	ID       string `json:"id"`
}

func (h *Handler) submit(w http.ResponseWriter, r *http.Request) {
	body, err := readBody(w, r)
	if err != nil {
		httperror.Write(w, err)
		return
	}
	var group sample.Group
	if err := json.Unmarshal(body, &group); err != nil {
		httperror.Write(w, kind.Wrap(kind.BadRequest, err))
		return
	}
	if err := group.Validate(); err != nil {
		httperror.Write(w, err)
		return
	}
	if err := h.Owner.Handle(r.Context(), newOwnerRequest(r, ownerpb.Operation_OPERATION_SUBMIT, body), discardLines); err != nil {
		httperror.Write(w, err)
		return
	}
	writeJSON(w, http.StatusAccepted, acceptedResponse{Accepted: true, ID: group.ID})
}

func (h *Handler) cancel(w http.ResponseWriter, r *http.Request) {
	body := []byte(r.PathValue("group"))
	if err := h.Owner.Handle(r.Context(), newOwnerRequest(r, ownerpb.Operation_OPERATION_CANCEL, body), discardLines); err != nil {
		httperror.Write(w, err)
		return
	}
	w.WriteHeader(http.StatusNoContent)
}

func (h *Handler) publish(w http.ResponseWriter, r *http.Request) {
	body, err := readBody(w, r)
	if err != nil {
		httperror.Write(w, err)
		return
	}
	if err := h.Owner.Handle(r.Context(), newOwnerRequest(r, ownerpb.Operation_OPERATION_PUBLISH, body), discardLines); err != nil {
		httperror.Write(w, err)
		return
	}
	writeJSON(w, http.StatusAccepted, json.RawMessage(body))
}

// read streams samples. When the response ends, the trainer continues with a new
// request from its cursor.
func (h *Handler) read(w http.ResponseWriter, r *http.Request) {
	request := newOwnerRequest(r, ownerpb.Operation_OPERATION_READ, nil)
	if err := parseReadQuery(r, request); err != nil {
		httperror.Write(w, err)
		return
	}
	var started bool
	control := http.NewResponseController(w)
	begin := func() {
		started = true
		w.Header().Set("Content-Type", "application/x-ndjson")
		w.WriteHeader(http.StatusOK)
	}
	err := h.Owner.Handle(r.Context(), request, func(lines []byte) error {
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
		httperror.Write(w, err)
	case err != nil:
		h.Logger.DebugContext(r.Context(), "reading of a stream failed after the response began", slog.Any("error", err))
	}
}

// parseReadQuery sets the cursor, limit and wait of request from the query of r.
func parseReadQuery(r *http.Request, request *ownerpb.Request) error {
	query := r.URL.Query()
	request.Limit, request.WaitMillis = maxReadLines, defaultReadWait.Milliseconds()
	if text := query.Get("cursor"); text != "" {
		cursor, err := strconv.ParseInt(text, 10, 64)
		if err != nil {
			return kind.New(kind.BadRequest, "cursor must be an integer, got %q", text)
		}
		request.Cursor = cursor
	}
	if text := query.Get("wait"); text != "" {
		wait, err := time.ParseDuration(text)
		if err != nil || wait < 0 || wait > maxReadWait {
			return kind.New(kind.BadRequest, "wait must be a duration from 0s to %s, got %q", maxReadWait, text)
		}
		request.WaitMillis = wait.Milliseconds()
	}
	return nil
}

func discardLines([]byte) error { return nil }

func readBody(w http.ResponseWriter, r *http.Request) ([]byte, error) {
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxBodyBytes))
	var tooLarge *http.MaxBytesError
	if errors.As(err, &tooLarge) {
		return nil, kind.New(kind.TooLarge, "the request body must be at most %d bytes long", maxBodyBytes)
	}
	return body, kind.Wrap(kind.BadRequest, err)
}

func writeJSON(w http.ResponseWriter, code int, value any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(code)
	_ = json.NewEncoder(w).Encode(value) // An error means that the trainer has disconnected.
}
