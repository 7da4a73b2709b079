package owner

import (
	"context"
	"errors"
	"io"

	"google.golang.org/grpc"
	"google.golang.org/grpc/metadata"

	"github.com/nutmegway/nutmegway/internal/request/owner/ownerpb"
)

// service serves an Owner over gRPC. It is a separate type because the service needs
// a method Run, and Owner.Run polls the engines.
type service struct {
	ownerpb.UnimplementedQueueOwnerServer
	owner *Owner
}

var _ ownerpb.QueueOwnerServer = &service{}

// Register registers the service that other nodes call.
func (o *Owner) Register(s *grpc.Server) {
	ownerpb.RegisterQueueOwnerServer(s, &service{owner: o})
}

// Run runs an attempt that another node forwarded. It sends the header at once to
// acknowledge the attempt.
func (s *service) Run(request *ownerpb.RunRequest, stream grpc.ServerStreamingServer[ownerpb.RunReply]) error {
	if err := stream.SendHeader(metadata.MD{}); err != nil {
		return err
	}
	a := decodeAttempt(request)
	running, err := s.owner.Start(stream.Context(), a)
	if err != nil {
		return stream.Send(&ownerpb.RunReply{
			Part: &ownerpb.RunReply_Refusal{Refusal: encodeRefusal(err)}, Summary: s.summary(a.Server),
		})
	}
	defer running.Close() //nolint:errcheck // Close returns no error.
	first := true
	for {
		chunk, err := running.Next()
		reply := &ownerpb.RunReply{}
		switch {
		case errors.Is(err, io.EOF):
			reply.Part = &ownerpb.RunReply_End{End: &ownerpb.End{}}
		case err != nil:
			reply.Part = &ownerpb.RunReply_Refusal{Refusal: encodeRefusal(err)}
		default:
			reply.Part = &ownerpb.RunReply_Chunk{Chunk: encodeChunk(chunk)}
		}
		if first || err != nil {
			reply.Summary = s.summary(a.Server)
		}
		first = false
		if sendErr := stream.Send(reply); sendErr != nil || err != nil {
			return sendErr
		}
	}
}

func (s *service) summary(id string) *ownerpb.Summary {
	for _, summary := range s.owner.summaries([]string{id}) {
		return encodeSummary(summary)
	}
	return nil
}

// Summaries describes the queues of the requested servers.
func (s *service) Summaries(_ context.Context, request *ownerpb.SummariesRequest) (*ownerpb.SummariesReply, error) {
	reply := &ownerpb.SummariesReply{}
	for _, summary := range s.owner.summaries(request.GetServerIds()) {
		reply.Summaries = append(reply.Summaries, encodeSummary(summary))
	}
	return reply, nil
}
