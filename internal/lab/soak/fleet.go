package soak

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"sync"
	"sync/atomic"
	"time"

	"golang.org/x/sync/errgroup"

	"github.com/nutmegway/nutmegway/internal/entry/host"
	"github.com/nutmegway/nutmegway/internal/lab/process"
	"github.com/nutmegway/nutmegway/internal/standin/faultproxy"
	"github.com/nutmegway/nutmegway/platform/platformtest"
)

const (
	// The settings of the hosts are those in use at the platform's sites.
	addressTTL   = 5 * time.Second
	grace        = 8 * time.Second
	orderSpacing = 3 * time.Second
	retention    = 120 * time.Second
	drainBound   = 3 * time.Second

	// Each host has a loopback address of its own, so that no other program can hold
	// these ports.
	callerPort    = 8001
	directoryPort = 8002
	readyPort     = 8003
	peerPort      = 8004

	engineCount = 4
	engineSlots = 8
	plainCount  = 3
	plainSlots  = 16
	eventTime   = 8 * time.Millisecond
	loadTime    = 150 * time.Millisecond
	workTime    = 50 * time.Millisecond

	engineService = "generators"
	plainService  = "records"
	model         = "drafter"
	routeHost     = "soak.example"
	batchPrefix   = "/batches/"
	lookupPrefix  = "/look-ups/"
	bookingPrefix = "/bookings/"
	routeTimeout  = 2 * time.Second
)

// node is an entry host that runs as a separate process.
type node struct {
	// binaries are the programs of the host. Each start takes the next one.
	binaries []string
	eventMu  sync.Mutex
	file     string
	link     *faultproxy.Proxy
	log      io.Writer
	index    int
	process  *process.Process
	settings host.Settings
	// starts counts the starts of the host.
	starts int
	// started is when the current process was started, in Unix nanoseconds.
	started atomic.Int64
}

func (n *node) start(ctx context.Context) error {
	n.process = &process.Process{Args: []string{"host", "--settings", n.file}, Log: n.log, Path: n.binaries[(n.index+n.starts)%len(n.binaries)]}
	n.starts++
	n.started.Store(time.Now().UnixNano())
	return n.process.Start(ctx)
}

// backend is a backend server and the link to it.
type backend struct {
	*platformtest.Server

	eventMu sync.Mutex
	link    *faultproxy.Proxy
}

// fleet is the hosts, the backend servers and the key-value store of a run.
type fleet struct {
	backends []*backend
	nodes    []*node
	store    platformtest.Store
	// storeDelay is the delay before each call of the store, in nanoseconds.
	storeDelay atomic.Int64
}

// listen serves handler on a free loopback port until ctx ends. It returns the
// address.
func listen(ctx context.Context, group *errgroup.Group, handler http.Handler) (string, error) {
	listener, err := (&net.ListenConfig{}).Listen(ctx, "tcp", "127.0.0.1:0")
	if err != nil {
		return "", err
	}
	server := &http.Server{Handler: handler, ReadHeaderTimeout: grace}
	group.Go(func() error {
		<-ctx.Done()
		return server.Close()
	})
	group.Go(func() error {
		_ = server.Serve(listener) // Serve returns once Close is called.
		return nil
	})
	return listener.Addr().String(), nil
}

// linkTo starts a fault proxy that forwards to an address until ctx ends.
func linkTo(ctx context.Context, group *errgroup.Group, address string) (*faultproxy.Proxy, error) {
	link := &faultproxy.Proxy{Target: address}
	if err := link.Listen(); err != nil {
		return nil, err
	}
	group.Go(func() error { return link.Run(ctx) })
	return link, nil
}

