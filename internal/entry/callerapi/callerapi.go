// Package callerapi serves the HTTP interface of callers. Through it they ask for the
// addresses of a service, request completions from model engines and call plain services.
// Requests of trainers are passed on to a handler of their own.
package callerapi

import (
	"encoding/json"
	"log/slog"
	"net/http"
	"time"

	"github.com/google/uuid"
	"go.opentelemetry.io/contrib/instrumentation/net/http/otelhttp"

	"github.com/nutmegway/nutmegway/internal/base/httperror"
	"github.com/nutmegway/nutmegway/internal/base/kind"
	"github.com/nutmegway/nutmegway/internal/fleet/document"
	"github.com/nutmegway/nutmegway/internal/request/dispatch"
)

// MaxBodyBytes is the longest body of a completion request in bytes.
const MaxBodyBytes = 8 << 20

// Address is one address that a caller may use.
type Address struct {
	Address          string `json:"address"`
	AvailabilityZone string `json:"availability-zone"`
}

// AddressList is the answer to a caller that asks where to connect.
type AddressList struct {
	Addresses []Address `json:"addresses"`
	// KeepSeconds is how long the caller may keep the answer.
	KeepSeconds float64 `json:"keep-seconds"`
	Service     string  `json:"service"`
}

// AddressAssigner chooses the addresses that a caller may use.
type AddressAssigner interface {
	// Addresses returns the addresses for a caller of the service. zone is the caller's
	// availability zone, or empty if the caller named none.
	Addresses(service, caller, zone string) (AddressList, error)
}

// Handler serves the callers' interface. The fields are set before Routes.
type Handler struct {
	Addresses  AddressAssigner
	Dispatcher dispatch.Dispatcher
	Documents  document.View
	Logger     *slog.Logger
	// Plain handles requests to plain services.
	Plain http.Handler
	// Trainers handles requests of trainers.
	Trainers http.Handler
}

// Routes returns the handler of all paths.
func (h *Handler) Routes() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /v1/services/{service}/addresses", h.addresses)
	mux.HandleFunc("POST /v1/chat/completions", h.chatCompletions)
	mux.HandleFunc("POST /v1/completions", h.completions)
	mux.HandleFunc("GET /v1/health", h.health)
	mux.Handle("/v1/plain/{service}/", h.Plain)
	mux.Handle("/v1/services/{service}/trainers/{trainer}/", h.Trainers)
	mux.HandleFunc("/", h.unknownPath)
	return otelhttp.NewHandler(withRequestID(mux), "caller-request")
}

func (h *Handler) addresses(w http.ResponseWriter, r *http.Request) {
	list, err := h.Addresses.Addresses(r.PathValue("service"), r.RemoteAddr, r.URL.Query().Get("availability-zone"))
	if err != nil {
		httperror.Write(w, err)
		return
	}
	writeJSON(w, list)
}

func (h *Handler) health(w http.ResponseWriter, _ *http.Request) {
	w.WriteHeader(http.StatusNoContent)
}

func (h *Handler) unknownPath(w http.ResponseWriter, r *http.Request) {
	httperror.Write(w, kind.New(kind.NotFound, "no such path: %s %s", r.Method, r.URL.Path))
}

// withRequestID assigns an id to each request without one and returns the request's id
// in the header of the answer.
func withRequestID(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.Header.Get(httperror.HeaderRequestID) == "" {
			r.Header.Set(httperror.HeaderRequestID, uuid.NewString())
		}
		w.Header().Set(httperror.HeaderRequestID, requestID(r))
		next.ServeHTTP(w, r)
	})
}

func requestID(r *http.Request) string {
	return r.Header.Get(httperror.HeaderRequestID)
}

// parseDeadline returns the deadline in the request's header, or now plus fallback if the
// header is missing. A deadline that has passed is an error.
func parseDeadline(r *http.Request, now time.Time, fallback time.Duration) (time.Time, error) {
	text := r.Header.Get(httperror.HeaderDeadline)
	if text == "" {
		return now.Add(fallback), nil
	}
	t, err := time.Parse(time.RFC3339Nano, text)
	if err != nil {
		return time.Time{}, kind.New(kind.BadRequest, "the header %s must be an RFC 3339 time, got %q", httperror.HeaderDeadline, text)
	}
	if !t.After(now) {
		return time.Time{}, kind.New(kind.DeadlineUnmet, "the deadline %s passed before the request was read at %s", text, now.Format(time.RFC3339Nano))
	}
	return t, nil
}

func writeJSON(w http.ResponseWriter, value any) {
	w.Header().Set("Content-Type", "application/json")
	// The error is ignored: if the write fails, no error can be sent either.
	_ = json.NewEncoder(w).Encode(value)
}
