package owner

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"io"
	"strings"
	"time"

	"google.golang.org/grpc"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/status"

	"github.com/nutmegway/nutmegway/internal/base/kind"
	"github.com/nutmegway/nutmegway/internal/base/rendezvous"
	"github.com/nutmegway/nutmegway/internal/rollout/owner/ownerpb"
	"github.com/nutmegway/nutmegway/internal/rollout/sample"
	"github.com/nutmegway/nutmegway/internal/rollout/stream"
)

const (
	// ownerCacheTTL is how long the owner of a stream is cached.
	ownerCacheTTL = 2 * time.Second
	// routeTimeout bounds the retries of a request: an attempt that fails later
	// than this after the first one began is not repeated.
	routeTimeout = 15 * time.Second
	// replyTimeout is how long an owner may take between replies, in addition to
	// the wait time of a read. It detects paused processes, whose connections
	// stay open.
	replyTimeout = 3 * time.Second
	// routeRetryInterval is the pause between two attempts to reach the owner.
	routeRetryInterval = 200 * time.Millisecond
)

// Register registers the service on a gRPC server for other hosts.
func (s *Service) Register(server *grpc.Server) {
	ownerpb.RegisterOwnerServer(server, peerServer{service: s})
}

// Handle executes a trainer's request on the owner of its stream, on this host
// or another. It calls emit with complete lines of the stream. A request that
// another host may be able to execute is retried until routeTimeout, unless lines
// have been emitted.
func (s *Service) Handle(ctx context.Context, request *ownerpb.Request, emit func(lines []byte) error) error {
	name := stream.Name{Service: request.GetService(), Trainer: request.GetTrainer()}
	if _, ok := s.Documents.Document(name.Service); !ok {
		return kind.New(kind.NotFound, "service %s does not exist", name.Service)
	}
	var emitted bool
	emitAndRecord := func(lines []byte) error {
		emitted = true
		return emit(lines)
	}
	deadline := s.Now().Add(routeTimeout)
	for attempt := 0; ; attempt++ {
		err := s.handleOnce(ctx, name, request, attempt, emitAndRecord)
		if err == nil || emitted || ctx.Err() != nil || !retryable(err) || s.Now().After(deadline) {
			return trainerError(err)
		}
		s.evictOwner(name)
		if err := sleep(ctx, routeRetryInterval); err != nil {
			return err
		}
	}
}

// retryable reports whether a request that failed with err is worth another
// attempt: another host may be able to execute it. Repeating it is safe, since
// all requests of trainers are idempotent.
func retryable(err error) bool {
	switch kind.Of(err).Kind {
	case kind.NotOwner, kind.Leaving, kind.Unavailable:
		return true
	default:
		return false
	}
}

// trainerError returns the error for the trainer: not-owner is internal and
// becomes unavailable.
func trainerError(err error) error {
	if kind.Is(err, kind.NotOwner) {
		return kind.New(kind.Unavailable, "no host owns the stream: %s", err.Error()).WithRan(kind.RanUnknown)
	}
	return err
}

func sleep(ctx context.Context, d time.Duration) error {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return ctx.Err()
	case <-timer.C:
		return nil
	}
}

// handleOnce sends the request once, to the presumed owner of the stream or, if
// there is none, to a host that may claim it.
func (s *Service) handleOnce(ctx context.Context, name stream.Name, request *ownerpb.Request, attempt int, emit func([]byte) error) error {
	address, local, err := s.locate(ctx, name, attempt)
	if err != nil {
		return err
	}
	if local {
		return s.handleLocally(ctx, name, request, emit)
	}
	return s.handleRemotely(ctx, address, request, emit)
}

