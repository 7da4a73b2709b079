// Package usagelink implements the gRPC call with which a host sends its counts of requests to
// the host that reports usage.
package usagelink

import (
	"context"
	"time"

	"github.com/zeebo/errs"
	"google.golang.org/grpc"

	"github.com/nutmegway/nutmegway/internal/fleet/peer"
	"github.com/nutmegway/nutmegway/internal/request/usage"
	"github.com/nutmegway/nutmegway/internal/request/usagelink/usagelinkpb"
)

var classError = errs.Class("usagelink")

// Register registers the sender of this host, which also receives reports, on a gRPC server
// for other hosts.
func Register(server *grpc.Server, sender *usage.Sender) {
	usagelinkpb.RegisterUsageLinkServer(server, handler{sender: sender})
}

// handler serves the calls of other hosts.
type handler struct {
	usagelinkpb.UnimplementedUsageLinkServer

	sender *usage.Sender
}

var _ usagelinkpb.UsageLinkServer = handler{}

// Report implements usagelinkpb.UsageLinkServer.
func (h handler) Report(_ context.Context, r *usagelinkpb.ReportRequest) (*usagelinkpb.ReportReply, error) {
	counts := make(usage.Counts, len(r.GetWindows()))
	for _, window := range r.GetWindows() {
		counts[window.GetIndex()] = window.GetCounts()
	}
	reply := h.sender.Receive(usage.Report{Counts: counts, Source: r.GetSource(), Wall: time.UnixMicro(r.GetWallMicros())})
	return &usagelinkpb.ReportReply{NextWindow: reply.Next, TimeMicros: reply.Time.UnixMicro()}, nil
}

// Client sends reports to other hosts. The fields are set before the first call.
type Client struct {
	Pool *peer.Pool
}

var _ usage.Link = Client{}

// Report implements usage.Link.
func (c Client) Report(ctx context.Context, address string, report usage.Report) (usage.Reply, error) {
	request := &usagelinkpb.ReportRequest{Source: report.Source, WallMicros: report.Wall.UnixMicro()}
	for window, counts := range report.Counts {
		request.Windows = append(request.Windows, &usagelinkpb.Window{Index: window, Counts: counts})
	}
	var reply *usagelinkpb.ReportReply
	err := c.Pool.Call(address, func(conn grpc.ClientConnInterface) error {
		var err error
		reply, err = usagelinkpb.NewUsageLinkClient(conn).Report(ctx, request)
		return err
	})
	if err != nil {
		return usage.Reply{}, classError.Wrap(err)
	}
	return usage.Reply{Next: reply.GetNextWindow(), Time: time.UnixMicro(reply.GetTimeMicros())}, nil
}
