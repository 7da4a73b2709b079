package peer

import (
	"sync"
	"time"

	"google.golang.org/grpc"
)

// linkIdleTimeout is how long a link without calls keeps its connection.
const linkIdleTimeout = 10 * time.Second

// Links holds connections for calls that may take long. Unlike a connection of a Pool, one on
// which a call failed is closed only when its other calls have ended; new calls get a new
// connection at once. The exported fields are set before the first call.
type Links struct {
	// Options are additional dial options for each connection.
	Options []grpc.DialOption

	mu    sync.Mutex
	links map[string]*Link
}

// Link is a connection to another host.
type Link struct {
	Conn grpc.ClientConnInterface

	address string
	calls   int
	conn    *grpc.ClientConn
	retired bool
}

// Acquire returns the link to address, an IP address and port. Release must be called when the
// call that uses it has ended.
func (l *Links) Acquire(address string) (*Link, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	link, ok := l.links[address]
	if !ok {
		options := append([]grpc.DialOption{grpc.WithIdleTimeout(linkIdleTimeout)}, l.Options...)
		conn, err := dial(address, nil, options)
		if err != nil {
			return nil, err
		}
		link = &Link{Conn: conn, address: address, conn: conn}
		if l.links == nil {
			l.links = make(map[string]*Link)
		}
		l.links[address] = link
	}
	link.calls++
	return link, nil
}

// Release ends the use of a link by one call. If the link failed, later calls don't use it.
func (l *Links) Release(link *Link, failed bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	link.calls--
	if failed {
		l.retire(link)
	}
	link.closeUnused()
}

// Close closes the links as soon as they have no calls.
func (l *Links) Close() {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, link := range l.links {
		l.retire(link)
		link.closeUnused()
	}
}

// retire makes later calls use another link. l.mu is held.
func (l *Links) retire(link *Link) {
	link.retired = true
	if l.links[link.address] == link {
		delete(l.links, link.address)
	}
}

func (link *Link) closeUnused() {
	if link.retired && link.calls == 0 {
		_ = link.conn.Close() // It has no calls.
	}
}
