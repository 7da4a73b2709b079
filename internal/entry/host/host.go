package host

import (
	"context"
	"log/slog"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/google/uuid"
	"golang.org/x/sync/errgroup"
	"google.golang.org/grpc"

	"github.com/nutmegway/nutmegway/internal/backend/dialect"
	"github.com/nutmegway/nutmegway/internal/backend/ending"
	"github.com/nutmegway/nutmegway/internal/backend/generation"
	"github.com/nutmegway/nutmegway/internal/backend/inventory"
	"github.com/nutmegway/nutmegway/internal/backend/plain"
	"github.com/nutmegway/nutmegway/internal/base/guard"
	"github.com/nutmegway/nutmegway/internal/base/kind"
	"github.com/nutmegway/nutmegway/internal/base/rendezvous"
	"github.com/nutmegway/nutmegway/internal/base/wait"
	"github.com/nutmegway/nutmegway/internal/external/kv"
	"github.com/nutmegway/nutmegway/internal/external/kvrelay"
	"github.com/nutmegway/nutmegway/internal/external/kvrelay/kvrelaypb"
	"github.com/nutmegway/nutmegway/internal/fleet/config"
	"github.com/nutmegway/nutmegway/internal/fleet/follow"
	"github.com/nutmegway/nutmegway/internal/fleet/leaving"
	"github.com/nutmegway/nutmegway/internal/fleet/mirror"
	"github.com/nutmegway/nutmegway/internal/fleet/peer"
	"github.com/nutmegway/nutmegway/internal/fleet/roster"
	"github.com/nutmegway/nutmegway/internal/request/forward"
	"github.com/nutmegway/nutmegway/internal/request/poison"
	"github.com/nutmegway/nutmegway/internal/rollout/batch"
	"github.com/nutmegway/nutmegway/internal/rollout/batchlink"
	"github.com/nutmegway/nutmegway/internal/rollout/batchrun"
	"github.com/nutmegway/nutmegway/internal/rollout/loading"
)

const (
	// sharedWait bounds the waits of the other watches, so that hosts that follow
	// this one know that it still hears of the store.
	sharedWait = 2 * time.Second
	// settleTime is how long a host that starts waits before it follows others or
	// the store: the platform starts all machines within 0.3 s, and each is listed
	// after two calls.
	settleTime = 500 * time.Millisecond
	// notReadyWait is when a caller comes again whose host knows no configuration.
	notReadyWait = 300 * time.Millisecond
	// stopMargin is left of the grace when requests in flight are cut.
	stopMargin = 700 * time.Millisecond
	// maxAddresses bounds the addresses of one answer. In a larger fleet the answers of
	// two hosts differ.
	maxAddresses = 64
	// handoverTime is left of it when batches that still run are handed over: two
	// seconds for the calls and one for a busy machine.
	handoverTime = 3 * time.Second
)

// Prefixes are the prefixes of keys that others write.
type Prefixes struct {
	Operators string
	Servers   string
}

// Documents decodes what operators, trainers and backend servers write to the
// store. Its methods are told the key and ignore keys of another kind.
type Documents interface {
	Prefixes() Prefixes
	// Config returns a configuration; false if the key holds none.
	Config(key string, value []byte) (*config.Config, bool, error)
	// Server returns a backend server.
	Server(key string, value []byte) (inventory.Server, error)
	// Version returns a named weight version of a model.
	Version(key string, value []byte) (model string, version int64, ok bool, err error)
	// Retirement returns the key and value by which the system answers that a
	// host with a disk is empty; false if the key asks for none.
	Retirement(key string) (statusKey string, status []byte, ok bool)
}

// Host is one entry host. The exported fields are set before Run.
type Host struct {
	Dialect   dialect.Dialect
	Documents Documents
	Engines   loading.Engines
	Logger    *slog.Logger
	Plain     *plain.Client
	Settings  Settings
	// Direct is the key-value service as this host reaches it itself.
	Direct kv.RangeStore

	// Metrics answers at the metrics address; nil answers nothing.
	Metrics http.Handler
	// The handlers of the three listeners.
	Callers   http.Handler
	Directory http.Handler
	Readiness http.Handler

	// Batches and Forwarder are ready after SetUp.
	Batches   *batchrun.Service
	Forwarder *forward.Forwarder

	config         atomic.Pointer[config.Config]
	contents       *poison.KVRegistry
	drain          chan struct{}
	drainOnce      sync.Once
	endings        *ending.Detector
	leavingServers *leaving.Board
	giver          *loading.Controller
	inventory      *inventory.Inventory
	leaving        atomic.Bool
	peers          *peer.Pool
	live           *mirror.Mirror
	// relayed is the key-value service by way of other hosts, too.
	relayed *kvrelay.Store
	retired retirements
	roster  *roster.Roster
	runner  *batchrun.Runner
	servers *serverFeed
	// store is the key-value service by any way.
	store kv.RangeStore
}

