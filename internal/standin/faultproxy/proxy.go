// Package faultproxy forwards TCP connections and injects network faults: delay, loss,
// resets, half-open connections and limited bandwidth.
package faultproxy

import (
	"context"
	"errors"
	"net"
	"sync"
	"time"

	"golang.org/x/sync/errgroup"
)

const bufferBytes = 32 << 10

// Fault is the fault of a link. The zero value forwards without a fault.
type Fault struct {
	// Bandwidth limits each direction of a connection, in bytes per second; zero means
	// no limit.
	Bandwidth int
	// Blackhole accepts connections and data, but forwards nothing.
	Blackhole bool
	// Delay is the one-way delay added to each chunk of data.
	Delay time.Duration
	// HalfOpen forwards data to the target and drops the data that the target sends
	// back.
	HalfOpen bool
	// LoseReply resets the connection when the target starts to reply.
	LoseReply bool
	// Refuse closes new connections at once.
	Refuse bool
}

// Proxy is a link to one target. Its faults can be changed while it runs.
type Proxy struct {
	// Address is where the proxy listens; Listen replaces port 0.
	Address string
	// Target is the address to which connections are forwarded.
	Target string

	listener net.Listener

	mu    sync.Mutex
	conns map[*net.TCPConn]struct{}
	fault Fault
}

// Listen opens the listener, so that Address is known before Run.
func (p *Proxy) Listen() error {
	if p.Address == "" {
		p.Address = "127.0.0.1:0"
	}
	listener, err := (&net.ListenConfig{}).Listen(context.Background(), "tcp", p.Address)
	if err != nil {
		return err
	}
	p.listener = listener
	p.Address = listener.Addr().String()
	return nil
}

// Run forwards until ctx ends.
func (p *Proxy) Run(ctx context.Context) error {
	if p.listener == nil {
		if err := p.Listen(); err != nil {
			return err
		}
	}
	var group errgroup.Group
	group.Go(func() error {
		<-ctx.Done()
		err := p.listener.Close()
		p.ResetAll()
		return err
	})
	group.Go(func() error { return p.accept(ctx, &group) })
	return group.Wait()
}

func (p *Proxy) accept(ctx context.Context, group *errgroup.Group) error {
	for {
		conn, err := p.listener.Accept()
		if errors.Is(err, net.ErrClosed) {
			return nil
		}
		if err != nil {
			return err
		}
		group.Go(func() error {
			p.serveConn(ctx, conn)
			return nil
		})
	}
}

// SetFault sets the fault of the link, also for open connections.
func (p *Proxy) SetFault(fault Fault) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.fault = fault
}

// ResetAll ends all open connections with a TCP reset.
func (p *Proxy) ResetAll() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for conn := range p.conns {
		_ = conn.SetLinger(0) // Close then sends a TCP reset.
		_ = conn.Close()      // The connection is abandoned.
	}
}

func (p *Proxy) currentFault() Fault {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.fault
}

func (p *Proxy) serveConn(ctx context.Context, conn net.Conn) {
	client, ok := conn.(*net.TCPConn)
	if !ok || p.currentFault().Refuse {
		_ = conn.Close() // The connection is refused.
		return
	}
	dialed, err := (&net.Dialer{}).DialContext(ctx, "tcp", p.Target)
	if err != nil {
		_ = client.SetLinger(0) // Close then sends a TCP reset.
		_ = client.Close()      // The connection is abandoned.
		return
	}
	target, ok := dialed.(*net.TCPConn)
	if !ok {
		return
	}
	p.track(client, target)
	defer p.untrack(client, target)
	if ctx.Err() != nil {
		return
	}
	var group errgroup.Group
	group.Go(func() error { return p.forward(target, client, false) })
	group.Go(func() error { return p.forward(client, target, true) })
	_ = group.Wait() // Broken connections are expected.
}

func (p *Proxy) track(conns ...*net.TCPConn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.conns == nil {
		p.conns = map[*net.TCPConn]struct{}{}
	}
	for _, conn := range conns {
		p.conns[conn] = struct{}{}
	}
}

func (p *Proxy) untrack(conns ...*net.TCPConn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, conn := range conns {
		delete(p.conns, conn)
		_ = conn.Close() // The connection has ended.
	}
}

// forward copies data from source to destination until source ends. reply is true in
// the direction from the target to the client.
func (p *Proxy) forward(destination, source *net.TCPConn, reply bool) error {
	buffer := make([]byte, bufferBytes)
	for {
		n, err := source.Read(buffer)
		if n > 0 {
			if err := p.forwardChunk(destination, buffer[:n], reply); err != nil {
				_ = source.Close() // The other direction ends too.
				return err
			}
		}
		if err != nil {
			_ = destination.CloseWrite() // The other direction may continue.
			return err
		}
	}
}

var errReplyLost = errors.New("reply dropped by an injected fault")

func (p *Proxy) forwardChunk(destination *net.TCPConn, data []byte, reply bool) error {
	fault := p.currentFault()
	if fault.Blackhole || fault.HalfOpen && reply {
		return nil
	}
	if fault.LoseReply && reply {
		_ = destination.SetLinger(0) // Close then sends a TCP reset.
		_ = destination.Close()      // The connection is abandoned.
		return errReplyLost
	}
	wait := fault.Delay
	if fault.Bandwidth > 0 {
		wait += time.Duration(len(data)) * time.Second / time.Duration(fault.Bandwidth)
	}
	if wait > 0 {
		time.Sleep(wait)
	}
	_, err := destination.Write(data)
	return err
}
