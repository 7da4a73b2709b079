package document

// View provides the documents in force as known to this node.
type View interface {
	// Document returns the document in force for service.
	Document(service string) (Accepted, bool)
	// Documents returns all documents in force, sorted by service name.
	Documents() []Accepted
}
