package deployment

import (
	"context"
	"errors"
	"fmt"
	"io"
	"log/slog"
	"sync/atomic"
	"time"

	"golang.org/x/sync/errgroup"

	"github.com/nutmegway/nutmegway/internal/external/hostlist"
	"github.com/nutmegway/nutmegway/internal/external/weightstore"
	"github.com/nutmegway/nutmegway/internal/request/balance"
	"github.com/nutmegway/nutmegway/internal/request/direct"
	standinengine "github.com/nutmegway/nutmegway/internal/standin/engine"
	standinetcd "github.com/nutmegway/nutmegway/internal/standin/etcd"
	standinhostlist "github.com/nutmegway/nutmegway/internal/standin/hostlist"
	standinplain "github.com/nutmegway/nutmegway/internal/standin/plain"
	standinweightstore "github.com/nutmegway/nutmegway/internal/standin/weightstore"
)

// Deployment is a complete deployment on loopback, with stand-ins for everything but
// the entry hosts. The fields above Engines are set before Run; the other exported
// fields are valid once Run calls work.
type Deployment struct {
	// NewBaselinePolicy returns the load-balancing policy by which each node chooses an
	// engine itself, instead of sending requests to the owner of the engine's queue. Nil
	// keeps the queue owners.
	NewBaselinePolicy func() balance.Policy[direct.Candidate]
	// Binary is the path of the nutmegway binary. If it is set, the nodes run as
	// separate processes with their settings files in Dir.
	Binary string
	// Configure modifies an engine before it starts; nil keeps the defaults.
	Configure func(i int, engine *standinengine.Engine)
	// ExtraSettings returns further sections for the settings file of a node
	// that runs as a process; nil adds none.
	ExtraSettings func(id string) string
	Dir           string
	// Hosts, Store and Weights are the stand-ins for the platform's services. Run
	// replaces nil by a stand-in with the default settings.
	Hosts  *standinhostlist.Server
	Logger *slog.Logger
	// ProcessLog receives the logs of nodes that run as processes; nil sends them
	// to standard error if Logger is enabled for errors.
	ProcessLog io.Writer
	Shape      Shape
	Store      *standinetcd.Server
	// StoreLinks puts a fault proxy between each node and the store.
	StoreLinks bool
	Weights    *standinweightstore.Server

	Engines []*standinengine.Engine
	Nodes   []*Node
	Plains  []*standinplain.Server
	// Token is the bearer token of the deployment's team.
	Token string

	group     *errgroup.Group
	peerBytes atomic.Int64
}

var errWorkDone = errors.New("work completed")

// Run starts the deployment, applies the two documents, waits until they are in force
// on all nodes, calls work, and stops everything when work returns.
func (d *Deployment) Run(ctx context.Context, work func(ctx context.Context) error) error {
	if err := d.listen(); err != nil {
		return err
	}
	group, ctx := errgroup.WithContext(ctx)
	d.group = group
	for _, run := range d.standins() {
		group.Go(func() error { return run(ctx) })
	}
	if err := d.addNodes(ctx); err != nil {
		return err
	}
	group.Go(func() error {
		if err := d.prepare(ctx); err != nil {
			return err
		}
		if err := work(ctx); err != nil {
			return err
		}
		return errWorkDone
	})
	err := group.Wait()
	if errors.Is(err, errWorkDone) {
		return nil
	}
	return err
}

func (d *Deployment) standins() []func(context.Context) error {
	runs := []func(context.Context) error{d.Store.Run, d.Hosts.Run, d.Weights.Run}
	for _, engine := range d.Engines {
		runs = append(runs, engine.Run)
	}
	for _, plain := range d.Plains {
		runs = append(runs, plain.Run)
	}
	return runs
}

// listen opens the listeners of all stand-ins, so that their addresses are known before
// any of them runs.
func (d *Deployment) listen() error {
	d.setDefaults()
	for _, listen := range []func() error{d.Store.Listen, d.Hosts.Listen, d.Weights.Listen} {
		if err := listen(); err != nil {
			return err
		}
	}
	for i := range d.Shape.Engines {
		if err := d.addEngine(i); err != nil {
			return err
		}
	}
	for i := range d.Shape.Plains {
		if err := d.addPlain(i); err != nil {
			return err
		}
	}
	return nil
}

func (d *Deployment) setDefaults() {
	if d.Hosts == nil {
		d.Hosts = &standinhostlist.Server{}
	}
	if d.Logger == nil {
		d.Logger = slog.New(slog.DiscardHandler)
	}
	if d.Store == nil {
		d.Store = &standinetcd.Server{}
	}
	if d.Weights == nil {
		d.Weights = &standinweightstore.Server{}
	}
	d.Token = "token-of-" + d.Shape.Team
}

func (d *Deployment) addEngine(i int) error {
	engine := &standinengine.Engine{
		ID:      fmt.Sprintf("engine-%02d", i),
		Logger:  d.Logger,
		Model:   d.Shape.EngineService,
		Version: 1,
	}
	if d.Configure != nil {
		d.Configure(i, engine)
	}
	if err := engine.Listen(); err != nil {
		return err
	}
	d.Engines = append(d.Engines, engine)
	d.Hosts.Set(d.host(hostlist.RoleEngine, engine.ID, engine.Address, d.Shape.EngineService, i))
	return nil
}

func (d *Deployment) addPlain(i int) error {
	server := &standinplain.Server{ID: fmt.Sprintf("plain-%02d", i), Logger: d.Logger}
	if err := server.Listen(); err != nil {
		return err
	}
	d.Plains = append(d.Plains, server)
	d.Hosts.Set(d.host(hostlist.RolePlain, server.ID, server.Address, d.Shape.PlainService, i))
	return nil
}

func (d *Deployment) host(role hostlist.Role, id, address, service string, i int) hostlist.Host {
	return hostlist.Host{
		Address:          address,
		AvailabilityZone: d.Shape.zone(i),
		ID:               id,
		Region:           d.Shape.region(),
		Role:             role,
		Service:          service,
		State:            hostlist.StateLive,
	}
}

// addNodes starts the entry hosts.
func (d *Deployment) addNodes(ctx context.Context) error {
	for i := range d.Shape.Nodes {
		node := &Node{ID: fmt.Sprintf("entry-%02d", i), Zone: d.Shape.zone(i), deployment: d}
		d.Nodes = append(d.Nodes, node)
		if err := node.addLink(ctx); err != nil {
			return err
		}
		if err := node.Start(ctx); err != nil {
			return err
		}
	}
	return nil
}

// prepare publishes the first weights, applies the documents and waits until they are
// in force.
func (d *Deployment) prepare(ctx context.Context) error {
	weights := weightstore.Client{BaseURL: d.Weights.URL()}
	err := weights.Publish(ctx, weightstore.Version{Bytes: 1 << 20, Model: d.Shape.EngineService, Number: 1, PublishedAt: time.Now()})
	if err != nil {
		return err
	}
	for service, text := range map[string]string{
		d.Shape.EngineService: d.Shape.EngineDocument(),
		d.Shape.PlainService:  d.Shape.PlainDocument(),
	} {
		if err := d.Apply(ctx, service, text); err != nil {
			return err
		}
	}
	return d.waitReady(ctx)
}
