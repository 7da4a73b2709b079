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

// watcher delivers the batches of one watch, which has a stream of its own.
type watcher struct {
	batches chan kv.Batch
	cancel  context.CancelFunc
	group   *errgroup.Group
	// done is closed when the watch has ended; err is set before that.
	done   chan struct{}
	err    error
	stream grpc.BidiStreamingClient[etcdserverpb.WatchRequest, etcdserverpb.WatchResponse]
}

// Watch reports changes below prefix after revision. It returns after the service
// has confirmed the watch.
func (s *Store) Watch(ctx context.Context, prefix string, revision int64) (kv.Watcher, error) {
	conns, first, err := s.connections()
	if err != nil {
		return nil, kind.Wrap(kind.StoreUnavailable, err)
	}
	for i := range conns {
		index := (first + i) % len(conns)
		var w *watcher
		if w, err = s.openWatch(ctx, conns[index], prefix, revision); err == nil {
			s.setPreferred(index)
			return w, nil
		}
		if ctx.Err() != nil {
			break
		}
	}
	return nil, kind.Wrap(kind.StoreUnavailable, classError.Wrap(err))
}

func (s *Store) openWatch(ctx context.Context, conn *grpc.ClientConn, prefix string, revision int64) (*watcher, error) {
	// The stream outlives ctx, which bounds only the opening; Close ends it.
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
			Key:            rangeStart(prefix),
			ProgressNotify: true,
			RangeEnd:       rangeEnd(prefix),
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
		done:    make(chan struct{}),
		group:   &errgroup.Group{},
		stream:  stream,
	}
	received := make(chan struct{}, 1)
	w.group.Go(func() error { return w.receive(streamCtx, received) })
	w.group.Go(func() error { return w.requestProgress(streamCtx, received, s.progressInterval()) })
	return w, nil
}

func awaitCreated(stream grpc.BidiStreamingClient[etcdserverpb.WatchRequest, etcdserverpb.WatchResponse]) error {
	reply, err := stream.Recv()
	if err != nil {
		return err
	}
	if reply.GetCanceled() {
		return cancelError(reply)
	}
	if !reply.GetCreated() {
		return classError.New("the service sent a message before it confirmed the watch")
	}
	return nil
}

func cancelError(reply *etcdserverpb.WatchResponse) error {
	if reply.GetCompactRevision() > 0 {
		return classError.New("the service has compacted the revisions below %d", reply.GetCompactRevision())
	}
	return classError.New("the service cancelled the watch: %s", reply.GetCancelReason())
}

// receive passes the batches of the stream on to Next until the stream ends. It then
// sets w.err and closes w.done.
func (w *watcher) receive(ctx context.Context, received chan<- struct{}) error {
	defer w.cancel()
	defer close(w.done)
	for {
		reply, err := w.stream.Recv()
		if err == nil && reply.GetCanceled() {
			err = cancelError(reply)
		}
		if err != nil {
			w.err = kind.Wrap(kind.StoreUnavailable, classError.Wrap(err))
			return nil
		}
		select {
		case received <- struct{}{}:
		default:
		}
		select {
		case w.batches <- batchFromPB(reply):
		case <-ctx.Done():
			w.err = kind.Wrap(kind.StoreUnavailable, classError.Wrap(errWatchClosed))
			return nil
		}
	}
}

// requestProgress sends a progress request at each interval. It ends the watch at
// the third tick in a row before which no message has arrived.
func (w *watcher) requestProgress(ctx context.Context, received <-chan struct{}, interval time.Duration) error {
	ticker := time.NewTicker(interval)
	defer ticker.Stop()
	missed := 0
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-received:
			missed = 0
		case <-ticker.C:
			if missed++; missed > 2 {
				w.cancel()
				return nil
			}
			_ = w.stream.Send(&etcdserverpb.WatchRequest{RequestUnion: &etcdserverpb.WatchRequest_ProgressRequest{
				ProgressRequest: &etcdserverpb.WatchProgressRequest{},
			}})
		}
	}
}

// Next waits for the next batch. A batch without events means that all changes up
// to its revision have been delivered.
func (w *watcher) Next(ctx context.Context) (kv.Batch, error) {
	select {
	case batch := <-w.batches:
		return batch, nil
	case <-ctx.Done():
		return kv.Batch{}, ctx.Err()
	case <-w.done:
		return kv.Batch{}, w.err
	}
}

// Close ends the watch.
func (w *watcher) Close() {
	w.cancel()
	_ = w.group.Wait()
}
