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

	"github.com/nutmegway/nutmegway/internal/backend/crashdetect"
	"github.com/nutmegway/nutmegway/internal/backend/dialect"
	"github.com/nutmegway/nutmegway/internal/backend/generation"
	"github.com/nutmegway/nutmegway/internal/backend/inventory"
	"github.com/nutmegway/nutmegway/internal/backend/plain"
	"github.com/nutmegway/nutmegway/internal/backend/reach"
	"github.com/nutmegway/nutmegway/internal/base/kind"
	"github.com/nutmegway/nutmegway/internal/base/recovery"
	"github.com/nutmegway/nutmegway/internal/base/rendezvous"
	"github.com/nutmegway/nutmegway/internal/base/wait"
	"github.com/nutmegway/nutmegway/internal/external/kv"
	"github.com/nutmegway/nutmegway/internal/external/kvrelay"
	"github.com/nutmegway/nutmegway/internal/external/kvrelay/kvrelaypb"
	"github.com/nutmegway/nutmegway/internal/fleet/config"
	"github.com/nutmegway/nutmegway/internal/fleet/duty"
	"github.com/nutmegway/nutmegway/internal/fleet/follow"
	"github.com/nutmegway/nutmegway/internal/fleet/leaving"
	"github.com/nutmegway/nutmegway/internal/fleet/mirror"
	"github.com/nutmegway/nutmegway/internal/fleet/peer"
	"github.com/nutmegway/nutmegway/internal/fleet/roster"
	"github.com/nutmegway/nutmegway/internal/fleet/software"
	"github.com/nutmegway/nutmegway/internal/request/account"
	"github.com/nutmegway/nutmegway/internal/request/forward"
	"github.com/nutmegway/nutmegway/internal/request/forwardlink"
	"github.com/nutmegway/nutmegway/internal/request/intake"
	"github.com/nutmegway/nutmegway/internal/request/origin"
	"github.com/nutmegway/nutmegway/internal/request/permit"
	"github.com/nutmegway/nutmegway/internal/request/permitlink"
	"github.com/nutmegway/nutmegway/internal/request/poison"
	"github.com/nutmegway/nutmegway/internal/rollout/batch"
	"github.com/nutmegway/nutmegway/internal/rollout/batchlink"
	"github.com/nutmegway/nutmegway/internal/rollout/batchrun"
	"github.com/nutmegway/nutmegway/internal/rollout/loading"
	"github.com/nutmegway/nutmegway/internal/rollout/scaling"
)

const (
	// settleDelay is how long a host waits before it reads from other hosts or watches the
	// store if it starts together with the whole fleet. By then all hosts are listed: the
	// platform starts all machines within 0.3 s, and a host is listed after two calls.
	settleDelay = 500 * time.Millisecond
	// notReadyRetryAfter is the retry delay sent to callers while the host has no
	// configuration, knows no addresses or is leaving.
	notReadyRetryAfter = 300 * time.Millisecond
	// shutdownMargin is the part of the grace period that remains after the requests in
	// flight have been aborted.
	shutdownMargin = 700 * time.Millisecond
	// answerMargin is the time before that for answering the requests in flight.
	answerMargin = 200 * time.Millisecond
	// maxAddresses bounds the number of addresses that a host returns to a caller. In a
	// larger fleet, different hosts return different parts of the addresses.
	maxAddresses = 64
	// handoverBudget is the time for handing over batches that still run. It ends
	// shutdownMargin before the end of the grace period. Two seconds are for the calls
	// and one for a busy machine.
	handoverBudget = 3 * time.Second
)

// Prefixes are the key prefixes below which operators and backend servers write.
type Prefixes struct {
	Operators string
	Servers   string
}

// EntryDecoder decodes what operators, trainers and backend servers write to the
// store. The methods for operators' entries ignore keys of another kind.
type EntryDecoder interface {
	Prefixes() Prefixes
	// Config returns a configuration, or false if the key holds none.
	Config(key string, value []byte) (*config.Config, bool, error)
	// Server returns a backend server.
	Server(key string, value []byte) (inventory.Server, error)
	// Version returns a published weight version of a model. ok is false if the key
	// holds none.
	Version(key string, value []byte) (model string, version int64, ok bool, err error)
	// Retirement returns the key and the value to write in order to report that a host
	// with a disk is empty. ok is false if the key doesn't request a retirement.
	Retirement(key string) (statusKey string, status []byte, ok bool)
}

