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

// reloadSignal tells a process that its settings file has changed.
const reloadSignal = syscall.SIGHUP

const (
	callerCount  = 16
	trainerCount = 3
	readerCount  = 2

	groupsPerBatch = 6
	itemsPerGroup  = 4
	// groupsWanted is how many groups a trainer waits for.
	groupsWanted = 5
	// Items have between fewestEvents and mostEvents.
	fewestEvents = 4
	mostEvents   = 40
	// stepLimit is how long a trainer waits for its groups, submitLimit how long it
	// tries to submit, and attemptLimit how long it waits for one answer.
	stepLimit    = 10 * time.Second
	submitLimit  = 8 * time.Second
	attemptLimit = 2500 * time.Millisecond
	retryPause   = 100 * time.Millisecond
	// editEvery is the time between two configurations, probeEvery between two
	// looks at a host and readEvery between two reads of other readers.
	editEvery  = 2500 * time.Millisecond
	probeEvery = 250 * time.Millisecond
	readEvery  = 100 * time.Millisecond
	// poisonEvery is the time between two repeats of a request that ends its servers.
	poisonEvery = 200 * time.Millisecond
	// tryEvery is the time between two batches that are sent to one host only.
	tryEvery = 400 * time.Millisecond
)

// workload is what callers, trainers and the operator share.
type workload struct {
	config    atomic.Int64
	ids       atomic.Int64
	mu        sync.Mutex
	storeBusy sync.Mutex
	version   atomic.Int64
}