// start starts the store, the backend servers and the hosts.
func (f *fleet) start(ctx context.Context, group *errgroup.Group, r *run) error {
	store, err := listen(ctx, group, http.HandlerFunc(f.serveStore))
	if err != nil {
		return err
	}
	for i := range engineCount + plainCount {
		server := &platformtest.Server{
			EventTime: eventTime, LoadTime: loadTime, Model: model, Name: fmt.Sprintf("engine%d", i), Service: engineService,
			Slots: engineSlots, Store: &f.store.Memory, Zone: "zone-a",
		}
		if i >= engineCount {
			server.Model, server.Name, server.Service, server.Slots, server.WorkTime = "", fmt.Sprintf("record%d", i), plainService, plainSlots, workTime
		}
		address, err := listen(ctx, group, server)
		if err != nil {
			return err
		}
		link, err := linkTo(ctx, group, address)
		if err != nil {
			return err
		}
		server.Address = link.Address
		if err := server.Start(); err != nil {
			return err
		}
		b := &backend{Server: server, link: link}
		if i >= engineCount {
			server.OnPoison = func() { r.onPoison(ctx, group, b) }
		}
		f.backends = append(f.backends, b)
	}
	for i := range r.Processes {
		link, err := linkTo(ctx, group, store)
		if err != nil {
			return err
		}
		n, err := newNode(r.Soak, i, link)
		if err != nil {
			return err
		}
		f.nodes = append(f.nodes, n)
		if err := n.start(ctx); err != nil {
			return err
		}
	}
	return nil
}

func newNode(s Soak, number int, link *faultproxy.Proxy) (*node, error) {
	ip := fmt.Sprintf("127.%d.%d.%d", 64+os.Getpid()>>8&63, os.Getpid()&255, number+1)
	at := func(port int) string { return fmt.Sprintf("%s:%d", ip, port) }
	settings := host.Settings{
		CallerAddress: at(callerPort), DirectoryAddress: at(directoryPort), Grace: grace, ID: fmt.Sprintf("host%d", number),
		MaxAddressTTL: addressTTL, OrderSpacing: orderSpacing, PeerAddress: at(peerPort), ReadyAddress: at(readyPort),
		ResultRetention: retention, StoreAddress: link.Address, Zone: "zone-a",
	}
	data, err := platformtest.SettingsFile(settings)
	if err != nil {
		return nil, err
	}
	file := filepath.Join(s.Dir, settings.ID+".json")
	if err := os.WriteFile(file, data, 0o600); err != nil {
		return nil, err
	}
	log, err := os.Create(filepath.Join(s.Dir, settings.ID+".log"))
	if err != nil {
		return nil, err
	}
	binaries := []string{s.Binary}
	if s.OtherBinary != "" {
		binaries = append(binaries, s.OtherBinary)
	}
	return &node{binaries: binaries, file: file, link: link, log: log, index: number, settings: settings}, nil
}

func (f *fleet) serveStore(w http.ResponseWriter, r *http.Request) {
	if delay := f.storeDelay.Load(); delay > 0 {
		time.Sleep(time.Duration(delay))
	}
	f.store.ServeHTTP(w, r)
}

// killHosts kills the hosts that still run.
func (f *fleet) killHosts() error {
	var group errgroup.Group
	for _, n := range f.nodes {
		if n.process != nil {
			group.Go(n.process.Kill)
		}
	}
	return group.Wait()
}

// configure writes a version of the configuration, with the routes of all versions
// up to it.
func (f *fleet) configure(version int64) error {
	routes := []platformtest.Route{
		{Host: routeHost, Prefix: batchPrefix, Service: engineService, Repeat: platformtest.RepeatBatch, Timeout: routeTimeout},
		{Host: routeHost, Prefix: lookupPrefix, Service: plainService, Repeat: platformtest.RepeatIdempotent, Timeout: routeTimeout},
		{Host: routeHost, Prefix: bookingPrefix, Service: plainService, Repeat: platformtest.RepeatNever, Timeout: routeTimeout},
	}
	for v := int64(1); v <= version; v++ {
		routes = append(routes, platformtest.Route{
			Host: routeHost, Prefix: versionPrefix(v), Service: plainService, Repeat: platformtest.RepeatIdempotent, Timeout: routeTimeout,
		})
	}
	return platformtest.Configure(&f.store, version, routes, map[string]string{engineService: model, plainService: ""})
}

// versionPrefix returns the path prefix of the route that a version of the
// configuration adds.
func versionPrefix(version int64) string { return fmt.Sprintf("/added-%d/", version) }
