package etcd

import (
	"context"
	"errors"
	"time"

	"golang.org/x/sync/errgroup"
	"google.golang.org/grpc"

	"github.com/nutmegway/nutmegway/internal/base/kind"
	"github.com/nutmegway/nutmegway/internal/external/etcd/etcdserverpb"
	"github.com/nutmegway/nutmegway/internal/external/kv"
)

var errWatchClosed = errors.New("the watch is closed")

// watcher is one watch on a stream of its own.
type watcher struct {
	batches chan kv.Batch
	cancel  context.CancelFunc
	group   *errgroup.Group
	// ended is closed when the watch is over; reason is set before.
	ended  chan struct{}
	reason error
	stream grpc.BidiStreamingClient[etcdserverpb.WatchRequest, etcdserverpb.WatchResponse]
}

// Watch reports changes below prefix after revision. It returns when the
// service has confirmed the watch.
func (s *Store) Watch(ctx context.Context, prefix string, revision int64) (kv.Watcher, error) {
	conns, first, err := s.connections()
	if err != nil {
		return nil, kind.Wrap(kind.StoreUnavailable, err)
	}
	for i := range conns {
		index := (first + i) % len(conns)
		var w *watcher
		if w, err = s.openWatch(ctx, conns[index], prefix, revision); err == nil {
			s.prefer(index)
			return w, nil
		}
		if ctx.Err() != nil {
			break
		}
	}
	return nil, kind.Wrap(kind.StoreUnavailable, classError.Wrap(err))
}

func (s *Store) openWatch(ctx context.Context, conn *grpc.ClientConn, prefix string, revision int64) (*watcher, error) {
	// The watch outlives the call that opens it; Close ends it.
	streamCtx, cancel := context.WithCancel(context.WithoutCancel(ctx))
	stop := context.AfterFunc(ctx, cancel)
	defer stop()
	timer := time.AfterFunc(s.callTimeout(), cancel)
	defer timer.Stop()
	stream, err := etcdserverpb.NewWatchClient(conn).Watch(streamCtx)
	if err != nil {
		cancel()
		return nil, err
	}
	err = stream.Send(&etcdserverpb.WatchRequest{RequestUnion: &etcdserverpb.WatchRequest_CreateRequest{
		CreateRequest: &etcdserverpb.WatchCreateRequest{
			Key:            keyOf(prefix),
			ProgressNotify: true,
			RangeEnd:       prefixEnd(prefix),
			StartRevision:  revision + 1,
		},
	}})
	if err == nil {
		err = awaitCreated(stream)
	}
	if err != nil || !timer.Stop() {
		cancel()
		return nil, errors.Join(err, streamCtx.Err())
	}
	w := &watcher{
		batches: make(chan kv.Batch),
		cancel:  cancel,
		ended:   make(chan struct{}),
		group:   &errgroup.Group{},
		stream:  stream,
	}
	heard := make(chan struct{}, 1)
	w.group.Go(func() error { return w.receive(streamCtx, heard) })
	w.group.Go(func() error { return w.askProgress(streamCtx, heard, s.progressEvery()) })
	return w, nil
}

func awaitCreated(stream grpc.BidiStreamingClient[etcdserverpb.WatchRequest, etcdserverpb.WatchResponse]) error {
	reply, err := stream.Recv()
	if err != nil {
		return err
	}
	if reply.GetCanceled() {
		return cancelled(reply)
	}
	if !reply.GetCreated() {
		return classError.New("the service sent events before it confirmed the watch")
	}
	return nil
}

func cancelled(reply *etcdserverpb.WatchResponse) error {
	if reply.GetCompactRevision() > 0 {
		return classError.New("the revisions below %d are compacted", reply.GetCompactRevision())
	}
	return classError.New("the service cancelled the watch: %s", reply.GetCancelReason())
}

// receive hands on the batches until the stream ends.
func (w *watcher) receive(ctx context.Context, heard chan<- struct{}) error {
	defer w.cancel()
	defer close(w.ended)
	for {
		reply, err := w.stream.Recv()
		if err == nil && reply.GetCanceled() {
			err = cancelled(reply)
		}
		if err != nil {
			w.reason = kind.Wrap(kind.StoreUnavailable, classError.Wrap(err))
			return nil
		}
		select {
		case heard <- struct{}{}:
		default:
		}
		select {
		case w.batches <- batchOf(reply):
		case <-ctx.Done():
			w.reason = kind.Wrap(kind.StoreUnavailable, classError.Wrap(errWatchClosed))
			return nil
		}
	}
}

// askProgress asks the service for its progress at each interval and ends the
// watch when nothing came for two of them.
func (w *watcher) askProgress(ctx context.Context, heard <-chan struct{}, every time.Duration) error {
	ticker := time.NewTicker(every)
	defer ticker.Stop()
	silent := 0
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-heard:
			silent = 0
		case <-ticker.C:
			if silent++; silent > 2 {
				w.cancel()
				return nil
			}
			_ = w.stream.Send(&etcdserverpb.WatchRequest{RequestUnion: &etcdserverpb.WatchRequest_ProgressRequest{
				ProgressRequest: &etcdserverpb.WatchProgressRequest{},
			}})
		}
	}
}

// Next waits for the next batch. A batch without events tells that the watch
// is complete up to its revision.
func (w *watcher) Next(ctx context.Context) (kv.Batch, error) {
	select {
	case batch := <-w.batches:
		return batch, nil
	case <-ctx.Done():
		return kv.Batch{}, ctx.Err()
	case <-w.ended:
		return kv.Batch{}, w.reason
	}
}

// Close ends the watch.
func (w *watcher) Close() {
	w.cancel()
	_ = w.group.Wait()
}