// Host is one entry host. Metrics, Callers, Directory and Readiness must be set before
// Run, and the exported fields above them before SetUp.
type Host struct {
	Dialect  dialect.Dialect
	Decoder  EntryDecoder
	Engines  loading.Engines
	Logger   *slog.Logger
	Plain    *plain.Client
	Settings Settings
	// DirectStore calls the key-value service directly, not through other hosts.
	DirectStore kv.RangeStore
	// Duties returns the client of the platform's interface for duties, which makes its calls
	// as the given holder. If nil, the host has no duties.
	Duties func(holder *duty.Holder) duty.Platform

	// Metrics serves the metrics address. If nil, metrics aren't served.
	Metrics http.Handler
	// Callers, Directory and Readiness handle the requests of the listeners at
	// CallerAddress, DirectoryAddress and ReadyAddress.
	Callers   http.Handler
	Directory http.Handler
	Readiness http.Handler

	// SetUp sets Batches and Forwarder.
	Batches   *batchrun.Service
	Forwarder *forward.Forwarder

	accounts       *account.Gate
	config         atomic.Pointer[config.Config]
	poisonRegistry *poison.KVRegistry
	// dutyHolder is nil if the host has no duties.
	dutyHolder    *duty.Holder
	drain         chan struct{}
	drainOnce     sync.Once
	crashDetector *crashdetect.Detector
	// forwardClient hands requests on to other hosts, and forwardServer serves theirs. They and
	// links are nil without a peer address.
	forwardClient      *forwardlink.Client
	forwardServer      *forwardlink.Server
	links              *peer.Links
	gate               *permit.Gate
	intake             *intake.Budget
	leavingBroadcaster *leaving.Broadcaster
	loadController     *loading.Controller
	inventory          *inventory.Inventory
	leaving            atomic.Bool
	stopTime           *stopTime
	usage              *usageReporting
	peers              *peer.Pool
	reach              *reach.Monitor
	liveMirror         *mirror.Mirror
	// relayStore uses the key-value service through other hosts if it can't be reached
	// directly. It is nil without a peer address.
	relayStore  *kvrelay.Store
	retirements retirementResponder
	roster      *roster.Roster
	runner      *batchrun.Runner
	// scaling is nil if the host doesn't order servers.
	scaling          *scaling.Controller
	inventoryUpdater *inventoryUpdater
	// operatorMirror and serverMirror exist from SetUp on, since authentication and readiness
	// depend on them.
	operatorMirror  *mirror.Mirror
	serverMirror    *mirror.Mirror
	softwareHistory *software.History
	// store is relayStore, or DirectStore without a peer address.
	store kv.RangeStore
}

