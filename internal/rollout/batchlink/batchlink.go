// Package batchlink implements the gRPC calls between hosts for batches. The
// host that accepted a batch hands it over to its owner, and any host can read
// results from the owner's memory. If these calls fail, the hosts use the
// key-value store for both.
package batchlink

import (
	"context"
	"encoding/json"
	"errors"
	"net"
	"time"

	"github.com/zeebo/errs"
	"google.golang.org/grpc"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/status"

	"github.com/nutmegway/nutmegway/internal/base/probe"
	"github.com/nutmegway/nutmegway/internal/fleet/peer"
	"github.com/nutmegway/nutmegway/internal/rollout/batch"
	"github.com/nutmegway/nutmegway/internal/rollout/batchlink/batchlinkpb"
	"github.com/nutmegway/nutmegway/internal/rollout/scaling"
)

var classError = errs.Class("batchlink")

const (
	// handoverTimeout bounds an Adopt or Offer call. A batch has some tens of
	// kilobytes, so a host that doesn't answer in this time is presumed gone.
	handoverTimeout = 300 * time.Millisecond
	// demandTimeout bounds a Demand call.
	demandTimeout = 500 * time.Millisecond
	// readSlack is how much longer a Read call may take than the reader waits for
	// results.
	readSlack = 300 * time.Millisecond
)

// Owner runs batches and serves the calls of other hosts.
type Owner interface {
	// Adopt runs a batch that is stored with this host as its owner. It returns
	// false if the host accepts no batches or knows that this one has changed since.
	Adopt(ctx context.Context, head batch.Head, b batch.Batch) bool
	// OwnDemand returns what the batches that this host runs still need.
	OwnDemand() scaling.Demand
	// HandleOffer handles the offer of a batch that another host has released.
	HandleOffer(ctx context.Context, head batch.Head)
	// Page returns the stored results from position after on. If there are none yet,
	// it waits for one until ctx ends. It returns false if this host neither runs the
	// batch nor has its final results.
	Page(ctx context.Context, id string, after int) (batch.Page, bool)
}

// Register registers owner on a gRPC server for other hosts.
func Register(server *grpc.Server, owner Owner) {
	batchlinkpb.RegisterBatchLinkServer(server, handler{owner: owner})
}

// handler serves the calls of other hosts.
type handler struct {
	batchlinkpb.UnimplementedBatchLinkServer

	owner Owner
}

var _ batchlinkpb.BatchLinkServer = handler{}

// Adopt implements batchlinkpb.BatchLinkServer.
func (h handler) Adopt(ctx context.Context, r *batchlinkpb.AdoptRequest) (*batchlinkpb.AdoptReply, error) {
	var head batch.Head
	var b batch.Batch
	if err := errors.Join(json.Unmarshal(r.GetHead(), &head), json.Unmarshal(r.GetBatch(), &b)); err != nil {
		return nil, classError.Wrap(err)
	}
	head.Revision = r.GetHeadRevision()
	return &batchlinkpb.AdoptReply{Running: h.owner.Adopt(ctx, head, b)}, nil
}

// Demand implements batchlinkpb.BatchLinkServer.
func (h handler) Demand(context.Context, *batchlinkpb.DemandRequest) (*batchlinkpb.DemandReply, error) {
	demand := h.owner.OwnDemand()
	reply := &batchlinkpb.DemandReply{}
	for _, b := range demand.Batches {
		reply.Batches = append(reply.Batches, &batchlinkpb.BatchDemand{
			Id: b.ID, Service: b.Service, Model: b.Model, AgeMillis: b.Age.Milliseconds(),
			RunTargetMillis: b.RunTarget.Milliseconds(), Items: int64(b.Items), Unfinished: int64(b.Unfinished), Waiting: int64(b.Waiting),
		})
	}
	for _, p := range demand.Paces {
		reply.Paces = append(reply.Paces, &batchlinkpb.Pace{Service: p.Service, BusyMicros: p.Busy.Microseconds(), Items: p.Items})
	}
	return reply, nil
}

// Offer implements batchlinkpb.BatchLinkServer.
func (h handler) Offer(ctx context.Context, r *batchlinkpb.OfferRequest) (*batchlinkpb.OfferReply, error) {
	var head batch.Head
	if err := json.Unmarshal(r.GetHead(), &head); err != nil {
		return nil, classError.Wrap(err)
	}
	head.Revision = r.GetHeadRevision()
	h.owner.HandleOffer(ctx, head)
	return &batchlinkpb.OfferReply{}, nil
}

// Ping implements batchlinkpb.BatchLinkServer.
func (handler) Ping(context.Context, *batchlinkpb.PingRequest) (*batchlinkpb.PingReply, error) {
	return &batchlinkpb.PingReply{}, nil
}

// Read implements batchlinkpb.BatchLinkServer.
func (h handler) Read(ctx context.Context, r *batchlinkpb.ReadRequest) (*batchlinkpb.ReadReply, error) {
	ctx, cancel := context.WithTimeout(ctx, time.Duration(r.GetWaitMillis())*time.Millisecond)
	defer cancel()
	page, ok := h.owner.Page(ctx, r.GetBatch(), int(r.GetAfter()))
	if !ok {
		return &batchlinkpb.ReadReply{}, nil
	}
	reply := &batchlinkpb.ReadReply{Known: true, Next: int64(page.Next), Total: int64(page.Total)}
	for _, result := range page.Results {
		reply.Results = append(reply.Results, &batchlinkpb.Result{
			Item: result.Item, Score: result.Score, State: string(result.State), Text: result.Text, Versions: result.Versions,
		})
	}
	return reply, nil
}

