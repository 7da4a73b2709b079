package spread

import (
	"context"
	"log/slog"
	"slices"
	"sync"
	"time"

	"github.com/zeebo/errs"
	"go.opentelemetry.io/otel"
	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/metric"
	"golang.org/x/sync/errgroup"
	"google.golang.org/grpc"

	"github.com/nutmegway/nutmegway/internal/external/kv"
	"github.com/nutmegway/nutmegway/internal/fleet/member"
	"github.com/nutmegway/nutmegway/internal/fleet/peer"
	"github.com/nutmegway/nutmegway/internal/fleet/spread/spreadpb"
)

var classError = errs.Class("spread")

// Members provides the known entry hosts.
type Members interface {
	member.View
	// Peers returns the reachable nodes sorted by id, including nodes that are
	// leaving and excluding this one.
	Peers() []member.Node
}

// Config holds the timeouts, periods and limits of a Spreader.
type Config struct {
	// BatchBytes limits the total size of the values in one message.
	BatchBytes int
	// CallTimeout is the timeout of a call between nodes.
	CallTimeout time.Duration
	// Fanout is the number of branches below each node of the tree.
	Fanout int
	// PartnersOtherZones and PartnersInZone are the numbers of peers in other zones
	// and in its own zone with which a node compares digests.
	PartnersOtherZones int
	PartnersInZone     int
	// ReaderPushDelay is how much later each reader of a zone pushes a change than
	// the reader ranked before it. The first reader pushes at once.
	ReaderPushDelay time.Duration
	// Readers is the number of readers in each availability zone.
	Readers int
	// RepairPeriod is the mean time between two digest comparisons.
	RepairPeriod time.Duration
	// StoreRetryInitial and StoreRetryMax bound the back-off after a failed call to
	// the store.
	StoreRetryInitial time.Duration
	StoreRetryMax     time.Duration
	// StoreTimeout is the timeout of a call to the store.
	StoreTimeout time.Duration
	// WatchIdleTimeout is the minimum time without a change after which the watch is
	// reopened, in case its connection is dead.
	WatchIdleTimeout time.Duration
	// StartupTime is how long after its start a node compares digests more often,
	// because peers may still push to the address of its previous process.
	StartupTime time.Duration
}

// DefaultConfig returns a configuration for fleets of up to about 1000 nodes.
func DefaultConfig() Config {
	return Config{
		BatchBytes:         1 << 20,
		CallTimeout:        time.Second,
		Fanout:             8,
		PartnersOtherZones: 2,
		PartnersInZone:     2,
		ReaderPushDelay:    300 * time.Millisecond,
		Readers:            2,
		RepairPeriod:       4 * time.Second,
		StoreRetryInitial:  500 * time.Millisecond,
		StoreRetryMax:      10 * time.Second,
		StoreTimeout:       3 * time.Second,
		WatchIdleTimeout:   15 * time.Second,
		StartupTime:        20 * time.Second,
	}
}

// Spreader keeps the documents of one node up to date. The exported fields must be
// set before the first call.
type Spreader struct {
	spreadpb.UnimplementedSpreadServer

	Config    Config
	Documents *Documents
	Logger    *slog.Logger
	Members   Members
	Peers     *peer.Pool
	// Prefix is the prefix of the documents' keys.
	Prefix string
	Store  kv.Store

	pushQueue      chan pushJob
	once           sync.Once
	ready          chan struct{}
	readyOnce      sync.Once
	replica        Replica
	appliedEntries metric.Int64Counter
	failedPushes   metric.Int64Counter
}

// pushJob is a queued push of entries along a branch.
type pushJob struct {
	branch *spreadpb.Branch
	delay  time.Duration
	keys   []string
}

// maxQueuedPushes is the maximum number of queued pushes. Further ones are dropped,
// and repair delivers their entries.
const maxQueuedPushes = 1024

// pushWorkers is the number of pushes processed concurrently.
const pushWorkers = 4

