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

	"github.com/nutmegway/nutmegway/internal/base/kind"
	"github.com/nutmegway/nutmegway/internal/base/refusal"
	"github.com/nutmegway/nutmegway/internal/fleet/document"
)

// The headers of an edit.
const (
	HeaderAuthor   = "X-Author"
	HeaderChangeID = "X-Change-Id"
	// HeaderRevision carries the revision that an edit was made from, and in
	// answers the revision of the document.
	HeaderRevision = "X-Revision"
)

// bodyLimit is the longest body of an edit in bytes, one above the longest
// document, so that the parser words the refusal.
const bodyLimit = 1<<20 + 1

// Documents keeps the documents.
type Documents interface {
	Apply(ctx context.Context, edit document.Edit) (document.Accepted, error)
	At(ctx context.Context, service string, revision int64) (document.Accepted, error)
	Get(ctx context.Context, service string) (document.Accepted, error)
	History(ctx context.Context, service string) ([]document.Accepted, error)
}

// Reporter tells what this node sees.
type Reporter interface {
	// Lagging returns the ids of nodes that do not yet have revision of the
	// service's document in force.
	Lagging(service string, revision int64) []string
	// Status returns the status; service may be empty for all.
	Status(service string) Status
}

// Handler serves the operators' interface. The fields are set before Routes.
type Handler struct {
	Documents Documents
	// DryRun answers edits with the query dry-run=true; it writes nothing.
	DryRun   Documents
	Logger   *slog.Logger
	Reporter Reporter
	Teams    Teams
}

// Edition is one edit of a document in answers.
type Edition struct {
	At       time.Time `json:"at"`
	Author   string    `json:"author"`
	ChangeID string    `json:"change-id"`
	Revision int64     `json:"revision"`
	Service  string    `json:"service"`
	Text     string    `json:"text"`
}

// Conflict is the body of a refused edit, with both changes as unified
// differences.
type Conflict struct {
	refusal.Body
	Theirs   string `json:"theirs"`
	Revision int64  `json:"revision"`
	Yours    string `json:"yours"`
}

// Spread says which nodes lack a revision.
type Spread struct {
	Lagging  []string `json:"lagging"`
	Revision int64    `json:"revision"`
	Service  string   `json:"service"`
}

// Routes returns the handler of all paths.
func (h *Handler) Routes() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /v1/documents/{service}", h.forOwner(h.get))
	mux.HandleFunc("GET /v1/documents/{service}/history", h.forOwner(h.history))
	mux.HandleFunc("GET /v1/documents/{service}/spread", h.forOwner(h.spread))
	mux.HandleFunc("GET /v1/status", h.status)
	mux.HandleFunc("PUT /v1/documents/{service}", h.put)
	return mux
}

type ownerHandler func(w http.ResponseWriter, r *http.Request, current document.Accepted)

// forOwner reads the service's document and passes it on if the request's team
// owns it.
func (h *Handler) forOwner(next ownerHandler) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		team, err := h.Teams.Authenticate(r)
		if err != nil {
			refusal.Write(w, err)
			return
		}
		current, err := h.Documents.Get(r.Context(), r.PathValue("service"))
		if err == nil && current.Document.Service.Team != team {
			err = forbidden(team, r.PathValue("service"))
		}
		if err != nil {
			refusal.Write(w, err)
			return
		}
		next(w, r, current)
	}
}

func (h *Handler) get(w http.ResponseWriter, r *http.Request, current document.Accepted) {
	text := r.URL.Query().Get("revision")
	if text == "" {
		writeJSON(w, edition(current))
		return
	}
	revision, err := strconv.ParseInt(text, 10, 64)
	if err != nil {
		refusal.Write(w, kind.New(kind.BadRequest, "revision is no number: %q", text))
		return
	}
	if revision == current.Revision {
		writeJSON(w, edition(current))
		return
	}
	earlier, err := h.Documents.At(r.Context(), current.Document.Service.Name, revision)
	if err != nil {
		refusal.Write(w, err)
		return
	}
	writeJSON(w, edition(earlier))
}

