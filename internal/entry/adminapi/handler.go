package adminapi

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
	"github.com/nutmegway/nutmegway/internal/fleet/document"
)

// The headers of an edit.
const (
	HeaderAuthor   = "X-Author"
	HeaderChangeID = "X-Change-Id"
	// HeaderRevision is the revision that an edit was made from, or 0 for a new document.
	HeaderRevision = "X-Revision"
)

// maxBodyBytes is the longest body of an edit in bytes. It is one byte above the longest
// document, so that the document parser reports a document that is one byte too long.
const maxBodyBytes = 1<<20 + 1

// Documents stores the documents of services and their histories.
type Documents interface {
	Apply(ctx context.Context, edit document.Edit) (document.Accepted, error)
	AtRevision(ctx context.Context, service string, revision int64) (document.Accepted, error)
	Get(ctx context.Context, service string) (document.Accepted, error)
	History(ctx context.Context, service string) ([]document.Accepted, error)
}

// Reporter reports this node's view of the fleet.
type Reporter interface {
	// Lagging returns the ids of the nodes that did not confirm that the revision of the
	// service's document is in force on them. They lag behind or did not answer.
	Lagging(service string, revision int64) []string
	// Status returns the status of the node and of a service, or of all services if
	// service is empty.
	Status(service string) Status
}

// Handler serves the operators' interface. The fields are set before Routes.
type Handler struct {
	Documents Documents
	// DryRun handles edits with the query dry-run=true. It writes nothing.
	DryRun   Documents
	Logger   *slog.Logger
	Reporter Reporter
	Teams    Teams
}

// DocumentRevision is the JSON of one revision of a document.
type DocumentRevision struct {
	At       time.Time `json:"at"`
	Author   string    `json:"author"`
	ChangeID string    `json:"change-id"`
	Revision int64     `json:"revision"`
	Service  string    `json:"service"`
	Text     string    `json:"text"`
}

// Conflict is the body of the answer to an edit that conflicts with an earlier one. Theirs
// and Yours are unified diffs of the current and of the refused document against the
// revision that the edit was made from. Revision is that of the current document.
type Conflict struct {
	httperror.Body
	Theirs   string `json:"theirs"`
	Revision int64  `json:"revision"`
	Yours    string `json:"yours"`
}

// LaggingNodes lists the nodes that did not confirm that Revision is in force on them. They
// lag behind or did not answer.
type LaggingNodes struct {
	Lagging  []string `json:"lagging"`
	Revision int64    `json:"revision"`
	Service  string   `json:"service"`
}

// Routes returns the handler of all paths.
func (h *Handler) Routes() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /v1/documents/{service}", h.requireOwner(h.get))
	mux.HandleFunc("GET /v1/documents/{service}/history", h.requireOwner(h.history))
	mux.HandleFunc("GET /v1/documents/{service}/spread", h.requireOwner(h.laggingNodes))
	mux.HandleFunc("GET /v1/status", h.status)
	mux.HandleFunc("PUT /v1/documents/{service}", h.put)
	return mux
}

// documentHandler handles a request for the current document of a service.
type documentHandler func(w http.ResponseWriter, r *http.Request, current document.Accepted)

// requireOwner returns a handler that calls next with the service's current document if
// the request's team owns it, and refuses the request otherwise.
func (h *Handler) requireOwner(next documentHandler) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		team, err := h.Teams.Authenticate(r)
		if err != nil {
			httperror.Write(w, err)
			return
		}
		current, err := h.Documents.Get(r.Context(), r.PathValue("service"))
		if err == nil && current.Document.Service.Team != team {
			err = forbiddenError(team, r.PathValue("service"))
		}
		if err != nil {
			httperror.Write(w, err)
			return
		}
		next(w, r, current)
	}
}

func (h *Handler) get(w http.ResponseWriter, r *http.Request, current document.Accepted) {
	text := r.URL.Query().Get("revision")
	if text == "" {
		writeJSON(w, newDocumentRevision(current))
		return
	}
	revision, err := strconv.ParseInt(text, 10, 64)
	if err != nil {
		httperror.Write(w, kind.New(kind.BadRequest, "the query parameter revision must be an integer, got %q", text))
		return
	}
	if revision == current.Revision {
		writeJSON(w, newDocumentRevision(current))
		return
	}
	earlier, err := h.Documents.AtRevision(r.Context(), current.Document.Service.Name, revision)
	if err != nil {
		httperror.Write(w, err)
		return
	}
	writeJSON(w, newDocumentRevision(earlier))
}

func (h *Handler) history(w http.ResponseWriter, r *http.Request, current document.Accepted) {
	history, err := h.Documents.History(r.Context(), current.Document.Service.Name)
	if err != nil {
		httperror.Write(w, err)
		return
	}
	revisions := make([]DocumentRevision, len(history))
	for i, accepted := range history {
		revisions[i] = newDocumentRevision(accepted)
	}
	writeJSON(w, revisions)
}