func (s *Spreader) init() {
	s.once.Do(func() {
		if s.Config == (Config{}) {
			s.Config = DefaultConfig()
		}
		s.pushQueue = make(chan pushJob, maxQueuedPushes)
		s.ready = make(chan struct{})
		meter := otel.Meter("nutmegway/spread")
		// Errors are ignored, because an instrument that cannot be created counts nothing.
		s.appliedEntries, _ = meter.Int64Counter("nutmegway.spread.entries", metric.WithDescription("Entries brought into force, by source."))
		s.failedPushes, _ = meter.Int64Counter("nutmegway.spread.undelivered", metric.WithDescription("Pushes that a node did not answer."))
	})
}

// Register registers the Spread service with server.
func (s *Spreader) Register(server *grpc.Server) {
	s.init()
	spreadpb.RegisterSpreadServer(server, s)
}

// Ready returns a channel that is closed once the documents have been read from the
// store or from peers.
func (s *Spreader) Ready() <-chan struct{} {
	s.init()
	return s.ready
}

// Replica returns the entries held by this node.
func (s *Spreader) Replica() *Replica { return &s.replica }

// Run receives and forwards documents until ctx ends.
func (s *Spreader) Run(ctx context.Context) error {
	s.init()
	group, groupCtx := errgroup.WithContext(ctx)
	group.Go(func() error { return s.runReader(groupCtx) })
	group.Go(func() error { return s.repair(groupCtx) })
	for range pushWorkers {
		group.Go(func() error { return s.runPushWorker(groupCtx) })
	}
	if err := group.Wait(); ctx.Err() == nil {
		return err
	}
	return nil
}

// source is the way in which a node received an entry.
type source string

const (
	sourcePull  source = "pull"
	sourcePush  source = "push"
	sourceStore source = "store"
)

// apply brings entries into force and returns those that were new to the replica.
func (s *Spreader) apply(from source, entries []Entry) []Entry {
	return s.activate(from, s.replica.Apply(entries...))
}

// applySnapshot brings a complete list of the store at revision into force and
// returns the entries that changed.
func (s *Spreader) applySnapshot(entries []Entry, revision int64) []Entry {
	return s.activate(sourceStore, s.replica.ApplySnapshot(entries, revision))
}

// activate brings entries that changed in the replica into force and returns them.
func (s *Spreader) activate(from source, changed []Entry) []Entry {
	s.appliedEntries.Add(context.Background(), int64(len(changed)), metric.WithAttributes(attribute.String("source", string(from))))
	for _, entry := range changed {
		if err := s.Documents.apply(entry); err != nil {
			s.Logger.Error("cannot bring document into force", slog.String("error", err.Error()), slog.String("key", entry.Key), slog.Int64("revision", entry.Revision))
			continue
		}
		s.Logger.Debug("document in force", slog.Bool("deleted", entry.Deleted), slog.String("key", entry.Key), slog.Int64("revision", entry.Revision))
	}
	return changed
}

// publish queues a push of changed entries to the whole zone if this node is one of
// its readers.
func (s *Spreader) publish(changed []Entry) {
	rank := s.readerRank()
	if len(changed) == 0 || rank < 0 {
		return
	}
	self := s.Members.Self()
	keys := make([]string, len(changed))
	for i, entry := range changed {
		keys[i] = entry.Key
	}
	s.enqueue(pushJob{
		branch: zoneBranch(self.AvailabilityZone, self.ID),
		delay:  time.Duration(rank) * s.Config.ReaderPushDelay,
		keys:   keys,
	})
}

// readerRank returns the index of this node among the readers of its zone, or -1 if
// it is not a reader.
func (s *Spreader) readerRank() int {
	self := s.Members.Self()
	return slices.Index(Readers(s.Members.Nodes(), self.AvailabilityZone, s.Config.Readers), self.ID)
}

func (s *Spreader) enqueue(job pushJob) {
	select {
	case s.pushQueue <- job:
	default:
		s.Logger.Warn("push queue is full, leaving entries to repair", slog.Int("entries", len(job.keys)))
	}
}

func (s *Spreader) markReady() { s.readyOnce.Do(func() { close(s.ready) }) }

// client returns a client of the node at address.
func (s *Spreader) client(address string) (spreadpb.SpreadClient, error) {
	conn, err := s.Peers.Conn(address)
	if err != nil {
		return nil, classError.Wrap(err)
	}
	return spreadpb.NewSpreadClient(conn), nil
}

// sleep waits for d. It returns false if ctx ends first.
func sleep(ctx context.Context, d time.Duration) bool {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-timer.C:
		return true
	}
}