// SetUp builds the parts of the host.
func (h *Host) SetUp() {
	incarnation := uuid.NewString()
	h.drain = make(chan struct{})
	h.inventory = &inventory.Inventory{DrainBound: h.Settings.DrainBound}
	h.peers = &peer.Pool{Options: peer.LocalOptions()}
	h.store = h.Direct
	if h.Settings.PeerAddress != "" {
		h.relayed = &kvrelay.Store{Direct: h.Direct, Logger: h.Logger, Peers: h}
		h.store = h.relayed
	}
	h.leavingServers = &leaving.Board{Inventory: h.inventory, Logger: h.Logger, Store: h.store}
	h.Plain.IsLeaving = h.Dialect.IsLeaving
	h.Plain.OnLeaving = h.leavingServers.Heard
	h.servers = &serverFeed{Documents: h.Documents, Inventory: h.inventory, Logger: h.Logger}
	h.contents = &poison.KVRegistry{
		MayRemove: h.isFirst, HostCount: func() int { return len(h.roster.Listed()) }, Logger: h.Logger, Store: h.store,
	}
	h.endings = &ending.Detector{Logger: h.Logger, OnEnded: h.serverEnded, Prober: h.Plain, Servers: h.inventory}
	h.Forwarder = &forward.Forwarder{
		Client: h.Plain, Quarantine: h.contents, Dialect: h.Dialect, Endings: h.endings, Inventory: h.inventory, Logger: h.Logger,
		Self: h.Settings.ID, Zone: h.Settings.Zone,
	}
	h.roster = &roster.Roster{
		Logger: h.Logger, Store: h.store,
		Self: roster.Host{
			Address: h.Settings.CallerAddress, ID: h.Settings.ID, Incarnation: incarnation,
			Peer: h.Settings.PeerAddress, Processor: h.Settings.Processor, Zone: h.Settings.Zone,
		},
	}
	batches := &batch.Store{KV: h.store}
	h.runner = &batchrun.Runner{
		Batches: batches, Config: h.config.Load, Inventory: h.inventory, Logger: h.Logger,
		Generation: &generation.Client{Dialect: h.Dialect, Logger: h.Logger, Plain: h.Plain},
		Rewards:    h.Forwarder,
		Self:       batch.Owner{Host: h.Settings.ID, Incarnation: incarnation},
	}
	h.Batches = &batchrun.Service{
		Batches: batches, Index: &batch.Index{Logger: h.Logger, OnHead: h.runner.Observe},
		Retention: h.Settings.ResultRetention, Logger: h.Logger, Roster: h.roster, Runner: h.runner,
	}
	if h.Settings.PeerAddress != "" {
		h.Batches.Link = &batchlink.Client{Pool: h.peers}
	}
	h.runner.OnHead = h.Batches.Index.Put
	h.runner.OnReleased = h.Batches.Offer
	h.giver = &loading.Controller{
		Config: h.config.Load, Engines: h.Engines, Inventory: h.inventory, Logger: h.Logger,
		Registry: &loading.StoreRegistry{CachedList: h.roster.Known, Self: h.Settings.ID, Store: h.store}, Self: h.Settings.ID,
		Spacing: h.Settings.OrderSpacing,
	}
	h.retired = retirements{Duty: h.isFirst, Documents: h.Documents, Logger: h.Logger, Store: h.store, wake: make(chan struct{}, 1)}
}

