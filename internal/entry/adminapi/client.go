package adminapi

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/url"
	"strconv"
	"strings"

	"github.com/nutmegway/nutmegway/internal/base/kind"
	"github.com/nutmegway/nutmegway/internal/fleet/document"
)

// maxResponseBytes is the largest number of bytes that a client reads of an answer.
const maxResponseBytes = 256 << 20

// Client is a client of the operators' interface of an entry host.
type Client struct {
	// BaseURL is the address of the admin listener, such as
	// https://192.0.2.1:7002.
	BaseURL string
	HTTP    *http.Client
	Token   string
}

// ConflictError reports an edit that was refused because the document has changed since
// the revision that the edit was made from.
type ConflictError struct {
	Conflict
}

// Error returns the message with both changes as unified diffs.
func (e *ConflictError) Error() string {
	return fmt.Sprintf("%s\ntheirs, revision %d:\n%s\nyours:\n%s", e.Conflict.Error.Message, e.Revision, e.Theirs, e.Yours)
}

// Unwrap returns the conflict as a *kind.Error.
func (e *ConflictError) Unwrap() error { return e.ToError() }

// ToError returns the conflict as a *kind.Error.
func (e *ConflictError) ToError() error { return e.Err() }

// Apply sends an edit and returns the new revision. If another edit came first, the error
// is a *ConflictError.
func (c Client) Apply(ctx context.Context, edit document.Edit) (DocumentRevision, error) {
	return c.put(ctx, documentPath(edit.Service), edit)
}

// DryRun returns what Apply would return for an edit, without applying it.
func (c Client) DryRun(ctx context.Context, edit document.Edit) (DocumentRevision, error) {
	return c.put(ctx, documentPath(edit.Service)+"?dry-run=true", edit)
}

func (c Client) put(ctx context.Context, path string, edit document.Edit) (DocumentRevision, error) {
	header := http.Header{
		HeaderAuthor:   {edit.Author},
		HeaderChangeID: {edit.ChangeID},
		HeaderRevision: {strconv.FormatInt(edit.BaseRevision, 10)},
	}
	var applied DocumentRevision
	err := c.call(ctx, http.MethodPut, path, header, edit.Text, &applied)
	return applied, err
}

// Get returns the document in force, or the one at revision if it is not zero.
func (c Client) Get(ctx context.Context, service string, revision int64) (DocumentRevision, error) {
	path := documentPath(service)
	if revision != 0 {
		path += "?revision=" + strconv.FormatInt(revision, 10)
	}
	var found DocumentRevision
	err := c.call(ctx, http.MethodGet, path, nil, "", &found)
	return found, err
}

// History returns the revisions of the document, newest first, beginning with the one in
// force.
func (c Client) History(ctx context.Context, service string) ([]DocumentRevision, error) {
	var revisions []DocumentRevision
	err := c.call(ctx, http.MethodGet, documentPath(service)+"/history", nil, "", &revisions)
	return revisions, err
}

// LaggingNodes returns the nodes that did not confirm to the entry host that the current
// revision of the document is in force on them.
func (c Client) LaggingNodes(ctx context.Context, service string) (LaggingNodes, error) {
	var nodes LaggingNodes
	err := c.call(ctx, http.MethodGet, documentPath(service)+"/spread", nil, "", &nodes)
	return nodes, err
}

// Status returns the node's view of the fleet and of a service, or of all services if
// service is empty.
func (c Client) Status(ctx context.Context, service string) (Status, error) {
	var status Status
	err := c.call(ctx, http.MethodGet, "/v1/status?service="+url.QueryEscape(service), nil, "", &status)
	return status, err
}

func documentPath(service string) string {
	return "/v1/documents/" + url.PathEscape(service)
}

// call sends a request and decodes the JSON answer into answer.
func (c Client) call(ctx context.Context, method, path string, header http.Header, body string, answer any) error {
	request, err := http.NewRequestWithContext(ctx, method, c.BaseURL+path, strings.NewReader(body))
	if err != nil {
		return kind.Wrap(kind.BadRequest, err)
	}
	if header != nil {
		request.Header = header
	}
	request.Header.Set("Authorization", "Bearer "+c.Token)
	response, err := c.HTTP.Do(request)
	if err != nil {
		return callError(method, err)
	}
	defer func() { _ = response.Body.Close() }()
	text, err := io.ReadAll(io.LimitReader(response.Body, maxResponseBytes))
	if err != nil {
		return callError(method, err)
	}
	if response.StatusCode != http.StatusOK {
		return readRefusal(text)
	}
	return kind.Wrap(kind.Internal, json.Unmarshal(text, answer))
}

// callError returns the error of a call without a complete answer. An edit may have been
// applied nevertheless.
func callError(method string, err error) error {
	e := &kind.Error{Cause: err, Kind: kind.Unavailable, Message: err.Error()}
	if method == http.MethodGet {
		return e
	}
	return e.WithRan(kind.RanUnknown)
}

// readRefusal returns the error in the body of an answer with a status other than 200.
func readRefusal(text []byte) error {
	var conflict Conflict
	if err := json.Unmarshal(text, &conflict); err != nil {
		return kind.Wrap(kind.Internal, errors.New("the body of the error response is not a refusal in JSON"))
	}
	if conflict.Theirs != "" || conflict.Yours != "" {
		return &ConflictError{Conflict: conflict}
	}
	return conflict.Err()
}
