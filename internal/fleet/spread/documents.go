package spread

import (
	"cmp"
	"slices"
	"sync"

	"github.com/nutmegway/nutmegway/internal/fleet/document"
)

var _ document.View = (*Documents)(nil)

// Documents holds the documents in force on this node. It is safe for concurrent
// use. Decode must be set before the first call.
type Documents struct {
	// Decode decodes the document of an entry that is not a tombstone.
	Decode func(entry Entry) (document.Accepted, error)

	mu      sync.RWMutex
	inForce map[string]document.Accepted
	// revisions maps each key to its revision in force, including tombstones.
	revisions map[string]int64
	// services maps the key of each document in force to its service.
	services map[string]string
}

// Document implements document.View.
func (d *Documents) Document(service string) (document.Accepted, bool) {
	d.mu.RLock()
	defer d.mu.RUnlock()
	accepted, ok := d.inForce[service]
	return accepted, ok
}

// Documents implements document.View.
func (d *Documents) Documents() []document.Accepted {
	d.mu.RLock()
	defer d.mu.RUnlock()
	documents := make([]document.Accepted, 0, len(d.inForce))
	for _, accepted := range d.inForce {
		documents = append(documents, accepted)
	}
	slices.SortFunc(documents, func(a, b document.Accepted) int {
		return cmp.Compare(a.Document.Service.Name, b.Document.Service.Name)
	})
	return documents
}

// Revision returns the revision of key in force, or zero if there is none.
func (d *Documents) Revision(key string) int64 {
	d.mu.RLock()
	defer d.mu.RUnlock()
	return d.revisions[key]
}

// apply brings an entry into force unless its revision or a newer one already is. If
// this version of the program cannot decode the document, the previous one stays in
// force.
func (d *Documents) apply(entry Entry) error {
	var accepted document.Accepted
	if !entry.Deleted {
		var err error
		accepted, err = d.Decode(entry)
		if err != nil {
			return classError.Wrap(err)
		}
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.inForce == nil {
		d.inForce = make(map[string]document.Accepted)
		d.revisions = make(map[string]int64)
		d.services = make(map[string]string)
	}
	if entry.Revision <= d.revisions[entry.Key] {
		return nil
	}
	d.revisions[entry.Key] = entry.Revision
	delete(d.inForce, d.services[entry.Key])
	delete(d.services, entry.Key)
	if !entry.Deleted {
		d.inForce[accepted.Document.Service.Name] = accepted
		d.services[entry.Key] = accepted.Document.Service.Name
	}
	return nil
}

func compareKeys(a, b Entry) int { return cmp.Compare(a.Key, b.Key) }