func (r *run) startWork(busy context.Context, group *errgroup.Group) {
	r.work.config.Store(1)
	r.work.version.Store(1)
	repeat := func(step func(ctx context.Context) error) {
		group.Go(func() error {
			for busy.Err() == nil {
				if err := step(context.WithoutCancel(busy)); err != nil {
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
		repeat(r.train)
	}
	for range readerCount {
		repeat(r.read)
	}
	repeat(r.tryOnce)
	began := time.Now()
	repeat(func(ctx context.Context) error {
		r.poison(ctx, int(time.Since(began)/cycleTime))
		wait.For(busy, poisonEvery) // The loop sees the end.
		return nil
	})
	for _, n := range r.nodes {
		repeat(func(ctx context.Context) error {
			r.probe(ctx, n)
			wait.For(busy, probeEvery) // The loop sees the end.
			return nil
		})
	}
	repeat(func(context.Context) error { return r.edit(busy) })
}

func (r *run) newID(kind string) string { return fmt.Sprintf("%s-%d", kind, r.work.ids.Add(1)) }

func (r *run) anyNode() *node { return r.nodes[rand.IntN(len(r.nodes))] }

// call sends one request to some host, once.
func (r *run) call(ctx context.Context) error {
	prefix, repeat := freePrefix, platformtest.RepeatIdempotent
	if rand.IntN(2) == 0 {
		prefix, repeat = neverPrefix, platformtest.RepeatNever
	}
	answer, broken := r.send(ctx, r.anyNode(), prefix, repeat)
	if broken || answer.Status != http.StatusOK {
		wait.For(ctx, retryPause) // A caller that was refused doesn't come back at once.
	}
	return nil
}

func (r *run) send(ctx context.Context, n *node, prefix string, repeat platformtest.Repeat) (platformtest.Response, bool) {
	ctx, cancel := context.WithTimeout(ctx, routeTimeout)
	defer cancel()
	id := r.newID("request")
	return r.sendAs(ctx, n, request{body: "body of " + id, id: id, repeat: repeat, target: prefix + id + "?n=%2F"})
}

// poison repeats a request that ends each server which runs it, under a new id.
func (r *run) poison(ctx context.Context, number int) {
	ctx, cancel := context.WithTimeout(ctx, routeTimeout)
	defer cancel()
	r.sendAs(ctx, r.anyNode(), request{
		body: fmt.Sprint(platformtest.PoisonMarker, number), id: r.newID("poison"), repeat: platformtest.RepeatIdempotent,
		target: freePrefix + "poison",
	})
}

func (r *run) sendAs(ctx context.Context, n *node, q request) (platformtest.Response, bool) {
	q.host, q.method, q.sent = n.number, http.MethodPost, time.Now()
	answer, err := r.caller.Send(ctx, n.settings.CallerAddress, q.method, q.target, q.id, []byte(q.body))
	q.answer, q.broken, q.ended = answer, err != nil, time.Now()
	r.book.add(func(records *records) { records.requests = append(records.requests, q) })
	return answer, err != nil
}

// probe looks which configuration is in force on a host.
func (r *run) probe(ctx context.Context, n *node) {
	for version := r.work.config.Load(); version >= 1; version-- {
		p := probing{host: n.number, sent: time.Now(), started: time.Unix(0, n.started.Load()), version: version}
		answer, broken := r.send(ctx, n, versionPrefix(version), platformtest.RepeatIdempotent)
		switch {
		case broken || p.started != time.Unix(0, n.started.Load()):
			return
		case answer.Status == http.StatusNotFound:
			continue
		case answer.Status == http.StatusOK:
			r.book.add(func(records *records) { records.probings = append(records.probings, p) })
		}
		return
	}
	r.book.add(func(records *records) {
		records.probings = append(records.probings, probing{host: n.number, sent: time.Now(), started: time.Unix(0, n.started.Load())})
	})
}

func (r *run) edit(ctx context.Context) error {
	if !wait.For(ctx, editEvery) {
		return nil
	}
	version := r.work.config.Load() + 1
	if err := r.configure(version); err != nil {
		return err
	}
	r.book.add(func(records *records) { records.edits = append(records.edits, edit{at: time.Now(), version: version}) })
	r.work.config.Store(version)
	return nil
}

// train does one step: a batch, its results, mostly its end, and at times the
// next version of the weights.
func (r *run) train(ctx context.Context) error {
	s := &submission{batch: r.newBatch(), refused: true}
	r.book.add(func(records *records) { records.submissions[s.batch.ID] = s })
	if !r.submit(ctx, s) {
		return nil
	}
	r.await(ctx, s.batch)
	switch rand.IntN(3) {
	case 0:
		return nil // Nobody ends this batch: it runs to its end.
	case 1:
		version := r.work.version.Add(1)
		if err := platformtest.PublishVersion(&r.store, model, version); err != nil {
			return err
		}
	}
	r.end(ctx, s)
	return nil
}

// tryOnce submits a batch to one host only, so that some stay refused.
func (r *run) tryOnce(ctx context.Context) error {
	s := &submission{batch: r.newBatch(), refused: true}
	r.book.add(func(records *records) { records.submissions[s.batch.ID] = s })
	r.attempt(ctx, s)
	wait.For(ctx, tryEvery) // The loop sees the end.
	return nil
}

func (r *run) newBatch() platformtest.Batch {
	b := platformtest.Batch{
		Groups: groupsWanted, ID: r.newID("batch"), MinVersion: max(1, r.work.version.Load()-1), Model: model, Prefix: batchPrefix,
	}
	scored := rand.IntN(2) == 0
	for group := range groupsPerBatch {
		for range itemsPerGroup {
			item := platformtest.Item{
				Body:  strconv.Itoa(fewestEvents + rand.IntN(mostEvents-fewestEvents)),
				Group: fmt.Sprintf("%s.%d", b.ID, group), ID: r.newID("item"),
			}
			if scored {
				id := r.newID("reward")
				item.Reward = &platformtest.Reward{Body: "body of " + id, ID: id, Target: freePrefix + id + "?score=%2F"}
			}
			b.Items = append(b.Items, item)
		}
	}
	return b
}

// submit sends the batch to one host after the other until one accepts it.
func (r *run) submit(ctx context.Context, s *submission) bool {
	for began := time.Now(); time.Since(began) < submitLimit; {
		if r.attempt(ctx, s) {
			return true
		}
		wait.For(ctx, retryPause) // The time is bounded above.
	}
	return false
}

// attempt sends the batch to some host and reports whether it was accepted.
func (r *run) attempt(ctx context.Context, s *submission) bool {
	ctx, cancel := context.WithTimeout(ctx, attemptLimit)
	defer cancel()
	answer, err := r.caller.Submit(ctx, r.anyNode().settings.CallerAddress, s.batch)
	accepted := err == nil && answer.Status == http.StatusAccepted
	r.book.add(func(*records) {
		s.refused = s.refused && err == nil && answer.NotRun()
		if accepted {
			s.accepted = time.Now()
		}
	})
	return accepted
}

// await reads the results, mostly on from where it was, until enough groups are
// whole or the trainer gives up.
func (r *run) await(ctx context.Context, b platformtest.Batch) {
	listed := map[string]int{}
	position := 0
	for began := time.Now(); time.Since(began) < stepLimit; {
		page, ok := r.readPage(ctx, r.anyNode(), b.ID, position, false)
		if !ok {
			wait.For(ctx, retryPause) // The time is bounded above.
			continue
		}
		for _, result := range page.Results {
			group := slices.IndexFunc(b.Items, func(i platformtest.Item) bool { return i.ID == result.Item })
			if group >= 0 {
				listed[b.Items[group].Group]++
			}
		}
		position = max(position, page.Next)
		whole := 0
		for _, n := range listed {
			if n >= itemsPerGroup {
				whole++
			}
		}
		if whole >= b.Groups || position >= page.Total {
			return
		}
	}
}

func (r *run) readPage(ctx context.Context, n *node, batch string, position int, final bool) (platformtest.Page, bool) {
	ctx, cancel := context.WithTimeout(ctx, attemptLimit)
	defer cancel()
	g := reading{batch: batch, final: final, host: n.number, sent: time.Now()}
	page, status, err := r.caller.ReadResults(ctx, n.settings.CallerAddress, batch, position)
	if err != nil {
		return page, false
	}
	g.page, g.status = page, status
	r.book.add(func(records *records) { records.readings = append(records.readings, g) })
	return page, status == http.StatusOK
}

// end sends the end of a batch until a host confirms it, or the step's time is up.
func (r *run) end(ctx context.Context, s *submission) {
	r.book.add(func(*records) { s.ending = time.Now() })
	for began := time.Now(); time.Since(began) < stepLimit; {
		attempt, cancel := context.WithTimeout(ctx, attemptLimit)
		answer, err := r.caller.EndBatch(attempt, r.anyNode().settings.CallerAddress, s.batch.ID)
		cancel()
		if err == nil && answer.Status == http.StatusOK {
			r.book.add(func(*records) { s.ended = time.Now() })
			return
		}
		wait.For(ctx, retryPause) // The time is bounded above.
	}
}

// read is another reader: some batch, from its start, at some host.
func (r *run) read(ctx context.Context) error {
	defer wait.For(ctx, readEvery)
	var ids []string
	r.book.add(func(records *records) {
		for id, s := range records.submissions {
			if !s.accepted.IsZero() {
				ids = append(ids, id)
			}
		}
	})
	if len(ids) > 0 {
		r.readPage(ctx, r.anyNode(), ids[rand.IntN(len(ids))], 0, false)
		r.checkBody(ctx, ids[rand.IntN(len(ids))])
	}
	return nil
}

// checkBody asks for the body of an item of an open batch. An answer counts if
// the item isn't listed afterwards and nobody ends the batch.
func (r *run) checkBody(ctx context.Context, id string) {
	var s *submission
	r.book.add(func(records *records) { s = records.submissions[id] })
	item := s.batch.Items[len(s.batch.Items)-1-rand.IntN(itemsPerGroup)]
	n := r.anyNode()
	attempt, cancel := context.WithTimeout(ctx, attemptLimit)
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
	r.book.add(func(records *records) {
		if s.ending.IsZero() || answer.Status == http.StatusOK {
			records.bodies = append(records.bodies, bodyReading{batch: id, body: string(answer.Body), item: item.ID, status: answer.Status})
		}
	})
}

// finish reads every accepted batch from its start at every host: those that
// nobody ended until they are whole.
func (r *run) finish(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, finishLimit)
	defer cancel()
	var group errgroup.Group
	for id, s := range r.book.submissions {
		if s.accepted.IsZero() {
			continue
		}
		group.Go(func() error {
			for _, n := range r.nodes {
				r.readWhole(ctx, n, id, s.ending.IsZero())
			}
			return nil
		})
	}
	_ = group.Wait() // No reader returns an error; the judge counts what is missing.
}

func (r *run) readWhole(ctx context.Context, n *node, id string, untilWhole bool) {
	for position := 0; ctx.Err() == nil; {
		page, ok := r.readPage(ctx, n, id, position, true)
		if ok && (page.Next >= page.Total || !untilWhole) {
			return
		}
		if !ok {
			wait.For(ctx, retryPause) // The loop sees the end.
			continue
		}
		position = page.Next
	}
}
