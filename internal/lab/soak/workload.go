package soak

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"slices"
	"strconv"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"golang.org/x/sync/errgroup"

	"github.com/nutmegway/nutmegway/internal/base/wait"
	"github.com/nutmegway/nutmegway/platform/platformtest"
)

// reloadSignal makes a host read its settings file again.
const reloadSignal = syscall.SIGHUP

const (
	callerCount  = 16
	trainerCount = 3
	readerCount  = 2

	groupsPerBatch = 6
	itemsPerGroup  = 4
	// groupsWanted is the number of complete groups that a trainer waits for.
	groupsWanted = 5
	// Each item produces at least minEvents and fewer than maxEvents events.
	minEvents = 4
	maxEvents = 40
	// stepTimeout bounds a trainer's wait for its groups, submitTimeout its attempts to
	// submit a batch, and attemptTimeout its wait for one response.
	stepTimeout    = 10 * time.Second
	submitTimeout  = 8 * time.Second
	attemptTimeout = 2500 * time.Millisecond
	retryBackoff   = 100 * time.Millisecond
	// configInterval is the time between two changes of the configuration, probeInterval
	// between two probes of a host, and readInterval between two reads of a reader that
	// isn't the batch's trainer.
	configInterval = 2500 * time.Millisecond
	probeInterval  = 250 * time.Millisecond
	readInterval   = 100 * time.Millisecond
	// poisonInterval is the time between two copies of a poison request, which crashes
	// each server that runs it.
	poisonInterval = 200 * time.Millisecond
	// submitOnceInterval is the time between two batches that are submitted without retry.
	submitOnceInterval = 400 * time.Millisecond
)

// workload is the state that callers, trainers and the operator share.
type workload struct {
	configVersion atomic.Int64
	lastID        atomic.Int64
	mu            sync.Mutex
	storeMu       sync.Mutex
	weightVersion atomic.Int64
}

func (r *run) startWorkload(workCtx context.Context, group *errgroup.Group) {
	r.work.configVersion.Store(1)
	r.work.weightVersion.Store(1)
	repeat := func(step func(ctx context.Context) error) {
		group.Go(func() error {
			for workCtx.Err() == nil {
				if err := step(context.WithoutCancel(workCtx)); err != nil {
					return err
				}
			}
			return nil
		})
	}
	for range callerCount {
		repeat(r.call)
	}
	for range trainerCount {
		repeat(r.trainStep)
	}
	for range readerCount {
		repeat(r.readRandomBatch)
	}
	repeat(r.submitOnce)
	start := time.Now()
	repeat(func(ctx context.Context) error {
		r.sendPoison(ctx, int(time.Since(start)/cycleTime))
		wait.For(workCtx, poisonInterval) // The loop checks the context.
		return nil
	})
	for _, n := range r.nodes {
		repeat(func(ctx context.Context) error {
			r.probeConfig(ctx, n)
			wait.For(workCtx, probeInterval) // The loop checks the context.
			return nil
		})
	}
	repeat(func(context.Context) error { return r.changeConfig(workCtx) })
}

func (r *run) newID(kind string) string { return fmt.Sprintf("%s-%d", kind, r.work.lastID.Add(1)) }

func (r *run) randomNode() *node { return r.nodes[rand.IntN(len(r.nodes))] }

// call sends one request to a random host, without retry.
func (r *run) call(ctx context.Context) error {
	prefix, repeat := lookupPrefix, platformtest.RepeatIdempotent
	if rand.IntN(2) == 0 {
		prefix, repeat = bookingPrefix, platformtest.RepeatNever
	}
	answer, broken := r.send(ctx, r.randomNode(), prefix, repeat)
	if broken || answer.Status != http.StatusOK {
		wait.For(ctx, retryBackoff) // Back off after a failure.
	}
	return nil
}

func (r *run) send(ctx context.Context, n *node, prefix string, repeat platformtest.Repeat) (platformtest.Response, bool) {
	ctx, cancel := context.WithTimeout(ctx, routeTimeout)
	defer cancel()
	id := r.newID("request")
	return r.sendRequest(ctx, n, request{body: "body of " + id, id: id, repeat: repeat, target: prefix + id + "?n=%2F"})
}

// sendPoison sends a request that crashes each server that runs it. Requests with the
// same number have the same content and different ids.
func (r *run) sendPoison(ctx context.Context, number int) {
	ctx, cancel := context.WithTimeout(ctx, routeTimeout)
	defer cancel()
	r.sendRequest(ctx, r.randomNode(), request{
		body: fmt.Sprint(platformtest.PoisonMarker, number), id: r.newID("poison"), repeat: platformtest.RepeatIdempotent,
		target: lookupPrefix + "poison",
	})
}

