package document

import (
	"encoding/json"
	"fmt"
	"slices"
	"strings"
	"time"

	"github.com/zeebo/errs"

	"github.com/nutmegway/nutmegway/internal/base/kind"
	"github.com/nutmegway/nutmegway/internal/external/kv"
)

const (
	// Prefix is the prefix of document keys in the store.
	Prefix = "nutmegway/documents/"

	historyPrefix = "nutmegway/history/"
	// revisionDigits is the width to which revisions are zero-padded, so that
	// history keys sort by revision.
	revisionDigits = 20
)

var classError = errs.Class("document")

// record is the JSON value stored under a document's key.
type record struct {
	At       time.Time `json:"at"`
	Author   string    `json:"author"`
	ChangeID string    `json:"change-id"`
	// Replaced lists the edits whose documents are in the history, oldest first.
	Replaced []replacedEdit `json:"earlier,omitempty"`
	Text     string         `json:"text"`
}

// replacedEdit identifies an edit that a later one replaced.
type replacedEdit struct {
	ChangeID string `json:"change-id"`
	Revision int64  `json:"revision"`
}

// Key returns the store key of the document of service.
func Key(service string) string { return Prefix + service }

func historyKey(service string, revision int64) string {
	return fmt.Sprintf("%s%s/%0*d", historyPrefix, service, revisionDigits, revision)
}

// FromEntry decodes a document from its store entry. It returns an error of kind
// invalid-document if this version of the program cannot decode the record.
func FromEntry(entry kv.Entry) (Accepted, error) {
	accepted, _, err := decodeRecord(entry)
	if err != nil {
		return Accepted{}, err
	}
	if service, ok := strings.CutPrefix(entry.Key, Prefix); ok && accepted.Document.Service.Name != service {
		return Accepted{}, kind.New(kind.InvalidDocument, "document of service %s is stored under the key of service %s", accepted.Document.Service.Name, service)
	}
	return accepted, nil
}

func decodeRecord(entry kv.Entry) (Accepted, record, error) {
	var r record
	if err := json.Unmarshal(entry.Value, &r); err != nil {
		return Accepted{}, record{}, kind.Wrap(kind.InvalidDocument, classError.Wrap(err))
	}
	d, mistakes := Parse([]byte(r.Text))
	if len(mistakes) > 0 {
		return Accepted{}, record{}, InvalidError(mistakes)
	}
	return Accepted{
		At:       r.At,
		Author:   r.Author,
		ChangeID: r.ChangeID,
		Document: d,
		Revision: entry.ModRevision,
		Text:     r.Text,
	}, r, nil
}

// committedRevision returns the revision at which the edit with changeID was
// committed, or zero if neither the record nor its history contains the edit. base is
// the revision that the edit is based on, and revision is that of the record. covered
// is false if the history no longer reaches back to base: the edit may then have been
// committed and trimmed from the history.
func (r record) committedRevision(changeID string, base, revision int64) (committed int64, covered bool) {
	if r.ChangeID == changeID {
		return revision, true
	}
	at := slices.IndexFunc(r.Replaced, func(e replacedEdit) bool { return e.ChangeID == changeID })
	if at >= 0 {
		return r.Replaced[at].Revision, true
	}
	covered = revision == base || len(r.Replaced) < HistoryLimit
	if len(r.Replaced) > 0 && r.Replaced[0].Revision <= base {
		covered = true
	}
	return 0, covered
}
