package node

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/nutmegway/nutmegway/internal/fleet/document"
)

// documentList is a document.View of a fixed list.
type documentList []document.Accepted

func (d documentList) Document(string) (document.Accepted, bool) { return document.Accepted{}, false }

func (d documentList) Documents() []document.Accepted { return d }

func TestLongestAddressKeep(t *testing.T) {
	is := is.New(t)
	keeping := func(d time.Duration) document.Accepted {
		return document.Accepted{Document: document.Document{Addresses: document.Addresses{KeepFor: d}}}
	}
	is.Equal(longestAddressKeep(documentList{keeping(time.Second), keeping(3 * time.Second)}, time.Minute), 3*time.Second)
	is.Equal(longestAddressKeep(documentList{}, time.Minute), time.Minute) // No documents have been read yet.
}
