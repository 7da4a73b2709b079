package node

import (
	"context"

	"google.golang.org/grpc"

	"github.com/nutmegway/nutmegway/internal/external/kv"
	"github.com/nutmegway/nutmegway/internal/fleet/document"
	"github.com/nutmegway/nutmegway/internal/fleet/peer"
	"github.com/nutmegway/nutmegway/internal/fleet/spread"
)

func (n *Node) addDocuments(_ context.Context, pool *peer.Pool, registrar *grpc.Server) error {
	documents := &spread.Documents{Decode: documentFromEntry}
	spreader := &spread.Spreader{
		Documents: documents,
		Logger:    n.Logger,
		Members:   n.agent,
		Peers:     pool,
		Prefix:    document.Prefix,
		Store:     n.Store,
	}
	spreader.Register(registrar)
	n.parts.documents = documents
	n.parts.spreader = spreader
	n.parts.components = append(n.parts.components, spreader)
	return nil
}

// documentFromEntry decodes the document in a replicated entry.
func documentFromEntry(entry spread.Entry) (document.Accepted, error) {
	return document.FromEntry(kv.Entry{Key: entry.Key, ModRevision: entry.Revision, Value: entry.Value})
}