func (r *run) sendRequest(ctx context.Context, n *node, q request) (platformtest.Response, bool) {
	q.host, q.method, q.sent = n.index, http.MethodPost, time.Now()
	answer, err := r.caller.Send(ctx, n.settings.CallerAddress, q.method, q.target, q.id, []byte(q.body))
	q.answer, q.broken, q.ended = answer, err != nil, time.Now()
	r.recorder.update(func(records *records) { records.requests = append(records.requests, q) })
	return answer, err != nil
}

// probeConfig records the version of the configuration in force on a host: the newest
// whose route the host serves.
func (r *run) probeConfig(ctx context.Context, n *node) {
	for version := r.work.configVersion.Load(); version >= 1; version-- {
		p := configProbe{host: n.index, sent: time.Now(), started: time.Unix(0, n.started.Load()), version: version}
		answer, broken := r.send(ctx, n, versionPrefix(version), platformtest.RepeatIdempotent)
		switch {
		case broken || p.started != time.Unix(0, n.started.Load()):
			return
		case answer.Status == http.StatusNotFound:
			continue
		case answer.Status == http.StatusOK:
			r.recorder.update(func(records *records) { records.configProbes = append(records.configProbes, p) })
		}
		return
	}
	r.recorder.update(func(records *records) {
		records.configProbes = append(records.configProbes, configProbe{host: n.index, sent: time.Now(), started: time.Unix(0, n.started.Load())})
	})
}

func (r *run) changeConfig(ctx context.Context) error {
	if !wait.For(ctx, configInterval) {
		return nil
	}
	version := r.work.configVersion.Load() + 1
	if err := r.configure(version); err != nil {
		return err
	}
	r.recorder.update(func(records *records) {
		records.configChanges = append(records.configChanges, configChange{at: time.Now(), version: version})
	})
	r.work.configVersion.Store(version)
	return nil
}

// trainStep does one training step: it submits a batch and waits for its results. It then
// does one of three things at random: nothing, publish the next version of the weights
// and end the batch, or only end the batch.
func (r *run) trainStep(ctx context.Context) error {
	s := &submission{batch: r.newBatch(), refused: true}
	r.recorder.update(func(records *records) { records.submissions[s.batch.ID] = s })
	if !r.submit(ctx, s) {
		return nil
	}
	r.awaitGroups(ctx, s.batch)
	switch rand.IntN(3) {
	case 0:
		return nil // The batch is not ended, so that it runs to completion.
	case 1:
		version := r.work.weightVersion.Add(1)
		if err := platformtest.PublishVersion(&r.store, model, version); err != nil {
			return err
		}
	}
	r.endBatch(ctx, s)
	return nil
}

// submitOnce submits a batch without retry, so that some batches are only ever refused.
func (r *run) submitOnce(ctx context.Context) error {
	s := &submission{batch: r.newBatch(), refused: true}
	r.recorder.update(func(records *records) { records.submissions[s.batch.ID] = s })
	r.attempt(ctx, s)
	wait.For(ctx, submitOnceInterval) // The loop checks the context.
	return nil
}

func (r *run) newBatch() platformtest.Batch {
	b := platformtest.Batch{
		Groups: groupsWanted, ID: r.newID("batch"), MinVersion: max(1, r.work.weightVersion.Load()-1), Model: model, Prefix: batchPrefix,
	}
	scored := rand.IntN(2) == 0
	for group := range groupsPerBatch {
		for range itemsPerGroup {
			item := platformtest.Item{
				Body:  strconv.Itoa(minEvents + rand.IntN(maxEvents-minEvents)),
				Group: fmt.Sprintf("%s.%d", b.ID, group), ID: r.newID("item"),
			}
			if scored {
				id := r.newID("reward")
				item.Reward = &platformtest.Reward{Body: "body of " + id, ID: id, Target: lookupPrefix + id + "?score=%2F"}
			}
			b.Items = append(b.Items, item)
		}
	}
	return b
}

// submit sends the batch to random hosts until one accepts it or submitTimeout has
// passed. It reports whether the batch was accepted.
func (r *run) submit(ctx context.Context, s *submission) bool {
	for start := time.Now(); time.Since(start) < submitTimeout; {
		if r.attempt(ctx, s) {
			return true
		}
		wait.For(ctx, retryBackoff) // The loop has a time limit.
	}
	return false
}

// attempt sends the batch to a random host and reports whether it was accepted.
func (r *run) attempt(ctx context.Context, s *submission) bool {
	ctx, cancel := context.WithTimeout(ctx, attemptTimeout)
	defer cancel()
	answer, err := r.caller.Submit(ctx, r.randomNode().settings.CallerAddress, s.batch)
	accepted := err == nil && answer.Status == http.StatusAccepted
	r.recorder.update(func(*records) {
		s.refused = s.refused && err == nil && answer.NotRun()
		if accepted {
			s.accepted = time.Now()
		}
	})
	return accepted
}

