package member

// View is a node's current view of the entry hosts.
type View interface {
	// Nodes returns the alive and suspect nodes that are not leaving, this one
	// included, sorted by ID. The slice is shared and must not be changed.
	Nodes() []Node
	// Self returns this node.
	Self() Node
}