// SetUp creates the components of the host. It must be called before Run.
func (h *Host) SetUp() {
	incarnation := uuid.NewString()
	h.drain, h.stopTime = make(chan struct{}), &stopTime{reached: make(chan struct{})}
	h.intake = h.newIntake()
	h.inventory = &inventory.Inventory{DrainBound: h.Settings.DrainBound}
	h.peers = &peer.Pool{Options: peer.LocalDialOptions()}
	h.store = h.DirectStore
	if h.Settings.PeerAddress != "" {
		h.relayStore = &kvrelay.Store{Direct: h.DirectStore, Logger: h.Logger, Peers: h}
		h.store = h.relayStore
	}
	h.leavingBroadcaster = &leaving.Broadcaster{Inventory: h.inventory, Logger: h.Logger, Store: h.store}
	h.Plain.IsLeaving = h.Dialect.IsLeaving
	h.Plain.OnLeaving = h.leavingBroadcaster.ServerLeaving
	h.gate = &permit.Gate{
		Dialect: h.Dialect, Hosts: func() []roster.Host { return h.roster.Active() }, Inventory: h.inventory, Logger: h.Logger, Self: h.Settings.ID,
	}
	if h.Settings.PeerAddress != "" {
		h.gate.Link = permitlink.Client{Pool: h.peers}
	}
	h.Plain.Gate = h.gate
	h.reach = h.newReachMonitor()
	h.Plain.Reach = h.reach
	h.inventoryUpdater = &inventoryUpdater{Decoder: h.Decoder, Inventory: h.inventory, Logger: h.Logger}
	h.poisonRegistry = &poison.KVRegistry{
		MayRemove: h.isResponsible, HostCount: func() int { return len(h.roster.Active()) }, Logger: h.Logger, Store: h.store,
	}
	h.crashDetector = &crashdetect.Detector{Links: h.reach, Logger: h.Logger, OnEnded: h.recordCrash, Prober: h.Plain, Servers: h.inventory}
	h.Forwarder = &forward.Forwarder{
		Client: h.Plain, Quarantine: h.poisonRegistry, Dialect: h.Dialect, CrashDetector: h.crashDetector, Inventory: h.inventory, Logger: h.Logger,
		KVTokens: h.kvTokens, Self: h.Settings.ID, Stop: h.stopTime, Zone: h.Settings.Zone,
	}
	h.softwareHistory = &software.History{
		Inventory: h.inventory, IsResponsible: h.isResponsible, Logger: h.Logger, Services: h.resumableServices, Store: h.store,
	}
	h.Forwarder.Origins = &origin.Origins{
		Confirm: h.softwareHistory.Confirm, Logger: h.Logger, Recent: h.softwareHistory.Recent, Store: h.store,
	}
	h.roster = &roster.Roster{
		Logger: h.Logger, Store: h.store,
		Self: roster.Host{
			Address: h.Settings.CallerAddress, ID: h.Settings.ID, Incarnation: incarnation,
			PeerAddress: h.Settings.PeerAddress, Cores: h.Settings.Cores, Zone: h.Settings.Zone,
		},
	}
	batches := &batch.Store{KV: h.store}
	h.runner = &batchrun.Runner{
		Batches: batches, Config: h.config.Load, CrashDetector: h.crashDetector, Inventory: h.inventory, Logger: h.Logger,
		Generation: &generation.Client{Dialect: h.Dialect, Logger: h.Logger, Plain: h.Plain},
		Quarantine: h.poisonRegistry, RefreshConfig: h.refreshConfig, Rewards: h.Forwarder,
		Self: batch.Owner{Host: h.Settings.ID, Incarnation: incarnation},
	}
	h.Batches = &batchrun.Service{
		Batches: batches, Index: &batch.Index{Logger: h.Logger, OnHead: h.runner.HandleHead},
		Retention: h.Settings.ResultRetention, Logger: h.Logger, Roster: h.roster, Runner: h.runner,
	}
	h.runner.Index = h.Batches.Index
	h.runner.OnReleased = h.Batches.Offer
	h.loadController = &loading.Controller{
		Config: h.config.Load, Engines: h.Engines, Inventory: h.inventory, Logger: h.Logger,
		Registry: &loading.StoreRegistry{CachedList: h.roster.Snapshot, Self: h.Settings.ID, Store: h.store}, Self: h.Settings.ID,
		Spacing: h.Settings.OrderSpacing,
	}
	if h.Settings.PeerAddress != "" {
		h.Batches.Link = &batchlink.Client{Pool: h.peers}
		h.setUpForwarding()
	}
	h.retirements = retirementResponder{IsResponsible: h.isResponsible, Decoder: h.Decoder, Logger: h.Logger, Store: h.store, wake: make(chan struct{}, 1)}
	h.serverMirror = new(mirror.Mirror)
	h.setUpAccounts()
	h.setUpDuties(incarnation)
}

