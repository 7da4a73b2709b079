package member

import (
	"slices"
	"time"

	"github.com/nutmegway/nutmegway/internal/fleet/member/memberpb"
)

// Record is the state of one node in the table.
type Record struct {
	// Leaving is set if the node announced that it is leaving or the host list
	// shows it as leaving.
	Leaving bool
	// Listed is set if the host list contains the node with these addresses.
	Listed bool
	Node   Node
	// Since is the time at which the state was entered.
	Since time.Time
	State State
}

type record struct {
	Record
	// suspicion tracks the timeout while the node is suspect.
	suspicion *suspicion
}

// Table holds the records of all known nodes except this one. It is not safe
// for concurrent use.
type Table struct {
	// changed is set when the nodes or their states may have changed.
	changed bool
	machine stateMachine
	records map[string]*record
	// sortedIDs caches the sorted IDs of records. It is nil if they have changed.
	sortedIDs []string
}

// NewTable returns an empty table.
func NewTable() *Table {
	return &Table{machine: newStateMachine(), records: make(map[string]*record)}
}

// Record returns the record of the node with the ID.
func (t *Table) Record(id string) (Record, bool) {
	r, ok := t.records[id]
	if !ok {
		return Record{}, false
	}
	return r.Record, true
}

// Records returns all records, sorted by ID.
func (t *Table) Records() []Record {
	records := make([]Record, 0, len(t.records))
	for _, id := range t.ids() {
		records = append(records, t.records[id].Record)
	}
	return records
}

// Apply merges an update and reports whether it changed the record. A higher
// incarnation replaces the record; within one incarnation, states only advance
// and leaving is never withdrawn.
func (t *Table) Apply(update *memberpb.Update, now time.Time) bool {
	state, ok := stateFromWire[update.GetState()]
	if !ok {
		return false
	}
	r, known := t.records[update.GetId()]
	switch {
	case !known:
		return t.insert(update, state, now)
	case update.GetIncarnation() < r.Node.Incarnation:
		return false
	case update.GetIncarnation() > r.Node.Incarnation:
		r.Node.Incarnation = update.GetIncarnation()
		r.setNode(update.GetNode())
		t.setState(r, state, now)
		r.Leaving = update.GetLeaving()
		return true
	}
	changed := update.GetLeaving() && !r.Leaving
	r.Leaving = r.Leaving || changed
	t.changed = t.changed || changed
	if t.machine.canTransition(r.State, state) {
		t.setState(r, state, now)
		return true
	}
	return changed
}

// AddListed adds or updates a node that the host list contains.
func (t *Table) AddListed(node Node, leaving bool, now time.Time) {
	t.changed = true
	r, known := t.records[node.ID]
	if !known {
		node.Incarnation = 0
		t.sortedIDs = nil
		t.records[node.ID] = &record{Record: Record{Leaving: leaving, Listed: true, Node: node, Since: now, State: StateAlive}}
		return
	}
	node.Incarnation = r.Node.Incarnation
	r.Listed = r.Node == node
	if r.Node.Incarnation == 0 {
		r.Node, r.Listed = node, true
	}
	r.Leaving = r.Leaving || leaving
}

// MarkUnlisted clears Listed for the nodes that are not in listed.
func (t *Table) MarkUnlisted(listed map[string]bool) {
	for id, r := range t.records {
		r.Listed = r.Listed && listed[id]
	}
}

func (t *Table) insert(update *memberpb.Update, state State, now time.Time) bool {
	if update.GetNode() == nil || state == StateGone {
		return false
	}
	r := &record{Record: Record{
		Leaving: update.GetLeaving(),
		Node:    Node{ID: update.GetId(), Incarnation: update.GetIncarnation()},
	}}
	r.setNode(update.GetNode())
	t.setState(r, state, now)
	t.records[update.GetId()] = r
	t.sortedIDs = nil
	return true
}

// ids returns the sorted IDs of all records. The slice is shared and must not be
// changed.
func (t *Table) ids() []string {
	if t.sortedIDs != nil {
		return t.sortedIDs
	}
	ids := make([]string, 0, len(t.records))
	for id := range t.records {
		ids = append(ids, id)
	}
	slices.Sort(ids)
	t.sortedIDs = ids
	return ids
}

func (t *Table) setState(r *record, state State, now time.Time) {
	t.changed = true
	r.State, r.Since, r.suspicion = state, now, nil
}

func (r *record) setNode(node *memberpb.Node) {
	if node == nil {
		return
	}
	next := Node{
		AvailabilityZone: node.GetAvailabilityZone(),
		CallerAddress:    node.GetCallerAddress(),
		ID:               r.Node.ID,
		Incarnation:      r.Node.Incarnation,
		PeerAddress:      node.GetPeerAddress(),
		Region:           node.GetRegion(),
	}
	r.Listed = r.Listed && next == r.Node
	r.Node = next
}

// toUpdate returns the update that describes the record to peers. It omits the
// node's addresses if the host list contains them.
func (r *record) toUpdate() *memberpb.Update {
	update := &memberpb.Update{
		Id:          r.Node.ID,
		Incarnation: r.Node.Incarnation,
		Leaving:     r.Leaving,
		State:       stateToWire[r.State],
	}
	if !r.Listed {
		update.Node = wireNode(r.Node)
	}
	return update
}

func wireNode(node Node) *memberpb.Node {
	return &memberpb.Node{
		AvailabilityZone: node.AvailabilityZone,
		CallerAddress:    node.CallerAddress,
		PeerAddress:      node.PeerAddress,
		Region:           node.Region,
	}
}
