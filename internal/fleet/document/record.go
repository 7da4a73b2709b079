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
	// Prefix is the prefix of the keys of documents in the store.
	Prefix = "nutmegway/documents/"

	historyPrefix = "nutmegway/history/"
	// revisionDigits pads revisions so that keys sort by number.
	revisionDigits = 20
)

var classError = errs.Class("document")

// record is the value under a document's key.
type record struct {
	At       time.Time `json:"at"`
	Author   string    `json:"author"`
	ChangeID string    `json:"change-id"`
	// Earlier lists the edits that the history keeps, oldest first.
	Earlier []earlierEdit `json:"earlier,omitempty"`
	Text    string        `json:"text"`
}

// earlierEdit is an edit that another one has replaced.
type earlierEdit struct {
	ChangeID string `json:"change-id"`
	Revision int64  `json:"revision"`
}

// Key returns the key of the document of service.
func Key(service string) string { return Prefix + service }

func historyKey(service string, revision int64) string {
	return fmt.Sprintf("%s%s/%0*d", historyPrefix, service, revisionDigits, revision)
}

// FromEntry reads a document from the store's entry. A record that this
// version cannot read is an error of kind invalid-document.
func FromEntry(entry kv.Entry) (Accepted, error) {
	accepted, _, err := decode(entry)
	if err != nil {
		return Accepted{}, err
	}
	if service, ok := strings.CutPrefix(entry.Key, Prefix); ok && accepted.Document.Service.Name != service {
		return Accepted{}, kind.New(kind.InvalidDocument, "the document of %s stands under the key of %s", accepted.Document.Service.Name, service)
	}
	return accepted, nil
}

func decode(entry kv.Entry) (Accepted, record, error) {
	var r record
	if err := json.Unmarshal(entry.Value, &r); err != nil {
		return Accepted{}, record{}, kind.Wrap(kind.InvalidDocument, classError.Wrap(err))
	}
	d, mistakes := Parse([]byte(r.Text))
	if len(mistakes) > 0 {
		return Accepted{}, record{}, Invalid(mistakes)
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

// landedAt returns the revision of the edit with the change id if the entry or
// its history holds it. covered is false when the history does not reach back
// to base, so that the edit may have been trimmed from it.
func (r record) landedAt(changeID string, base, revision int64) (landed int64, covered bool) {
	if r.ChangeID == changeID {
		return revision, true
	}
	at := slices.IndexFunc(r.Earlier, func(e earlierEdit) bool { return e.ChangeID == changeID })
	if at >= 0 {
		return r.Earlier[at].Revision, true
	}
	covered = revision == base || len(r.Earlier) < HistoryLimit
	if len(r.Earlier) > 0 && r.Earlier[0].Revision <= base {
		covered = true
	}
	return 0, covered
}