// Run serves until Drain is called or ctx ends.
func (h *Host) Run(ctx context.Context) error {
	h.Logger.LogAttrs(ctx, slog.LevelInfo, "host starts", slog.String("host", h.Settings.ID),
		slog.String("incarnation", h.roster.Self.Incarnation), slog.String("zone", h.Settings.Zone),
		slog.String("store", h.Settings.StoreAddress), slog.String("callers", h.Settings.CallerAddress))
	defer h.Logger.LogAttrs(ctx, slog.LevelInfo, "host stopped", slog.String("host", h.Settings.ID))
	if h.Settings.CallerAddress == "" {
		// A host without callers holds nothing and has nothing to do.
		select {
		case <-ctx.Done():
		case <-h.drain:
		}
		return nil
	}
	ctx, stop := context.WithCancel(ctx)
	defer stop()
	duties, stopDuties := context.WithCancel(ctx)
	defer stopDuties()
	group, groupCtx := errgroup.WithContext(ctx)
	listeners, err := h.listen(groupCtx, group)
	if err != nil {
		return err
	}
	h.runner.Start(group)
	mirrors := h.mirrors()
	if h.Settings.PeerAddress != "" {
		server := &peer.Server{Address: h.Settings.PeerAddress, Logger: h.Logger, Register: func(s *grpc.Server) {
			batchlink.Register(s, h.Batches)
			follow.Register(s, mirrors)
			kvrelay.Register(s, h.relayed)
		}}
		group.Go(func() error { return server.Run(groupCtx) })
		defer func() { _ = h.peers.Close() }()
	}
	supervise := func(ctx context.Context, work string, run func(context.Context) error) {
		group.Go(func() error { return guard.Supervise(ctx, h.Logger, work, run) })
	}
	for _, m := range mirrors {
		supervise(groupCtx, "mirror of "+m.Prefix, m.Run)
	}
	supervise(groupCtx, "roster", h.roster.Run)
	supervise(groupCtx, "runner", h.runner.Run)
	supervise(groupCtx, "inquiries", h.endings.Run)
	supervise(groupCtx, "contents", h.contents.Run)
	supervise(groupCtx, "leaving servers", h.leavingServers.Run)
	supervise(duties, "batches", h.Batches.Run)
	supervise(duties, "orders", h.giver.Run)
	supervise(duties, "retirements", h.retired.Run)
	group.Go(func() error {
		select {
		case <-groupCtx.Done():
		case <-h.drain:
			h.leave(groupCtx, listeners, stopDuties)
		}
		stop()
		listeners.close()
		return nil
	})
	return group.Wait()
}

// Addresses and Relay implement kvrelay.Peers: any listed host may pass calls
// of the store on.
func (h *Host) Addresses() []string {
	var addresses []string
	for _, host := range h.roster.Listed() {
		if host.ID != h.Settings.ID && host.Peer != "" {
			addresses = append(addresses, host.Peer)
		}
	}
	return addresses
}

// Relay implements kvrelay.Peers.
func (h *Host) Relay(address string, do func(kvrelaypb.RelayClient) error) error {
	return h.peers.Call(address, func(conn grpc.ClientConnInterface) error {
		return do(kvrelaypb.NewRelayClient(conn))
	})
}

// mirrors returns the mirrors of operators, backend servers and the fleet.
func (h *Host) mirrors() []*mirror.Mirror {
	prefixes := h.Documents.Prefixes()
	h.live = &mirror.Mirror{Gather: h.Settings.gatherChanges(), Prefix: mirror.LivePrefix, Wait: sharedWait, OnChange: func(c mirror.Change) {
		h.roster.Apply(c)
		h.giver.SetHosts(roster.IDs(h.roster.Listed()))
		h.Batches.Index.Apply(c)
		h.contents.Apply(c)
		h.leavingServers.Apply(c)
	}}
	mirrors := []*mirror.Mirror{
		{After: h.live, OnChange: h.applyOperators, Prefix: prefixes.Operators, Wait: h.Settings.operatorsWait()},
		{
			After: h.live, Gather: h.Settings.gatherChanges(), OnChange: h.servers.apply, Prefix: prefixes.Servers,
			Wait: sharedWait,
		},
		h.live,
	}
	compaction := new(mirror.Compaction)
	for _, m := range mirrors {
		m.Compaction, m.Logger, m.Store = compaction, h.Logger, h.store
		if h.Settings.PeerAddress != "" {
			m.Source = &follow.Source{Pool: h.peers, Roster: h.roster, Self: h.Settings.ID}
			m.Old, m.Settle = h.store, settleTime
		}
	}
	return mirrors
}

// serverEnded counts the end of a server against what it was asked to run.
func (h *Host) serverEnded(c ending.Incident) {
	h.contents.Crashed(c.Content, poison.CrashID(c.Server.ID, time.UnixMilli(c.Server.Started)))
}

// isFirst reports whether a duty that needs no exclusion falls to this host.
func (h *Host) isFirst(duty string) bool {
	return rendezvous.Owner(duty, roster.IDs(h.roster.Listed())) == h.Settings.ID
}

// applyOperators takes over what operators and trainers wrote. An entry that can't be
// handled does not keep the others from being taken over.
func (h *Host) applyOperators(change mirror.Change) {
	for _, event := range change.Events {
		if event.Delete {
			continue
		}
		_ = guard.Call(h.Logger, "entry "+event.Entry.Key, func() error { // It logs its error.
			h.applyOperator(event.Entry)
			return nil
		})
	}
}

