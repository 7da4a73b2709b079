package poison

import (
	"context"
	"encoding/binary"
	"log/slog"
	"math/rand/v2"
	"time"

	"github.com/zeebo/xxh3"
	"google.golang.org/grpc"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/status"

	"github.com/nutmegway/nutmegway/internal/base/kind"
	"github.com/nutmegway/nutmegway/internal/fleet/member"
	"github.com/nutmegway/nutmegway/internal/request/poison/poisonpb"
)

// service is the gRPC server of a Registry.
type service struct {
	poisonpb.UnimplementedPoisonServer
	registry *Registry
}

var _ poisonpb.PoisonServer = &service{}

// Register registers the service that the other nodes call.
func (r *Registry) Register(s *grpc.Server) {
	poisonpb.RegisterPoisonServer(s, &service{registry: r})
}

// Hold grants the lock of doubtful content and holds it until the call ends.
func (s *service) Hold(request *poisonpb.HoldRequest, stream grpc.ServerStreamingServer[poisonpb.HoldReply]) error {
	r := s.registry
	permit, err := r.lockHere(stream.Context(), request.GetFingerprint())
	if kind.Is(err, kind.Quarantined) {
		_, _, until := r.lookup(request.GetFingerprint())
		return stream.Send(&poisonpb.HoldReply{Quarantined: true, QuarantinedUntilUnixNano: until.UnixNano()})
	}
	if err != nil {
		return status.Error(codes.ResourceExhausted, err.Error())
	}
	defer permit.unlock()
	if err := stream.Send(&poisonpb.HoldReply{Alone: permit.Isolated}); err != nil {
		return err
	}
	<-stream.Context().Done()
	return nil
}

// Report merges the records of another node.
func (s *service) Report(_ context.Context, request *poisonpb.ReportRequest) (*poisonpb.ReportReply, error) {
	s.registry.merge(decode(request.GetRecords()))
	return &poisonpb.ReportReply{}, nil
}

// Reconcile merges the records of another node and returns those of this node, unless the
// digests agree.
func (s *service) Reconcile(_ context.Context, request *poisonpb.ReconcileRequest) (*poisonpb.ReconcileReply, error) {
	records := s.registry.records()
	if digest(records) == request.GetDigest() {
		return &poisonpb.ReconcileReply{Same: true}, nil
	}
	s.registry.merge(decode(request.GetRecords()))
	return &poisonpb.ReconcileReply{Records: encode(records)}, nil
}

// Run reconciles the records with a random peer every reconcileInterval until ctx ends.
func (r *Registry) Run(ctx context.Context) error {
	ticker := time.NewTicker(reconcileInterval)
	defer ticker.Stop()
	for {
		if node, ok := r.randomPeer(); ok {
			r.reconcile(ctx, node)
		}
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.C:
		}
	}
}

func (r *Registry) randomPeer() (member.Node, bool) {
	nodes, self := r.Members.Nodes(), r.Members.Self().ID
	for _, i := range rand.Perm(len(nodes)) {
		if nodes[i].ID != self {
			return nodes[i], true
		}
	}
	return member.Node{}, false
}

// reconcile exchanges records with a node. It sends its digest first, and its records
// only if the digests differ.
func (r *Registry) reconcile(ctx context.Context, node member.Node) {
	client, err := r.peerClient(node)
	if err != nil {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, reportTimeout)
	defer cancel()
	records := r.records()
	request := &poisonpb.ReconcileRequest{Digest: digest(records)}
	reply, err := client.Reconcile(ctx, request)
	if err == nil && !reply.GetSame() {
		r.merge(decode(reply.GetRecords()))
		request.Records = encode(records)
		_, err = client.Reconcile(ctx, request)
	}
	if err != nil && ctx.Err() == nil {
		r.Logger.Debug("reconciliation of content records with a peer failed", slog.String("node", node.ID), slog.String("error", err.Error()))
	}
}

func (r *Registry) records() []Record {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.table.Records(time.Now())
}

func (r *Registry) merge(records []Record) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.table.Merge(time.Now(), records)
}

// digest returns a hash of the records' fingerprints, clearing times, quarantines and
// crash ids.
func digest(records []Record) uint64 {
	var h xxh3.Hasher
	var buffer [8]byte
	write := func(v uint64) {
		binary.LittleEndian.PutUint64(buffer[:], v)
		_, _ = h.Write(buffer[:]) // Writing to a hash never fails.
	}
	for _, record := range records {
		write(record.Fingerprint)
		write(nanos(record.ClearedAt))
		write(nanos(record.QuarantinedUntil))
		for _, crash := range record.Crashes {
			write(crash.ID)
		}
	}
	return h.Sum64()
}

// nanos returns t in Unix nanoseconds as the digest needs it: unsigned, and zero for the
// zero time.
func nanos(t time.Time) uint64 {
	return uint64(unixNano(t))
}

// unixNano returns t in Unix nanoseconds, and zero for the zero time.
func unixNano(t time.Time) int64 {
	if t.IsZero() {
		return 0
	}
	return t.UnixNano()
}

// fromUnixNano is the inverse of unixNano.
func fromUnixNano(n int64) time.Time {
	if n == 0 {
		return time.Time{}
	}
	return time.Unix(0, n)
}

func encode(records []Record) []*poisonpb.Record {
	encoded := make([]*poisonpb.Record, len(records))
	for i, record := range records {
		encoded[i] = &poisonpb.Record{
			ClearedAtUnixNano: unixNano(record.ClearedAt), Fingerprint: record.Fingerprint, Limit: int32(record.Limit),
			QuarantinedUntilUnixNano: unixNano(record.QuarantinedUntil),
		}
		for _, crash := range record.Crashes {
			encoded[i].Crashes = append(encoded[i].Crashes, &poisonpb.Crash{AtUnixNano: unixNano(crash.At), Id: crash.ID, Position: int32(crash.Position)})
		}
	}
	return encoded
}

func decode(encoded []*poisonpb.Record) []Record {
	records := make([]Record, len(encoded))
	for i, record := range encoded {
		records[i] = Record{
			ClearedAt: fromUnixNano(record.GetClearedAtUnixNano()), Fingerprint: record.GetFingerprint(),
			Limit: int(record.GetLimit()), QuarantinedUntil: fromUnixNano(record.GetQuarantinedUntilUnixNano()),
		}
		for _, crash := range record.GetCrashes() {
			records[i].Crashes = append(records[i].Crashes, Crash{At: fromUnixNano(crash.GetAtUnixNano()), ID: crash.GetId(), Position: int(crash.GetPosition())})
		}
	}
	return records
}