// locate returns the peer address of the stream's owner, or sets local if the
// owner is this host. If the stream has no owner, locate chooses a host by
// rendezvous hashing: the highest-ranked one for attempt 0, the next one for
// each further attempt.
func (s *Service) locate(ctx context.Context, name stream.Name, attempt int) (address string, local bool, err error) {
	s.mu.Lock()
	_, open := s.streams[name]
	cached, ok := s.owners[name]
	s.mu.Unlock()
	if open {
		return "", true, nil
	}
	if !ok || s.Now().Sub(cached.seenAt) > ownerCacheTTL {
		holder, held, err := s.Claims.HolderOf(ctx, claimKey(name))
		if err != nil {
			return "", false, err
		}
		if !held {
			address, local = s.rankedHost(name, attempt)
			return address, local, nil
		}
		cached = s.cacheOwner(name, holder)
	}
	self := s.Claims.Self
	if cached.holder.Node == self.ID && cached.holder.Incarnation == self.Incarnation {
		return "", true, nil
	}
	return cached.holder.PeerAddress, false, nil
}

// rankedHost returns the host that an attempt goes to while the stream has no
// owner.
func (s *Service) rankedHost(name stream.Name, attempt int) (address string, local bool) {
	nodes := s.Members.Nodes()
	ids := make([]string, len(nodes))
	addresses := map[string]string{}
	for i, node := range nodes {
		ids[i] = node.ID
		addresses[node.ID] = node.PeerAddress
	}
	ranked := rendezvous.Rank(name.String(), ids)
	if len(ranked) == 0 {
		return "", true
	}
	id := ranked[attempt%len(ranked)]
	return addresses[id], id == s.Claims.Self.ID
}

func (s *Service) cacheOwner(name stream.Name, holder Holder) cachedOwner {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.owners == nil {
		s.owners = make(map[stream.Name]cachedOwner)
	}
	s.owners[name] = cachedOwner{seenAt: s.Now(), holder: holder}
	return s.owners[name]
}

func (s *Service) evictOwner(name stream.Name) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.owners, name)
}

// handleLocally executes the request on this host, which claims the stream if
// it doesn't own it yet.
func (s *Service) handleLocally(ctx context.Context, name stream.Name, request *ownerpb.Request, emit func([]byte) error) error {
	o, err := s.openStream(ctx, name)
	if err != nil {
		return err
	}
	switch request.GetOperation() {
	case ownerpb.Operation_OPERATION_SUBMIT:
		var group sample.Group
		if err := json.NewDecoder(bytes.NewReader(request.GetBody())).Decode(&group); err != nil {
			return kind.Wrap(kind.BadRequest, err)
		}
		return o.log.Submit(ctx, group)
	case ownerpb.Operation_OPERATION_CANCEL:
		return o.log.Cancel(ctx, string(request.GetBody()))
	case ownerpb.Operation_OPERATION_PUBLISH:
		return s.publish(ctx, name, request.GetBody())
	case ownerpb.Operation_OPERATION_READ:
		wait := time.Duration(request.GetWaitMillis()) * time.Millisecond
		return o.log.Read(ctx, request.GetCursor(), int(request.GetLimit()), wait, emit)
	default:
		return kind.New(kind.BadRequest, "unknown operation %d", request.GetOperation())
	}
}

// Publication is the body of a request that publishes a weight version.
type Publication struct {
	Bytes   int64 `json:"bytes,omitempty"`
	Version int64 `json:"version"`
}

func (s *Service) publish(ctx context.Context, name stream.Name, body []byte) error {
	var publication Publication
	if err := json.Unmarshal(body, &publication); err != nil {
		return kind.Wrap(kind.BadRequest, err)
	}
	model := s.Weights.Model(name.Service)
	return s.Weights.Publish(ctx, name.Service, model, publication.Version, publication.Bytes)
}

var errOwnerTimeout = errors.New("the owner of the stream sent no reply in time")

// handleRemotely sends the request to the host at address. It fails with kind
// unavailable if no reply arrives for replyTimeout plus the request's wait time.
func (s *Service) handleRemotely(ctx context.Context, address string, request *ownerpb.Request, emit func([]byte) error) error {
	conn, err := s.Pool.Conn(address)
	if err != nil {
		return kind.Wrap(kind.Unavailable, err)
	}
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	timeout := replyTimeout + time.Duration(request.GetWaitMillis())*time.Millisecond
	watchdog := time.AfterFunc(timeout, func() { cancel(errOwnerTimeout) })
	defer watchdog.Stop()
	replies, err := ownerpb.NewOwnerClient(conn).Handle(ctx, request)
	if err != nil {
		return callError(ctx, err)
	}
	for {
		reply, err := replies.Recv()
		if errors.Is(err, io.EOF) {
			return nil
		}
		if err != nil {
			return callError(ctx, err)
		}
		watchdog.Reset(timeout)
		if failure := reply.GetFailure(); failure != nil {
			return errorFromFailure(failure)
		}
		if err := emit(reply.GetLines()); err != nil {
			return err
		}
	}
}

