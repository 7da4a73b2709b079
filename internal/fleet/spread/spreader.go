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

// Members is what spreading needs to know of the entry hosts.
type Members interface {
	member.View
	// Peers returns the nodes that answer, leaving ones included and this one
	// excluded, sorted by id.
	Peers() []member.Node
}

// Config holds the times and limits of spreading.
type Config struct {
	// BatchBytes limits the values of one message.
	BatchBytes int
	// CallTimeout limits one call between nodes.
	CallTimeout time.Duration
	// Fanout is the number of branches below each node of the tree.
	Fanout int
	// PartnersElsewhere and PartnersInZone are the numbers of peers that a node
	// compares digests with.
	PartnersElsewhere int
	PartnersInZone    int
	// ReaderDelay is the time by which each reader after the first holds back
	// its push.
	ReaderDelay time.Duration
	// Readers is the number of readers in each availability zone.
	Readers int
	// RepairPeriod is the time between two comparisons of digests.
	RepairPeriod time.Duration
	// StoreRetry and StoreRetryMax bound the back-off after a failed call to
	// the store.
	StoreRetry    time.Duration
	StoreRetryMax time.Duration
	// StoreTimeout limits one call to the store.
	StoreTimeout time.Duration
	// WatchIdle is the time without a change after which the watch is opened
	// anew, in case its connection is dead.
	WatchIdle time.Duration
	// YoungTime is how long after its start a node repairs more often, since
	// peers may push to the addresses of its former process.
	YoungTime time.Duration
}

// DefaultConfig returns the configuration for fleets of up to about a thousand
// nodes.
func DefaultConfig() Config {
	return Config{
		BatchBytes:        1 << 20,
		CallTimeout:       time.Second,
		Fanout:            8,
		PartnersElsewhere: 2,
		PartnersInZone:    2,
		ReaderDelay:       300 * time.Millisecond,
		Readers:           2,
		RepairPeriod:      4 * time.Second,
		StoreRetry:        500 * time.Millisecond,
		StoreRetryMax:     10 * time.Second,
		StoreTimeout:      3 * time.Second,
		WatchIdle:         15 * time.Second,
		YoungTime:         20 * time.Second,
	}
}

// Spreader keeps the documents of one node up to date. Exported fields are set
// before Register and Run.
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

	jobs        chan pushJob
	once        sync.Once
	ready       chan struct{}
	readyOnce   sync.Once
	replica     Replica
	taken       metric.Int64Counter
	undelivered metric.Int64Counter
}

// pushJob is a set of entries to be forwarded along a branch.
type pushJob struct {
	branch *spreadpb.Branch
	delay  time.Duration
	keys   []string
}

// maxJobs bounds the pushes that wait; those beyond it are left to repair.
const maxJobs = 1024

// pushWorkers is the number of pushes done at once.
const pushWorkers = 4

func (s *Spreader) init() {
	s.once.Do(func() {
		if s.Config == (Config{}) {
			s.Config = DefaultConfig()
		}
		s.jobs = make(chan pushJob, maxJobs)
		s.ready = make(chan struct{})
		meter := otel.Meter("nutmegway/spread")
		// An instrument that fails to register counts nothing.
		s.taken, _ = meter.Int64Counter("nutmegway.spread.entries", metric.WithDescription("Entries brought into force, by source."))
		s.undelivered, _ = meter.Int64Counter("nutmegway.spread.undelivered", metric.WithDescription("Pushes that a node did not answer."))
	})
}

// Register adds the service to server.
func (s *Spreader) Register(server *grpc.Server) {
	s.init()
	spreadpb.RegisterSpreadServer(server, s)
}

// Ready is closed when the documents have been read from the store or from
// peers once.
func (s *Spreader) Ready() <-chan struct{} {
	s.init()
	return s.ready
}

// Replica returns the entries held by this node.
func (s *Spreader) Replica() *Replica { return &s.replica }

// Run spreads documents until ctx ends.
func (s *Spreader) Run(ctx context.Context) error {
	s.init()
	group, groupCtx := errgroup.WithContext(ctx)
	group.Go(func() error { return s.readStore(groupCtx) })
	group.Go(func() error { return s.repair(groupCtx) })
	for range pushWorkers {
		group.Go(func() error { return s.forward(groupCtx) })
	}
	if err := group.Wait(); ctx.Err() == nil {
		return err
	}
	return nil
}

// source says where a node learnt of an entry.
type source string

const (
	fromPull  source = "pull"
	fromPush  source = "push"
	fromStore source = "store"
)

// take brings entries into force and returns those that were news.
func (s *Spreader) take(from source, entries []Entry) []Entry {
	return s.enforce(from, s.replica.Apply(entries...))
}

// takeList brings a complete list of the store into force.
func (s *Spreader) takeList(entries []Entry, revision int64) []Entry {
	return s.enforce(fromStore, s.replica.Replace(entries, revision))
}

// enforce puts news of the replica into force and returns them.
func (s *Spreader) enforce(from source, news []Entry) []Entry {
	s.taken.Add(context.Background(), int64(len(news)), metric.WithAttributes(attribute.String("source", string(from))))
	for _, entry := range news {
		if err := s.Documents.apply(entry); err != nil {
			s.Logger.Error("document not brought into force", slog.String("error", err.Error()), slog.String("key", entry.Key), slog.Int64("revision", entry.Revision))
			continue
		}
		s.Logger.Debug("document in force", slog.Bool("deleted", entry.Deleted), slog.String("key", entry.Key), slog.Int64("revision", entry.Revision))
	}
	return news
}

// publish pushes news through the zone if this node is one of its readers.
func (s *Spreader) publish(news []Entry) {
	rank := s.readerRank()
	if len(news) == 0 || rank < 0 {
		return
	}
	self := s.Members.Self()
	keys := make([]string, len(news))
	for i, entry := range news {
		keys[i] = entry.Key
	}
	s.enqueue(pushJob{
		branch: wholeZone(self.AvailabilityZone, self.ID),
		delay:  time.Duration(rank) * s.Config.ReaderDelay,
		keys:   keys,
	})
}

// readerRank is this node's place among the readers of its zone, or -1.
func (s *Spreader) readerRank() int {
	self := s.Members.Self()
	return slices.Index(Readers(s.Members.Nodes(), self.AvailabilityZone, s.Config.Readers), self.ID)
}

func (s *Spreader) enqueue(job pushJob) {
	select {
	case s.jobs <- job:
	default:
		s.Logger.Warn("push left to repair", slog.Int("entries", len(job.keys)))
	}
}

func (s *Spreader) markReady() { s.readyOnce.Do(func() { close(s.ready) }) }

// client returns the service of the node at address.
func (s *Spreader) client(address string) (spreadpb.SpreadClient, error) {
	conn, err := s.Peers.Conn(address)
	if err != nil {
		return nil, classError.Wrap(err)
	}
	return spreadpb.NewSpreadClient(conn), nil
}

// pause waits for d and reports whether ctx is still going on.
func pause(ctx context.Context, d time.Duration) bool {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-timer.C:
		return true
	}
}