// Run serves until Drain is called or ctx ends.
func (h *Host) Run(ctx context.Context) error {
	h.Logger.LogAttrs(ctx, slog.LevelInfo, "host starts", slog.String("host", h.Settings.ID),
		slog.String("incarnation", h.roster.Self.Incarnation), slog.String("zone", h.Settings.Zone),
		slog.String("store", h.Settings.StoreAddress), slog.String("callers", h.Settings.CallerAddress))
	defer h.Logger.LogAttrs(ctx, slog.LevelInfo, "host stopped", slog.String("host", h.Settings.ID))
	if h.Settings.CallerAddress == "" {
		// A host that serves no callers has no state and no work.
		select {
		case <-ctx.Done():
		case <-h.drain:
		}
		return nil
	}
	ctx, stop := context.WithCancel(ctx)
	defer stop()
	// dutiesCtx ends as soon as the host begins to leave. Tasks under groupCtx run until
	// the host stops.
	dutiesCtx, stopDuties := context.WithCancel(ctx)
	defer stopDuties()
	group, groupCtx := errgroup.WithContext(ctx)
	listeners, err := h.listen(groupCtx, group)
	if err != nil {
		return err
	}
	h.runner.Start(group)
	mirrors := h.mirrors()
	if h.Settings.PeerAddress != "" {
		server := &peer.Server{Address: h.Settings.PeerAddress, Logger: h.Logger, Listener: h.measurePeers, Register: func(s *grpc.Server) {
			batchlink.Register(s, h.Batches)
			follow.Register(s, mirrors)
			kvrelay.Register(s, h.relayStore)
			permitlink.Register(s, h.gate)
			h.forwardServer.Register(s)
			h.registerUsage(s)
		}}
		group.Go(func() error { return server.Run(groupCtx) })
		defer func() { _ = h.peers.Close() }()
		defer h.links.Close()
	}
	supervise := func(ctx context.Context, task string, run func(context.Context) error) {
		group.Go(func() error { return recovery.Supervise(ctx, h.Logger, task, run) })
	}
	for _, m := range mirrors {
		supervise(groupCtx, "mirror of "+m.Prefix, m.Run)
	}
	supervise(groupCtx, "roster", h.roster.Run)
	supervise(groupCtx, "runner", h.runner.Run)
	supervise(groupCtx, "links to servers", h.reach.Run)
	supervise(groupCtx, "inquiries", h.crashDetector.Run)
	supervise(groupCtx, "contents", h.poisonRegistry.Run)
	supervise(groupCtx, "leaving servers", h.leavingBroadcaster.Run)
	supervise(groupCtx, "software versions", h.softwareHistory.Run)
	supervise(groupCtx, "stream origins", h.Forwarder.Origins.Run)
	supervise(dutiesCtx, "batches", h.Batches.Run)
	supervise(dutiesCtx, "release of batches", h.releaseWhileIsolated)
	supervise(dutiesCtx, "orders", h.loadController.Run)
	supervise(dutiesCtx, "retirements", h.retirements.Run)
	h.superviseDuties(groupCtx, dutiesCtx, supervise)
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

// Addresses implements kvrelay.Peers. It returns the peer addresses of the other active
// hosts, each of which may relay calls to the store.
func (h *Host) Addresses() []string {
	var addresses []string
	for _, host := range h.roster.Active() {
		if host.ID != h.Settings.ID && host.PeerAddress != "" {
			addresses = append(addresses, host.PeerAddress)
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

// Ready reports whether the host accepts new requests: it has a configuration and the list
// of backend servers, and is not leaving.
func (h *Host) Ready() bool {
	return !h.leaving.Load() && h.config.Load() != nil && h.serverMirror.Delivered()
}

// CallerAddresses returns the addresses that callers may connect to and how long they
// may keep them.
func (h *Host) CallerAddresses() ([]string, time.Duration, error) {
	if h.config.Load() == nil {
		return nil, 0, kind.New(kind.Unavailable, "no configuration has been read yet").WithRetryAfter(notReadyRetryAfter)
	}
	var addresses []string
	hosts := h.roster.Hosts()
	withSelf := len(hosts) == 1 || h.servesAccounts()
	for _, host := range hosts {
		if host.Address != "" && (withSelf || host.ID != h.Settings.ID) {
			addresses = append(addresses, host.Address)
		}
	}
	if len(addresses) == 0 {
		return nil, 0, kind.New(kind.Unavailable, "no host with a caller address is known").WithRetryAfter(notReadyRetryAfter)
	}
	if len(addresses) > maxAddresses {
		// Callers close connections to addresses that a later answer lacks, so each
		// host always answers with the same part of the fleet.
		addresses = rendezvous.Rank(h.Settings.ID, addresses)[:maxAddresses]
	}
	return addresses, h.Settings.addressTTL(), nil
}

// Drain begins a graceful shutdown. It may be called more than once.
func (h *Host) Drain() {
	h.drainOnce.Do(func() { close(h.drain) })
}

// leave shuts the host down gracefully. It announces that the host is leaving and keeps
// accepting requests for leaveWait, so that callers can move to other hosts. Meanwhile it
// finishes or hands over the batches. Then it closes the callers' listener, waits for the
// requests in flight and removes the host's entry from the store.
func (h *Host) leave(ctx context.Context, listeners *listeners, stopDuties context.CancelFunc) {
	start := time.Now()
	defer h.stopTime.set(start.Add(h.Settings.grace() - shutdownMargin - answerMargin))()
	h.leaving.Store(true)
	h.roster.Leave()
	stopDuties()
	h.Logger.LogAttrs(ctx, slog.LevelInfo, "host leaves", slog.Int("batches", h.runner.Running()))
	shutdownCtx, cancel := context.WithTimeout(ctx, h.Settings.grace()-shutdownMargin)
	defer cancel()
	var group errgroup.Group
	group.Go(func() error {
		h.finishBatches(ctx)
		return nil
	})
	wait.For(ctx, h.Settings.leaveWait()-time.Since(start))
	listeners.shutdown(shutdownCtx)
	if h.forwardServer != nil {
		h.forwardServer.AwaitIdle(shutdownCtx)
	}
	_ = group.Wait() // It returns no error.
	h.handOverUsage(shutdownCtx)
	if err := h.roster.Deregister(shutdownCtx); err != nil {
		h.Logger.LogAttrs(ctx, slog.LevelInfo, "failed to withdraw host entry", slog.Any("error", err))
	}
}

// finishBatches waits for the batches of this host to finish, but leaves handoverBudget of
// the grace period. It then hands the unfinished batches over to other hosts.
func (h *Host) finishBatches(ctx context.Context) {
	timeout := max(h.Settings.grace()-shutdownMargin-handoverBudget, 0)
	finishCtx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	h.runner.AwaitClosed(finishCtx)
	h.runner.Drain(ctx)
}