// callError returns the error of a failed call: errOwnerTimeout if the watchdog
// cancelled it, err with a kind otherwise.
func callError(ctx context.Context, err error) error {
	if errors.Is(context.Cause(ctx), errOwnerTimeout) {
		return kind.Wrap(kind.Unavailable, errOwnerTimeout)
	}
	return errorFromStatus(err)
}

func errorFromStatus(err error) error {
	switch status.Code(err) {
	case codes.Canceled:
		return kind.Wrap(kind.Cancelled, err)
	case codes.DeadlineExceeded:
		return kind.Wrap(kind.DeadlineExceeded, err)
	default:
		return kind.Wrap(kind.Unavailable, err)
	}
}

func errorFromFailure(failure *ownerpb.Failure) error {
	return kind.New(kind.Kind(failure.GetKind()), "%s", failure.GetMessage()).
		WithRan(kind.Ran(failure.GetRan())).
		WithRetryAfter(time.Duration(failure.GetRetryAfterMillis()) * time.Millisecond)
}

func failureFromError(err error) *ownerpb.Failure {
	e := kind.Of(err)
	return &ownerpb.Failure{
		Kind:             string(e.Kind),
		Message:          e.Message,
		Ran:              string(e.Ran),
		RetryAfterMillis: e.RetryAfter.Milliseconds(),
	}
}

func ignoreEOF(err error) error {
	if errors.Is(err, io.EOF) {
		return nil
	}
	return classError.Wrap(err)
}

// peerServer serves the calls of other hosts.
type peerServer struct {
	ownerpb.UnimplementedOwnerServer

	service *Service
}

// Handle executes a trainer's request if this host owns the stream or can claim
// it.
func (p peerServer) Handle(request *ownerpb.Request, replies grpc.ServerStreamingServer[ownerpb.Reply]) error {
	name := stream.Name{Service: request.GetService(), Trainer: request.GetTrainer()}
	err := p.service.handleLocally(replies.Context(), name, request, func(lines []byte) error {
		return replies.Send(&ownerpb.Reply{Lines: lines})
	})
	if err == nil {
		return nil
	}
	return replies.Send(&ownerpb.Reply{Failure: failureFromError(err)})
}

// Replicate stores copies for the owner of a stream.
func (p peerServer) Replicate(_ context.Context, request *ownerpb.ReplicateRequest) (*ownerpb.ReplicateReply, error) {
	contents := make([]stream.Content, len(request.GetContents()))
	for i, content := range request.GetContents() {
		contents[i] = stream.Content{Line: content.GetLine(), Position: content.GetPosition()}
	}
	stored, err := p.service.Copies.Put(parseStreamName(request.GetStream()), request.GetFence(), request.GetTrim(), contents)
	if err != nil {
		return nil, status.Error(codes.ResourceExhausted, err.Error())
	}
	if !stored {
		return nil, status.Error(codes.FailedPrecondition, "the stream has an owner with a higher fencing token")
	}
	return &ownerpb.ReplicateReply{}, nil
}

// Fetch returns the copies of a stream on this host.
func (p peerServer) Fetch(request *ownerpb.FetchRequest, contents grpc.ServerStreamingServer[ownerpb.Content]) error {
	var found []stream.Content
	err := p.service.Copies.Get(parseStreamName(request.GetStream()), request.GetFrom(), func(content stream.Content) {
		found = append(found, content)
	})
	for _, content := range found {
		if err := contents.Send(&ownerpb.Content{Line: content.Line, Position: content.Position}); err != nil {
			return err
		}
	}
	return err
}

func parseStreamName(text string) stream.Name {
	service, trainer, _ := strings.Cut(text, "/")
	return stream.Name{Service: service, Trainer: trainer}
}