func (h *Host) applyOperator(entry kv.Entry) {
	h.applyConfig(entry.Key, entry.Value, entry.ModRevision)
	if model, version, ok, err := h.Documents.Version(entry.Key, entry.Value); err != nil {
		h.Logger.Warn("named version unreadable", slog.String("key", entry.Key), slog.Any("error", err))
	} else if ok {
		h.giver.SetNewestVersion(model, version)
	}
	h.retired.note(entry.Key)
}

// applyConfig puts a configuration in force unless a newer one is.
func (h *Host) applyConfig(key string, value []byte, revision int64) {
	c, ok, err := h.Documents.Config(key, value)
	if err != nil {
		h.Logger.Warn("configuration unreadable", slog.String("key", key), slog.Any("error", err))
		return
	}
	before := h.config.Load()
	if !ok || before != nil && before.Version >= c.Version {
		return
	}
	h.config.Store(c)
	h.Logger.Info("configuration in force", slog.Int64("version", c.Version), slog.Int64("revision", revision),
		slog.Int("routes", len(c.Routes)), slog.Int("services", len(c.Services)))
}

// ConfigInForce returns the configuration, or an error of kind unavailable
// while none is known.
func (h *Host) ConfigInForce() (*config.Config, error) {
	c := h.config.Load()
	if c == nil {
		return nil, kind.New(kind.Unavailable, "no configuration is known yet").WithRetryAfter(notReadyWait)
	}
	return c, nil
}

// Submit accepts a batch, unless the host is leaving.
func (h *Host) Submit(ctx context.Context, b batch.Batch) error {
	if h.leaving.Load() {
		return kind.New(kind.Leaving, "the host is leaving").WithRetryAfter(notReadyWait)
	}
	return h.Batches.Submit(ctx, b)
}

// Ready reports whether the host takes new requests.
func (h *Host) Ready() bool { return !h.leaving.Load() && h.config.Load() != nil }

// CallerAddresses returns where callers connect and how long they may use the
// answer.
func (h *Host) CallerAddresses() ([]string, time.Duration, error) {
	if h.config.Load() == nil {
		return nil, 0, kind.New(kind.Unavailable, "no configuration is known yet").WithRetryAfter(notReadyWait)
	}
	var addresses []string
	for _, host := range h.roster.Hosts() {
		if host.Address != "" {
			addresses = append(addresses, host.Address)
		}
	}
	if len(addresses) == 0 {
		return nil, 0, kind.New(kind.Unavailable, "no other host is known").WithRetryAfter(notReadyWait)
	}
	if len(addresses) > maxAddresses {
		// Callers give up connections to addresses that a later answer lacks, so each
		// host keeps to a part of the fleet.
		addresses = rendezvous.Rank(h.Settings.ID, addresses)[:maxAddresses]
	}
	return addresses, h.Settings.addressTTL(), nil
}

// Drain begins a graceful shutdown.
func (h *Host) Drain() {
	h.drainOnce.Do(func() { close(h.drain) })
}

// leave lets callers and other hosts go elsewhere before the listeners close.
func (h *Host) leave(ctx context.Context, listeners *listeners, stopDuties context.CancelFunc) {
	began := time.Now()
	h.leaving.Store(true)
	h.roster.Leave()
	stopDuties()
	h.Logger.LogAttrs(ctx, slog.LevelInfo, "host leaves", slog.Int("batches", h.runner.Running()))
	shutdownCtx, cancel := context.WithTimeout(ctx, h.Settings.grace()-stopMargin)
	defer cancel()
	var group errgroup.Group
	group.Go(func() error {
		h.finishBatches(ctx)
		return nil
	})
	wait.For(ctx, h.Settings.leaveWait()-time.Since(began))
	listeners.shutdown(shutdownCtx)
	_ = group.Wait() // It returns no error.
	if err := h.roster.Withdraw(shutdownCtx); err != nil {
		h.Logger.LogAttrs(ctx, slog.LevelInfo, "host entry not withdrawn", slog.Any("error", err))
	}
}

// finishBatches lets the batches of this host end as long as there is time to hand
// over what is left of them.
func (h *Host) finishBatches(ctx context.Context) {
	runOn := max(h.Settings.grace()-stopMargin-handoverTime, 0)
	finishCtx, cancel := context.WithTimeout(ctx, runOn)
	defer cancel()
	h.runner.Finish(finishCtx)
	h.runner.Drain(ctx)
}
