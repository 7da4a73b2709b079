package node

import (
	"context"
	"net/http"

	"google.golang.org/grpc"

	"github.com/nutmegway/nutmegway/internal/backend/engine"
	"github.com/nutmegway/nutmegway/internal/fleet/peer"
	"github.com/nutmegway/nutmegway/internal/request/direct"
	"github.com/nutmegway/nutmegway/internal/request/dispatch"
	"github.com/nutmegway/nutmegway/internal/request/owner"
	"github.com/nutmegway/nutmegway/internal/request/poison"
	"github.com/nutmegway/nutmegway/internal/request/route"
)

// newEngineFactory returns a function that creates the client of the engine at an
// address.
func newEngineFactory(client *http.Client) func(address string) engine.Engine {
	return func(address string) engine.Engine {
		return engine.Client{Address: address, HTTP: client}
	}
}

// addDispatcher adds the components that run generations. These are the dispatcher (which
// chooses the engine), the owner of the engines' queues, the client of the queues of other
// nodes and the registry of poison requests. With a baseline policy it adds only a
// dispatcher without queues.
func (n *Node) addDispatcher(_ context.Context, pool *peer.Pool, registrar *grpc.Server) error {
	newClient := newEngineFactory(newBackendClient(n.parts.dialer))
	if n.BaselinePolicy != nil {
		n.parts.dispatcher = &direct.Dispatcher{Engine: newClient, Policy: n.BaselinePolicy, Servers: n.parts.servers}
		return nil
	}
	registry := &poison.Registry{Logger: n.Logger, Members: n.parts.members, Pool: pool}
	queues := &owner.Owner{
		Documents: n.parts.documents, Engine: newClient, Logger: n.Logger,
		Members: n.parts.members, Poison: registry, Servers: n.parts.servers,
	}
	client := &owner.Client{
		Local: queues, Logger: n.Logger, Members: n.parts.members, Pool: pool, Servers: n.parts.servers,
	}
	dispatcher := &route.Dispatcher{
		Documents: n.parts.documents, Gate: registry, Logger: n.Logger,
		Members: n.parts.members, Queues: client, Servers: n.parts.eligible,
	}
	registry.Register(registrar)
	queues.Register(registrar)
	n.parts.components = append(n.parts.components, registry, queues, client, dispatcher)
	n.parts.dispatcher = dispatcher
	n.parts.queues = queues
	return nil
}

// Dispatcher returns the dispatcher of the node's generations, or nil before Run has
// created it. Benchmarks send calls through it.
func (n *Node) Dispatcher() dispatch.Dispatcher { return n.parts.dispatcher }