// Client calls other hosts. The fields are set before the first call.
type Client struct {
	Pool *peer.Pool
}

// Adopt hands a stored batch to its owner at address. It reports whether the
// owner runs the batch.
func (c *Client) Adopt(ctx context.Context, address string, head batch.Head, b batch.Batch) (bool, error) {
	encodedHead, err := json.Marshal(head)
	if err != nil {
		return false, classError.Wrap(err)
	}
	encodedBatch, err := json.Marshal(b)
	if err != nil {
		return false, classError.Wrap(err)
	}
	ctx, cancel := context.WithTimeout(ctx, handoverTimeout)
	defer cancel()
	reply, err := call(c, address, func(link batchlinkpb.BatchLinkClient) (*batchlinkpb.AdoptReply, error) {
		return link.Adopt(ctx, &batchlinkpb.AdoptRequest{
			Batch: encodedBatch, Head: encodedHead, HeadRevision: head.Revision,
		})
	})
	return reply.GetRunning(), err
}

// Demand returns what the batches that the host at address runs still need.
func (c *Client) Demand(ctx context.Context, address string) (scaling.Demand, error) {
	ctx, cancel := context.WithTimeout(ctx, demandTimeout)
	defer cancel()
	reply, err := call(c, address, func(link batchlinkpb.BatchLinkClient) (*batchlinkpb.DemandReply, error) {
		return link.Demand(ctx, &batchlinkpb.DemandRequest{})
	})
	if err != nil {
		return scaling.Demand{}, err
	}
	demand := scaling.Demand{Complete: true}
	for _, b := range reply.GetBatches() {
		demand.Batches = append(demand.Batches, scaling.Batch{
			Age: time.Duration(b.GetAgeMillis()) * time.Millisecond, ID: b.GetId(), Items: int(b.GetItems()), Model: b.GetModel(),
			RunTarget: time.Duration(b.GetRunTargetMillis()) * time.Millisecond, Service: b.GetService(), Unfinished: int(b.GetUnfinished()), Waiting: int(b.GetWaiting()),
		})
	}
	for _, p := range reply.GetPaces() {
		demand.Paces = append(demand.Paces, scaling.Pace{
			Busy: time.Duration(p.GetBusyMicros()) * time.Microsecond, Items: p.GetItems(), Service: p.GetService(),
		})
	}
	return demand, nil
}

// Offer offers the host at address a batch that this host has released.
func (c *Client) Offer(ctx context.Context, address string, head batch.Head) error {
	encoded, err := json.Marshal(head)
	if err != nil {
		return classError.Wrap(err)
	}
	ctx, cancel := context.WithTimeout(ctx, handoverTimeout)
	defer cancel()
	_, err = call(c, address, func(link batchlinkpb.BatchLinkClient) (*batchlinkpb.OfferReply, error) {
		return link.Offer(ctx, &batchlinkpb.OfferRequest{Head: encoded, HeadRevision: head.Revision})
	})
	return err
}

// ErrNoListener is the error of a ping to an address at which no process listens.
// The process that listened there has ended and its connections are closed.
var ErrNoListener = classError.New("no process listens at the address")

// Ping checks that the host at address is alive. It returns ErrNoListener if
// the machine refuses connections to address, since then no process listens
// there.
func (c *Client) Ping(ctx context.Context, address string) error {
	_, err := call(c, address, func(link batchlinkpb.BatchLinkClient) (*batchlinkpb.PingReply, error) {
		return link.Ping(ctx, &batchlinkpb.PingRequest{})
	})
	if status.Code(err) != codes.Unavailable {
		return err
	}
	// The gRPC library gives the cause of Unavailable only as text, so a TCP
	// connection is tried.
	if probe.Address(ctx, (&net.Dialer{}).DialContext, address) == probe.NotListening {
		return ErrNoListener
	}
	return err
}

// Read returns the results from position after on that the owner at address has
// stored. If there are none yet, the owner waits for one, at most for the
// duration wait. Read returns false if the call fails, or if the owner neither
// runs the batch nor has its final results.
func (c *Client) Read(ctx context.Context, address, id string, after int, wait time.Duration) (batch.Page, bool, error) {
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), wait+readSlack)
	defer cancel()
	reply, err := call(c, address, func(link batchlinkpb.BatchLinkClient) (*batchlinkpb.ReadReply, error) {
		return link.Read(ctx, &batchlinkpb.ReadRequest{After: int64(after), Batch: id, WaitMillis: wait.Milliseconds()})
	})
	if err != nil || !reply.GetKnown() {
		return batch.Page{}, false, err
	}
	page := batch.Page{Next: int(reply.GetNext()), Total: int(reply.GetTotal())}
	for _, r := range reply.GetResults() {
		page.Results = append(page.Results, batch.Result{
			Item: r.GetItem(), Score: r.GetScore(), State: batch.State(r.GetState()), Text: r.GetText(), Versions: r.GetVersions(),
		})
	}
	return page, true, nil
}

// call calls do with a client of the host at address.
func call[T any](c *Client, address string, do func(batchlinkpb.BatchLinkClient) (T, error)) (T, error) {
	var reply T
	err := c.Pool.Call(address, func(conn grpc.ClientConnInterface) error {
		var err error
		reply, err = do(batchlinkpb.NewBatchLinkClient(conn))
		return err
	})
	return reply, classError.Wrap(err)
}