func (h *Handler) history(w http.ResponseWriter, r *http.Request, current document.Accepted) {
	history, err := h.Documents.History(r.Context(), current.Document.Service.Name)
	if err != nil {
		refusal.Write(w, err)
		return
	}
	editions := make([]Edition, len(history))
	for i, accepted := range history {
		editions[i] = edition(accepted)
	}
	writeJSON(w, editions)
}

func (h *Handler) spread(w http.ResponseWriter, _ *http.Request, current document.Accepted) {
	service := current.Document.Service.Name
	writeJSON(w, Spread{
		Lagging:  h.Reporter.Lagging(service, current.Revision),
		Revision: current.Revision,
		Service:  service,
	})
}

func (h *Handler) status(w http.ResponseWriter, r *http.Request) {
	if _, err := h.Teams.Authenticate(r); err != nil {
		refusal.Write(w, err)
		return
	}
	writeJSON(w, h.Reporter.Status(r.URL.Query().Get("service")))
}

func (h *Handler) put(w http.ResponseWriter, r *http.Request) {
	edit, err := h.readEdit(w, r)
	if err != nil {
		refusal.Write(w, err)
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
	writeJSON(w, edition(accepted))
}

// dryRun answers as an edit would be answered now.
func (h *Handler) dryRun(w http.ResponseWriter, r *http.Request, edit document.Edit) {
	accepted, err := h.DryRun.Apply(r.Context(), edit)
	if err != nil {
		h.refuseEdit(w, r, edit, err)
		return
	}
	writeJSON(w, edition(accepted))
}

// readEdit reads an edit whose team owns both the document in force and the
// new one.
func (h *Handler) readEdit(w http.ResponseWriter, r *http.Request) (document.Edit, error) {
	team, err := h.Teams.Authenticate(r)
	if err != nil {
		return document.Edit{}, err
	}
	text, err := io.ReadAll(http.MaxBytesReader(w, r.Body, bodyLimit))
	if err != nil {
		return document.Edit{}, kind.New(kind.TooLarge, "the document is over %d bytes", bodyLimit-1)
	}
	edit := document.Edit{
		Author:   r.Header.Get(HeaderAuthor),
		ChangeID: r.Header.Get(HeaderChangeID),
		Service:  r.PathValue("service"),
		Text:     string(text),
	}
	edit.BaseRevision, err = strconv.ParseInt(r.Header.Get(HeaderRevision), 10, 64)
	if err != nil {
		return edit, kind.New(kind.BadRequest, "the header %s must be the revision that was read, or 0", HeaderRevision)
	}
	d, mistakes := document.Parse(text)
	if len(mistakes) > 0 {
		return edit, document.Invalid(mistakes)
	}
	if d.Service.Team != team {
		return edit, forbidden(team, edit.Service)
	}
	current, err := h.Documents.Get(r.Context(), edit.Service)
	switch {
	case kind.Is(err, kind.NotFound):
		return edit, nil
	case err != nil:
		return edit, err
	case current.Document.Service.Team != team:
		return edit, forbidden(team, edit.Service)
	default:
		return edit, nil
	}
}

func (h *Handler) refuseEdit(w http.ResponseWriter, r *http.Request, edit document.Edit, err error) {
	h.Logger.InfoContext(r.Context(), "document refused",
		slog.String("service", edit.Service),
		slog.String("author", edit.Author),
		slog.String("change-id", edit.ChangeID),
		slog.String("error", err.Error()))
	var conflict *document.ConflictError
	if !errors.As(err, &conflict) {
		refusal.Write(w, err)
		return
	}
	body := Conflict{Body: refusal.New(err), Revision: conflict.Theirs.Revision}
	body.Theirs, body.Yours = conflict.Changes()
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(kind.Conflict.Properties().Status)
	// The operator may be gone; there is no one left to tell.
	_ = json.NewEncoder(w).Encode(body)
}

func forbidden(team, service string) error {
	return kind.New(kind.Forbidden, "the team %s does not own the document of %s", team, service)
}

func edition(a document.Accepted) Edition {
	return Edition{
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
	// The operator may be gone; there is no one left to tell.
	_ = json.NewEncoder(w).Encode(value)
}
