package forwardlink

import (
	"context"
	"errors"
	"log/slog"
	"net/http"
	"sync"
	"time"

	"google.golang.org/grpc"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/status"

	"github.com/nutmegway/nutmegway/internal/base/boottime"
	"github.com/nutmegway/nutmegway/internal/base/elapsed"
	"github.com/nutmegway/nutmegway/internal/base/kind"
	"github.com/nutmegway/nutmegway/internal/request/forward"
	"github.com/nutmegway/nutmegway/internal/request/forwardlink/forwardlinkpb"
)

// Host serves the requests of other hosts.
type Host interface {
	// AcceptForwarded returns an error if this host takes no requests of a host that has the
	// configuration version.
	AcceptForwarded(configVersion int64) error
	// ReachesServers reports whether this host reaches backend servers now.
	ReachesServers(ctx context.Context) bool
	// ServeForwarded has the meaning of forward.Forwarder.Serve.
	ServeForwarded(ctx context.Context, w http.ResponseWriter, request forward.Request) error
}

// Server takes requests of other hosts. The exported fields are set before Register.
type Server struct {
	forwardlinkpb.UnimplementedForwardLinkServer

	Host   Host
	Logger *slog.Logger

	mu     sync.Mutex
	active int
	// idle is closed and reset when active becomes zero.
	idle chan struct{}
}

var _ forwardlinkpb.ForwardLinkServer = (*Server)(nil)

// Register registers s on a gRPC server for other hosts.
func (s *Server) Register(server *grpc.Server) { forwardlinkpb.RegisterForwardLinkServer(server, s) }

// AwaitIdle waits until no request of another host is being served, or ctx ends.
func (s *Server) AwaitIdle(ctx context.Context) {
	s.mu.Lock()
	if s.active == 0 {
		s.mu.Unlock()
		return
	}
	if s.idle == nil {
		s.idle = make(chan struct{})
	}
	idle := s.idle
	s.mu.Unlock()
	select {
	case <-idle:
	case <-ctx.Done():
	}
}

// begin counts a request. The returned function ends it.
func (s *Server) begin() (end func()) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.active++
	return func() {
		s.mu.Lock()
		defer s.mu.Unlock()
		s.active--
		if s.active == 0 && s.idle != nil {
			close(s.idle)
			s.idle = nil
		}
	}
}

// CheckReach implements forwardlinkpb.ForwardLinkServer.
func (s *Server) CheckReach(ctx context.Context, _ *forwardlinkpb.CheckReachRequest) (*forwardlinkpb.CheckReachReply, error) {
	return &forwardlinkpb.CheckReachReply{ReachesServers: s.Host.ReachesServers(ctx)}, nil
}

// Forward implements forwardlinkpb.ForwardLinkServer.
func (s *Server) Forward(stream forwardlinkpb.ForwardLink_ForwardServer) error {
	// The request counts before its offer is accepted, so that a host that begins to leave
	// afterwards waits for it.
	defer s.begin()()
	part, err := stream.Recv()
	if err != nil {
		return err
	}
	offer := part.GetOffer()
	if offer == nil {
		return status.Error(codes.InvalidArgument, "the call does not begin with an offer")
	}
	if err := s.Host.AcceptForwarded(offer.GetConfigVersion()); err != nil {
		s.Logger.LogAttrs(stream.Context(), slog.LevelInfo, "request of another host not accepted",
			slog.String("request-id", offer.GetRequestId()), slog.Any("error", err))
		return sendVerdict(stream, &forwardlinkpb.Verdict{Reason: err.Error()})
	}
	accepted, acceptedAt, acceptedInstant := elapsed.Now(nil), time.Now(), boottime.Now()
	if err := sendVerdict(stream, &forwardlinkpb.Verdict{Accepted: true, ReadsGrants: true}); err != nil {
		return err
	}
	part, err = stream.Recv()
	if err != nil {
		return err
	}
	request := part.GetRequest()
	if request == nil {
		return status.Error(codes.InvalidArgument, "the offer is not followed by a request")
	}
	w := &answerWriter{header: make(http.Header), stream: stream}
	if age := accepted.Since(nil); age > maxAcceptanceAge {
		err = kind.New(kind.DeadlineUnmet, "the request came %s after its offer was accepted", age).WithRan(kind.RanNo)
	} else {
		err = s.serve(stream.Context(), w, forward.Request{
			Arrived: acceptedAt, Body: request.GetBody(), Budget: time.Duration(request.GetBudgetMicros()) * time.Microsecond,
			Grant: decodeGrant(request.GetGrant(), acceptedInstant), Header: decodeHeader(request.GetHeaders()), Host: string(request.GetHost()), ID: offer.GetRequestId(),
			Leaving: decodeLeaving(request.GetLeaving()), Method: request.GetMethod(), Relayed: true, MaxAttempts: int(request.GetMaxAttempts()), Target: string(request.GetTarget()),
		})
	}
	switch {
	case errors.Is(err, http.ErrAbortHandler):
		return status.Error(codes.Aborted, "the answer was interrupted")
	case err != nil:
		return stream.Send(&forwardlinkpb.AnswerPart{Part: &forwardlinkpb.AnswerPart_Failure{Failure: encodeFailure(err)}})
	case w.err != nil:
		return w.err
	}
	return stream.Send(&forwardlinkpb.AnswerPart{Part: &forwardlinkpb.AnswerPart_End{End: &forwardlinkpb.End{}}})
}