// awaitGroups reads the results from the last position on until enough groups are
// complete, the list ends or stepTimeout has passed.
func (r *run) awaitGroups(ctx context.Context, b platformtest.Batch) {
	resultsByGroup := map[string]int{}
	position := 0
	for start := time.Now(); time.Since(start) < stepTimeout; {
		page, ok := r.readPage(ctx, r.randomNode(), b.ID, position, false)
		if !ok {
			wait.For(ctx, retryBackoff) // The loop has a time limit.
			continue
		}
		for _, result := range page.Results {
			index := slices.IndexFunc(b.Items, func(i platformtest.Item) bool { return i.ID == result.Item })
			if index >= 0 {
				resultsByGroup[b.Items[index].Group]++
			}
		}
		position = max(position, page.Next)
		complete := 0
		for _, n := range resultsByGroup {
			if n >= itemsPerGroup {
				complete++
			}
		}
		if complete >= b.Groups || position >= page.Total {
			return
		}
	}
}

func (r *run) readPage(ctx context.Context, n *node, batch string, position int, final bool) (platformtest.Page, bool) {
	ctx, cancel := context.WithTimeout(ctx, attemptTimeout)
	defer cancel()
	g := reading{batch: batch, final: final, host: n.index, sent: time.Now()}
	page, status, err := r.caller.ReadResults(ctx, n.settings.CallerAddress, batch, position)
	if err != nil {
		return page, false
	}
	g.page, g.status = page, status
	r.recorder.update(func(records *records) { records.readings = append(records.readings, g) })
	return page, status == http.StatusOK
}

// endBatch asks random hosts to end the batch until one confirms it or stepTimeout has
// passed.
func (r *run) endBatch(ctx context.Context, s *submission) {
	r.recorder.update(func(*records) { s.endSent = time.Now() })
	for start := time.Now(); time.Since(start) < stepTimeout; {
		attempt, cancel := context.WithTimeout(ctx, attemptTimeout)
		answer, err := r.caller.EndBatch(attempt, r.randomNode().settings.CallerAddress, s.batch.ID)
		cancel()
		if err == nil && answer.Status == http.StatusOK {
			r.recorder.update(func(*records) { s.endConfirmed = time.Now() })
			return
		}
		wait.For(ctx, retryBackoff) // The loop has a time limit.
	}
}

// readRandomBatch acts as a reader that isn't the trainer: it reads the results of a
// random accepted batch from their start, and the body of an item of a random accepted
// batch.
func (r *run) readRandomBatch(ctx context.Context) error {
	defer wait.For(ctx, readInterval)
	var ids []string
	r.recorder.update(func(records *records) {
		for id, s := range records.submissions {
			if !s.accepted.IsZero() {
				ids = append(ids, id)
			}
		}
	})
	if len(ids) > 0 {
		r.readPage(ctx, r.randomNode(), ids[rand.IntN(len(ids))], 0, false)
		r.checkBody(ctx, ids[rand.IntN(len(ids))])
	}
	return nil
}

// checkBody reads the body of an item of an open batch. A response other than 200 is
// recorded only if the item isn't listed afterwards and no end of the batch was sent.
func (r *run) checkBody(ctx context.Context, id string) {
	var s *submission
	r.recorder.update(func(records *records) { s = records.submissions[id] })
	item := s.batch.Items[len(s.batch.Items)-1-rand.IntN(itemsPerGroup)]
	n := r.randomNode()
	attempt, cancel := context.WithTimeout(ctx, attemptTimeout)
	answer, err := r.caller.ItemBody(attempt, n.settings.CallerAddress, id, item.ID)
	cancel()
	if err != nil || answer.NotRun() {
		return
	}
	if answer.Status != http.StatusOK {
		page, ok := r.readPage(ctx, n, id, 0, false)
		if !ok || slices.ContainsFunc(page.Results, func(r platformtest.Result) bool { return r.Item == item.ID }) {
			return
		}
	}
	r.recorder.update(func(records *records) {
		if s.endSent.IsZero() || answer.Status == http.StatusOK {
			records.bodies = append(records.bodies, bodyReading{batch: id, body: string(answer.Body), item: item.ID, status: answer.Status})
		}
	})
}

// readAllBatches reads the results of every accepted batch from their start at every
// host. A batch that was not ended is read until it is complete; of a batch that was
// ended, only the first page is read.
func (r *run) readAllBatches(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, finishTimeout)
	defer cancel()
	var group errgroup.Group
	for id, s := range r.recorder.submissions {
		if s.accepted.IsZero() {
			continue
		}
		group.Go(func() error {
			for _, n := range r.nodes {
				r.readBatch(ctx, n, id, s.endSent.IsZero())
			}
			return nil
		})
	}
	_ = group.Wait() // No reader returns an error; the checks count missing results.
}

func (r *run) readBatch(ctx context.Context, n *node, id string, untilComplete bool) {
	for position := 0; ctx.Err() == nil; {
		page, ok := r.readPage(ctx, n, id, position, true)
		if ok && (page.Next >= page.Total || !untilComplete) {
			return
		}
		if !ok {
			wait.For(ctx, retryBackoff) // The loop checks the context.
			continue
		}
		position = page.Next
	}
}
