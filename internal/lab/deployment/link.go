package deployment

import (
	"context"

	"github.com/nutmegway/nutmegway/internal/standin/faultproxy"
)

// addLink starts a fault proxy between the node and the key-value store if StoreLinks
// is set.
func (n *Node) addLink(ctx context.Context) error {
	d := n.deployment
	if !d.StoreLinks {
		return nil
	}
	n.StoreLink = &faultproxy.Proxy{Target: d.Store.Address()}
	if err := n.StoreLink.Listen(); err != nil {
		return err
	}
	d.group.Go(func() error { return n.StoreLink.Run(ctx) })
	return nil
}

// storeAddress returns the address at which the node reaches the key-value store.
func (n *Node) storeAddress() string {
	if n.StoreLink != nil {
		return n.StoreLink.Address
	}
	return n.deployment.Store.Address()
}