// serve serves a request and returns the panic that marks an interrupted answer as an error.
func (s *Server) serve(ctx context.Context, w http.ResponseWriter, request forward.Request) (err error) {
	defer func() {
		if p := recover(); p != nil {
			aborted, ok := p.(error)
			if !ok || !errors.Is(aborted, http.ErrAbortHandler) {
				panic(p)
			}
			err = http.ErrAbortHandler
		}
	}()
	return s.Host.ServeForwarded(ctx, w, request)
}

func sendVerdict(stream forwardlinkpb.ForwardLink_ForwardServer, verdict *forwardlinkpb.Verdict) error {
	return stream.Send(&forwardlinkpb.AnswerPart{Part: &forwardlinkpb.AnswerPart_Verdict{Verdict: verdict}})
}

func decodeLeaving(encoded []*forwardlinkpb.LeavingServer) map[string]int64 {
	leaving := make(map[string]int64, len(encoded))
	for _, server := range encoded {
		leaving[server.GetId()] = server.GetStartedMillis()
	}
	return leaving
}

func encodeFailure(err error) *forwardlinkpb.Failure {
	e := kind.Of(err)
	return &forwardlinkpb.Failure{
		Kind: string(e.Kind), Message: e.Message, Ran: string(e.Ran), RetryAfterMicros: e.RetryAfter.Microseconds(),
	}
}

// answerWriter sends an answer over a link, each part as soon as it is written.
type answerWriter struct {
	err       error
	header    http.Header
	server    string
	stream    forwardlinkpb.ForwardLink_ForwardServer
	wroteHead bool
}

var (
	_ http.ResponseWriter    = (*answerWriter)(nil)
	_ forward.ServerRecorder = (*answerWriter)(nil)
)

// RecordServer implements forward.ServerRecorder.
func (w *answerWriter) RecordServer(id string) { w.server = id }

// Header implements http.ResponseWriter.
func (w *answerWriter) Header() http.Header { return w.header }

// WriteHeader implements http.ResponseWriter.
func (w *answerWriter) WriteHeader(statusCode int) {
	if w.wroteHead {
		return
	}
	w.wroteHead = true
	head := &forwardlinkpb.Head{Headers: encodeHeader(w.header), Server: w.server, Status: int32(statusCode)}
	w.err = w.stream.Send(&forwardlinkpb.AnswerPart{Part: &forwardlinkpb.AnswerPart_Head{Head: head}})
}

// Write implements http.ResponseWriter.
func (w *answerWriter) Write(p []byte) (int, error) {
	w.WriteHeader(http.StatusOK)
	if w.err == nil && len(p) > 0 {
		w.err = w.stream.Send(&forwardlinkpb.AnswerPart{Part: &forwardlinkpb.AnswerPart_Chunk{Chunk: p}})
	}
	if w.err != nil {
		return 0, w.err
	}
	return len(p), nil
}

// FlushError lets http.ResponseController flush. Nothing is buffered.
func (w *answerWriter) FlushError() error { return w.err }