func (h *Handler) laggingNodes(w http.ResponseWriter, _ *http.Request, current document.Accepted) {
	service := current.Document.Service.Name
	writeJSON(w, LaggingNodes{
		Lagging:  h.Reporter.Lagging(service, current.Revision),
		Revision: current.Revision,
		Service:  service,
	})
}

func (h *Handler) status(w http.ResponseWriter, r *http.Request) {
	if _, err := h.Teams.Authenticate(r); err != nil {
		httperror.Write(w, err)
		return
	}
	writeJSON(w, h.Reporter.Status(r.URL.Query().Get("service")))
}

func (h *Handler) put(w http.ResponseWriter, r *http.Request) {
	edit, err := h.readEdit(w, r)
	if err != nil {
		httperror.Write(w, err)
		return
	}
	if r.URL.Query().Get("dry-run") == "true" {
		h.dryRun(w, r, edit)
		return
	}
	accepted, err := h.Documents.Apply(r.Context(), edit)
	if err != nil {
		h.refuseEdit(w, r, edit, err)
		return
	}
	h.Logger.InfoContext(r.Context(), "document accepted",
		slog.String("service", edit.Service),
		slog.Int64("revision", accepted.Revision),
		slog.String("author", edit.Author),
		slog.String("change-id", edit.ChangeID))
	writeJSON(w, newDocumentRevision(accepted))
}

// dryRun answers an edit as put would, without applying it.
func (h *Handler) dryRun(w http.ResponseWriter, r *http.Request, edit document.Edit) {
	accepted, err := h.DryRun.Apply(r.Context(), edit)
	if err != nil {
		h.refuseEdit(w, r, edit, err)
		return
	}
	writeJSON(w, newDocumentRevision(accepted))
}

// readEdit reads an edit from the request. The request's team must own the new document
// and the one in force, if there is one.
func (h *Handler) readEdit(w http.ResponseWriter, r *http.Request) (document.Edit, error) {
	team, err := h.Teams.Authenticate(r)
	if err != nil {
		return document.Edit{}, err
	}
	text, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxBodyBytes))
	if err != nil {
		return document.Edit{}, kind.New(kind.TooLarge, "the document exceeds the limit of %d bytes", maxBodyBytes-1)
	}
	edit := document.Edit{
		Author:   r.Header.Get(HeaderAuthor),
		ChangeID: r.Header.Get(HeaderChangeID),
		Service:  r.PathValue("service"),
		Text:     string(text),
	}
	edit.BaseRevision, err = strconv.ParseInt(r.Header.Get(HeaderRevision), 10, 64)
	if err != nil {
		return edit, kind.New(kind.BadRequest, "the header %s must be the revision that the edit was made from, or 0, got %q", HeaderRevision, r.Header.Get(HeaderRevision))
	}
	d, mistakes := document.Parse(text)
	if len(mistakes) > 0 {
		return edit, document.InvalidError(mistakes)
	}
	if d.Service.Team != team {
		return edit, forbiddenError(team, edit.Service)
	}
	current, err := h.Documents.Get(r.Context(), edit.Service)
	switch {
	case kind.Is(err, kind.NotFound):
		return edit, nil
	case err != nil:
		return edit, err
	case current.Document.Service.Team != team:
		return edit, forbiddenError(team, edit.Service)
	default:
		return edit, nil
	}
}

// refuseEdit logs and answers an edit that was not applied.
func (h *Handler) refuseEdit(w http.ResponseWriter, r *http.Request, edit document.Edit, err error) {
	h.Logger.InfoContext(r.Context(), "document refused",
		slog.String("service", edit.Service),
		slog.String("author", edit.Author),
		slog.String("change-id", edit.ChangeID),
		slog.String("error", err.Error()))
	var conflict *document.ConflictError
	if !errors.As(err, &conflict) {
		httperror.Write(w, err)
		return
	}
	body := Conflict{Body: httperror.New(err), Revision: conflict.Theirs.Revision}
	body.Theirs, body.Yours = conflict.Changes()
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(kind.Conflict.Properties().Status)
	// The error is ignored: if the write fails, no error can be sent either.
	_ = json.NewEncoder(w).Encode(body)
}

func forbiddenError(team, service string) error {
	return kind.New(kind.Forbidden, "the team %s does not own the document of the service %s", team, service)
}

func newDocumentRevision(a document.Accepted) DocumentRevision {
	return DocumentRevision{
		At:       a.At,
		Author:   a.Author,
		ChangeID: a.ChangeID,
		Revision: a.Revision,
		Service:  a.Document.Service.Name,
		Text:     a.Text,
	}
}

func writeJSON(w http.ResponseWriter, value any) {
	w.Header().Set("Content-Type", "application/json")
	// The error is ignored: if the write fails, no error can be sent either.
	_ = json.NewEncoder(w).Encode(value)
}
