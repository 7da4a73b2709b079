package spread

import (
	"context"
	"log/slog"

	"golang.org/x/sync/errgroup"

	"github.com/nutmegway/nutmegway/internal/fleet/spread/spreadpb"
)

// Push implements spreadpb.SpreadServer. It returns once the entries are in force on
// this node; they are forwarded to the branch asynchronously.
func (s *Spreader) Push(_ context.Context, request *spreadpb.PushRequest) (*spreadpb.PushReply, error) {
	s.init()
	entries := fromWire(request.GetEntries())
	s.apply(sourcePush, entries)
	keys := make([]string, len(entries))
	for i, entry := range entries {
		keys[i] = entry.Key
	}
	s.enqueue(pushJob{branch: request.GetBranch(), keys: keys})
	return &spreadpb.PushReply{}, nil
}

// runPushWorker processes queued pushes until ctx ends.
func (s *Spreader) runPushWorker(ctx context.Context) error {
	for {
		select {
		case <-ctx.Done():
			return nil
		case job := <-s.pushQueue:
			if job.delay > 0 && !sleep(ctx, job.delay) {
				return nil
			}
			s.pushBranch(ctx, job)
		}
	}
}

// pushBranch sends the entries to the subtrees of the branch. It sends the entries
// that the replica holds now, which may be newer than those that were queued.
func (s *Spreader) pushBranch(ctx context.Context, job pushJob) {
	batches := s.batches(job.keys)
	var group errgroup.Group
	for _, sub := range splitBranch(job.branch, s.Members.Self().ID, s.Members.Peers(), s.Config.Fanout) {
		group.Go(func() error {
			for _, batch := range batches {
				s.pushSubtree(ctx, sub, batch)
			}
			return nil
		})
	}
	_ = group.Wait()
}

// pushSubtree sends the entries to the possible roots of the subtree in order until
// one answers. That node forwards them along its branch.
func (s *Spreader) pushSubtree(ctx context.Context, sub subtree, entries []*spreadpb.Entry) {
	request := &spreadpb.PushRequest{Branch: sub.branch, Entries: entries}
	for _, root := range sub.roots {
		if ctx.Err() != nil {
			return
		}
		client, err := s.client(root.PeerAddress)
		if err == nil {
			callCtx, cancel := context.WithTimeout(ctx, s.Config.CallTimeout)
			_, err = client.Push(callCtx, request)
			cancel()
		}
		if err == nil {
			return
		}
		s.failedPushes.Add(ctx, 1)
		s.Logger.Warn("push to node failed", slog.String("error", err.Error()), slog.String("node", root.ID))
	}
}

// batches divides the entries of keys into messages with at most BatchBytes of
// values each. A single larger value is still sent.
func (s *Spreader) batches(keys []string) [][]*spreadpb.Entry {
	var batches [][]*spreadpb.Entry
	var batch []*spreadpb.Entry
	size := 0
	for _, key := range keys {
		entry, ok := s.replica.Entry(key)
		if !ok {
			continue
		}
		if size > 0 && size+len(entry.Value) > s.Config.BatchBytes {
			batches, batch, size = append(batches, batch), nil, 0
		}
		batch = append(batch, toWire(entry))
		size += len(entry.Value)
	}
	if len(batch) > 0 {
		batches = append(batches, batch)
	}
	return batches
}

func toWire(entry Entry) *spreadpb.Entry {
	return &spreadpb.Entry{Deleted: entry.Deleted, Key: entry.Key, Revision: entry.Revision, Value: entry.Value}
}

func fromWire(wire []*spreadpb.Entry) []Entry {
	entries := make([]Entry, len(wire))
	for i, entry := range wire {
		entries[i] = Entry{Deleted: entry.GetDeleted(), Key: entry.GetKey(), Revision: entry.GetRevision(), Value: entry.GetValue()}
	}
	return entries
}
