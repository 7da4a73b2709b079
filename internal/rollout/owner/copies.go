package owner

import (
	"context"
	"sync"
	"time"

	"google.golang.org/grpc"

	"github.com/nutmegway/nutmegway/internal/base/rendezvous"
	"github.com/nutmegway/nutmegway/internal/fleet/member"
	"github.com/nutmegway/nutmegway/internal/fleet/peer"
	"github.com/nutmegway/nutmegway/internal/rollout/owner/ownerpb"
	"github.com/nutmegway/nutmegway/internal/rollout/stream"
)

const (
	// copyTimeout bounds one call that stores or fetches copies.
	copyTimeout = time.Second
	// maxCopyHosts is the largest number of hosts that are asked, one after the
	// other, to store a copy.
	maxCopyHosts = 3
	// idleRetention is how long the copies of a stream are kept in memory after its
	// last write.
	idleRetention = time.Hour
)

// Disk stores copies durably on a host that has a data folder.
type Disk interface {
	// Append stores contents durably.
	Append(name stream.Name, contents []stream.Content) error
	// Replay calls each with every content of the stream that was written
	// completely.
	Replay(name stream.Name, each func(stream.Content)) error
	// Trim drops the contents below position.
	Trim(name stream.Name, position int64) error
}

// Copies holds the contents of the streams that this host owns or replicates.
// The exported fields are set before the first call.
type Copies struct {
	// Disk is nil on a host without a data folder.
	Disk Disk
	Now  func() time.Time

	mu      sync.Mutex
	streams map[stream.Name]*streamCopies
}

// streamCopies holds the copies of one stream in memory.
type streamCopies struct {
	// contents holds the lines by position.
	contents map[int64][]byte
	// fencingToken is the highest fencing token seen.
	fencingToken int64
	lastPut      time.Time
	// trimmedBelow is the position below which contents have been deleted.
	trimmedBelow int64
}

// Put stores contents and deletes those below trimBelow. It returns false and
// stores nothing if fencingToken is lower than the highest fencing token seen
// for the stream. If the disk fails, it returns true and the error: the
// contents are stored in memory.
func (c *Copies) Put(name stream.Name, fencingToken, trimBelow int64, contents []stream.Content) (bool, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.streams == nil {
		c.streams = make(map[stream.Name]*streamCopies)
	}
	held, ok := c.streams[name]
	if !ok {
		held = &streamCopies{contents: make(map[int64][]byte)}
		c.streams[name] = held
	}
	if fencingToken < held.fencingToken {
		return false, nil
	}
	held.fencingToken, held.lastPut = fencingToken, c.Now()
	for _, content := range contents {
		held.contents[content.Position] = content.Line
	}
	for ; held.trimmedBelow < trimBelow; held.trimmedBelow++ {
		delete(held.contents, held.trimmedBelow)
	}
	c.evictIdle()
	if c.Disk == nil {
		return true, nil
	}
	if err := c.Disk.Append(name, contents); err != nil {
		return true, err
	}
	return true, c.Disk.Trim(name, trimBelow)
}

// evictIdle removes from memory the streams that have had no write for
// idleRetention. The caller holds c.mu.
func (c *Copies) evictIdle() {
	for name, held := range c.streams {
		if c.Now().Sub(held.lastPut) > idleRetention {
			delete(c.streams, name)
		}
	}
}

// Get calls each with every content whose position is at least from, in no
// particular order. It may pass a content twice, once from memory and once from
// the disk.
func (c *Copies) Get(name stream.Name, from int64, each func(stream.Content)) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	if held, ok := c.streams[name]; ok {
		for position, line := range held.contents {
			if position >= from {
				each(stream.Content{Line: line, Position: position})
			}
		}
	}
	if c.Disk == nil {
		return nil
	}
	return c.Disk.Replay(name, func(content stream.Content) {
		if content.Position >= from {
			each(content)
		}
	})
}

// Replicas stores the contents of streams on this host and on one other host.
type Replicas struct {
	Copies  *Copies
	Members member.View
	Pool    *peer.Pool
}

var _ stream.Replicas = Replicas{}

// Replicate stores contents on this host and on the first other host that
// accepts them, out of at most maxCopyHosts. Hosts of other availability zones
// are asked first.
func (r Replicas) Replicate(ctx context.Context, name stream.Name, fencingToken, trimBelow int64, contents []stream.Content) error {
	_, localErr := r.Copies.Put(name, fencingToken, trimBelow, contents)
	request := &ownerpb.ReplicateRequest{Fence: fencingToken, Stream: name.String(), Trim: trimBelow}
	for _, content := range contents {
		request.Contents = append(request.Contents, &ownerpb.Content{Line: content.Line, Position: content.Position})
	}
	err := classError.New("replicate stream %s: no other host is known", name)
	for i, node := range r.copyHosts(name) {
		if i == maxCopyHosts {
			break
		}
		if err = r.replicateTo(ctx, node, request); err == nil {
			return nil
		}
	}
	if localErr == nil && r.Copies.Disk != nil {
		// The local copy on disk survives a crash of the process.
		return nil
	}
	return err
}

func (r Replicas) replicateTo(ctx context.Context, node member.Node, request *ownerpb.ReplicateRequest) error {
	conn, err := r.Pool.Conn(node.PeerAddress)
	if err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(ctx, copyTimeout)
	defer cancel()
	_, err = ownerpb.NewOwnerClient(conn).Replicate(ctx, request, grpc.WaitForReady(false))
	return classError.Wrap(err)
}

// copyHosts returns the other hosts in the order in which they are asked to
// keep copies of the stream: by rendezvous hashing, those of other availability
// zones first.
func (r Replicas) copyHosts(name stream.Name) []member.Node {
	self := r.Members.Self()
	byID := map[string]member.Node{}
	var ids []string
	for _, node := range r.Members.Nodes() {
		if node.ID != self.ID {
			byID[node.ID] = node
			ids = append(ids, node.ID)
		}
	}
	var otherZones, sameZone []member.Node
	for _, id := range rendezvous.Rank("copies/"+name.String(), ids) {
		if byID[id].AvailabilityZone == self.AvailabilityZone {
			sameZone = append(sameZone, byID[id])
		} else {
			otherZones = append(otherZones, byID[id])
		}
	}
	return append(otherZones, sameZone...)
}

// Fetch calls each with the copies that this host and the others hold and whose
// position is at least from. If a host fails, Fetch continues with the next
// one. It returns the last error.
func (r Replicas) Fetch(ctx context.Context, name stream.Name, from int64, each func(stream.Content)) error {
	lastErr := r.Copies.Get(name, from, each)
	for _, node := range r.copyHosts(name) {
		if err := r.fetchFrom(ctx, node, name, from, each); err != nil {
			lastErr = err
		}
	}
	return lastErr
}

func (r Replicas) fetchFrom(ctx context.Context, node member.Node, name stream.Name, from int64, each func(stream.Content)) error {
	conn, err := r.Pool.Conn(node.PeerAddress)
	if err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(ctx, copyTimeout)
	defer cancel()
	contents, err := ownerpb.NewOwnerClient(conn).Fetch(ctx, &ownerpb.FetchRequest{From: from, Stream: name.String()})
	if err != nil {
		return classError.Wrap(err)
	}
	for {
		content, err := contents.Recv()
		if err != nil {
			return ignoreEOF(err)
		}
		each(stream.Content{Line: content.GetLine(), Position: content.GetPosition()})
	}
}
