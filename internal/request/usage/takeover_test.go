package usage_test

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"maps"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
	"golang.org/x/sync/errgroup"

	"github.com/nutmegway/nutmegway/internal/base/kind"
	"github.com/nutmegway/nutmegway/internal/base/wait"
	"github.com/nutmegway/nutmegway/internal/external/kv"
	"github.com/nutmegway/nutmegway/internal/fleet/duty"
	"github.com/nutmegway/nutmegway/internal/fleet/mirror"
	"github.com/nutmegway/nutmegway/internal/fleet/roster"
	"github.com/nutmegway/nutmegway/internal/request/usage"
	"github.com/nutmegway/nutmegway/internal/standin/kvmemory"
)

const (
	usageDelay = 10 * time.Second
	spacing    = 3 * time.Second
	// requestInterval is the time between two requests of one host.
	requestInterval = 100 * time.Millisecond
)

var errDead = errors.New("the host is dead")

// fleet is a few hosts that count requests, with a store and a platform.
type fleet struct {
	store kvmemory.Store
	hosts map[string]*host

	mu sync.Mutex
	// idle is set while no requests come.
	idle bool
	// answer returns the error of a report and whether it has an effect.
	answer func(window int64) (err error, effective bool)
	// reports holds the counts of each window as the platform has them, and when they came.
	reports  map[int64]map[string]int64
	reportAt map[int64]time.Time
	// broken says how a report differs from an earlier one of the same window.
	broken string
	// truth are the requests by window.
	truth usage.Counts
}

// host is one host of a fleet.
type host struct {
	kv.Store

	dead     bool
	fleet    *fleet
	holder   *duty.Holder
	id       string
	recorder *usage.Recorder
	sender   *usage.Sender
	stop     context.CancelFunc
}

func (h *host) isDead() bool {
	h.fleet.mu.Lock()
	defer h.fleet.mu.Unlock()
	return h.dead
}

// kill ends the host without any farewell.
func (h *host) kill() {
	h.fleet.mu.Lock()
	h.dead = true
	h.fleet.mu.Unlock()
	h.stop()
}

func (h *host) Commit(ctx context.Context, txn kv.Txn) (kv.TxnResult, error) {
	if h.isDead() {
		return kv.TxnResult{}, kind.Wrap(kind.StoreUnavailable, errDead)
	}
	return h.Store.Commit(ctx, txn)
}

func (h *host) KeepAlive(ctx context.Context, id kv.LeaseID) (time.Duration, error) {
	if h.isDead() {
		return 0, kind.Wrap(kind.StoreUnavailable, errDead)
	}
	return h.Store.KeepAlive(ctx, id)
}

func (h *host) RevokeLease(ctx context.Context, id kv.LeaseID) error {
	if h.isDead() {
		return kind.Wrap(kind.StoreUnavailable, errDead)
	}
	return h.Store.RevokeLease(ctx, id)
}

// Report implements usage.Link.
func (h *host) Report(_ context.Context, address string, report usage.Report) (usage.Reply, error) {
	other := h.fleet.hosts[address]
	if h.isDead() || other.isDead() {
		return usage.Reply{}, errDead
	}
	return other.sender.Receive(report), nil
}

// ReportUsage implements duty.Platform.
func (h *host) ReportUsage(ctx context.Context, term duty.Term, window int64, counts map[string]int64) error {
	return h.holder.Call(ctx, term, func(context.Context) error {
		f := h.fleet
		f.mu.Lock()
		defer f.mu.Unlock()
		err, effective := error(nil), true
		if f.answer != nil {
			err, effective = f.answer(window)
		}
		if !effective {
			return err
		}
		if before, ok := f.reports[window]; ok && !maps.Equal(before, counts) {
			f.broken = fmt.Sprintf("window %d: reported %v, then %v", window, before, counts)
		}
		if _, ok := f.reports[window]; !ok {
			f.reports[window], f.reportAt[window] = counts, time.Now()
		}
		return err
	})
}

// OrderServers implements duty.Platform.
func (*host) OrderServers(context.Context, duty.Term, duty.ServerOrder) error { return nil }

func newFleet(ctx context.Context, group *errgroup.Group, ids ...string) *fleet {
	f := &fleet{
		hosts: make(map[string]*host), reports: make(map[int64]map[string]int64), reportAt: make(map[int64]time.Time), truth: make(usage.Counts),
	}
	for _, id := range ids {
		f.hosts[id] = &host{Store: &f.store, fleet: f, id: id}
	}
	for _, h := range f.hosts {
		h.start(ctx, group, ids)
	}
	return f
}

func (h *host) start(ctx context.Context, group *errgroup.Group, ids []string) {
	ctx, h.stop = context.WithCancel(ctx)
	logger := slog.New(slog.DiscardHandler)
	h.holder = &duty.Holder{Candidates: func() []string { return ids }, Logger: logger, Self: h.id, Spacing: spacing, Store: h}
	live := &mirror.Mirror{Logger: logger, OnChange: h.holder.Apply, Prefix: mirror.LivePrefix, Store: &h.fleet.store}
	clock, collector := &usage.Clock{}, &usage.Collector{}
	h.recorder = &usage.Recorder{Clock: clock, Windows: windows}
	h.sender = &usage.Sender{
		Clock: clock, Collector: collector, Duties: h.holder, Link: h, Logger: logger, Recorder: h.recorder, Incarnation: h.id, Self: h.id,
		Host: func(id string) (roster.Host, bool) {
			return roster.Host{ID: id, Incarnation: id, PeerAddress: id}, true
		},
	}
	reporter := &usage.Reporter{
		Clock: clock, Collector: collector, Delay: usageDelay, Holder: h.holder, Logger: logger, Platform: h, Store: h, Windows: windows,
	}
	for _, run := range []func(context.Context) error{live.Run, h.holder.Run, h.sender.Run, reporter.Run, h.serve} {
		group.Go(func() error { return run(ctx) })
	}
}

// serve counts requests until ctx ends.
func (h *host) serve(ctx context.Context) error {
	for wait.For(ctx, requestInterval) {
		h.fleet.mu.Lock()
		idle := h.fleet.idle
		if !idle {
			h.fleet.truth.Add(windows.At(time.Now()), "account", 1)
		}
		h.fleet.mu.Unlock()
		if !idle {
			h.recorder.Began("account", time.Now())
		}
	}
	return nil
}

// holding returns the host that holds the duties.
func (f *fleet) holding() *host {
	for _, h := range f.hosts {
		if _, ok := h.holder.Term(); ok && !h.isDead() {
			return h
		}
	}
	return nil
}

func (f *fleet) setAnswer(answer func(window int64) (err error, effective bool)) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.answer = answer
}

// check returns what is wrong with the reports of the windows that are due. lost is the number
// of requests that may be missing in all.
func (f *fleet) check(lost int64) string {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.broken != "" {
		return f.broken
	}
	var missing int64
	for window, counts := range f.truth {
		due := windows.End(window).Add(usageDelay)
		at, ok := f.reportAt[window]
		if time.Now().Before(due) {
			continue
		}
		if !ok || at.After(due) {
			return fmt.Sprintf("window %d isn't reported in time", window)
		}
		missing += counts["account"] - f.reports[window]["account"]
		if f.reports[window]["account"] > counts["account"] {
			return fmt.Sprintf("window %d: reported %d, want %d", window, f.reports[window]["account"], counts["account"])
		}
	}
	if missing > lost {
		return fmt.Sprintf("%d requests are missing, want at most %d", missing, lost)
	}
	return ""
}

// sleepUntilAfterWindow sleeps until d after the end of the present window.
func sleepUntilAfterWindow(d time.Duration) {
	time.Sleep(time.Until(windows.End(windows.At(time.Now())).Add(d)))
}

// TestReportsUnderTakeover ends the holder at each step of closing and reporting a window, and
// disturbs the platform and the store. Each window is reported in time and always with the
// same counts.
func TestReportsUnderTakeover(t *testing.T) {
	// second is what one host counts between two reports to the holder.
	const second = int64(time.Second / requestInterval)
	unavailable := kind.New(kind.Unavailable, "down")
	cases := map[string]struct {
		// fail is called 15 s after the start, at the end of a window.
		fail func(f *fleet)
		// lost bounds the requests that may be missing.
		lost int64
	}{
		"nothing fails": {fail: func(*fleet) {}},
		"holder dies within a window": {fail: func(f *fleet) {
			sleepUntilAfterWindow(3 * time.Second)
			f.holding().kill()
		}, lost: second + 1},
		"holder dies before it closes a window": {fail: func(f *fleet) {
			sleepUntilAfterWindow(1900 * time.Millisecond)
			f.holding().kill()
		}, lost: second + 1},
		"holder dies between closing and reporting": {fail: func(f *fleet) {
			sleepUntilAfterWindow(1900 * time.Millisecond)
			f.setAnswer(func(int64) (error, bool) { return unavailable, false })
			time.Sleep(600 * time.Millisecond)
			f.holding().kill()
			f.setAnswer(nil)
		}, lost: second + 1},
		"holder dies in the call": {fail: func(f *fleet) {
			var killed bool
			f.setAnswer(func(int64) (error, bool) {
				if !killed {
					killed = true
					for _, h := range f.hosts {
						if _, ok := h.holder.Term(); ok {
							h.dead = true
							h.stop()
						}
					}
				}
				return kind.New(kind.OutcomeUnknown, "reset"), true
			})
			sleepUntilAfterWindow(4 * time.Second)
			f.setAnswer(nil)
		}, lost: second + 1},
		"holder dies after an answer that was lost": {fail: func(f *fleet) {
			f.setAnswer(func(int64) (error, bool) { return kind.New(kind.OutcomeUnknown, "reset"), true })
			sleepUntilAfterWindow(2800 * time.Millisecond)
			f.holding().kill()
			f.setAnswer(nil)
		}, lost: second + 1},
		"holder dies after the last request": {fail: func(f *fleet) {
			time.Sleep(2 * time.Second)
			f.mu.Lock()
			f.idle = true
			f.mu.Unlock()
			time.Sleep(1500 * time.Millisecond)
			f.holding().kill()
		}},
		"holder leaves": {fail: func(f *fleet) {
			sleepUntilAfterWindow(time.Second)
			h := f.holding()
			h.stop()
			time.Sleep(time.Second)
			h.sender.Flush(context.Background())
		}},
		"other host leaves": {fail: func(f *fleet) {
			for _, h := range f.hosts {
				if h != f.holding() {
					h.stop()
					synctest.Wait()
					h.sender.Flush(context.Background())
					return
				}
			}
		}},
		"other host dies": {fail: func(f *fleet) {
			for _, h := range f.hosts {
				if h != f.holding() {
					h.kill()
					return
				}
			}
		}, lost: second + 1},
		"platform is down": {fail: func(f *fleet) {
			f.setAnswer(func(int64) (error, bool) { return unavailable, false })
			time.Sleep(6 * time.Second)
			f.setAnswer(nil)
		}},
		"platform limits": {fail: func(f *fleet) {
			var calls int
			f.setAnswer(func(int64) (error, bool) {
				calls++
				if calls%3 != 0 {
					return kind.New(kind.Overloaded, "limited"), false
				}
				return nil, true
			})
		}},
		"answers of the store are lost": {fail: func(f *fleet) {
			f.store.Inject(func(method string) kvmemory.Fault {
				if method == "commit" {
					return kvmemory.FaultReplyLost
				}
				return kvmemory.FaultNone
			})
			time.Sleep(4 * time.Second)
			f.store.Inject(nil)
		}},
		"store carries writes out late": {fail: func(f *fleet) {
			f.store.Inject(func(method string) kvmemory.Fault {
				if method == "commit" {
					return kvmemory.FaultDelayedCommit
				}
				return kvmemory.FaultNone
			})
			sleepUntilAfterWindow(2500 * time.Millisecond)
			f.store.Inject(nil)
			time.Sleep(600 * time.Millisecond)
			f.store.CommitDelayed()
		}},
		"store is down": {fail: func(f *fleet) {
			f.store.Inject(func(string) kvmemory.Fault { return kvmemory.FaultRefused })
			time.Sleep(3 * time.Second)
			f.store.Inject(nil)
		}},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				ctx, cancel := context.WithCancel(t.Context())
				var group errgroup.Group
				f := newFleet(ctx, &group, "a", "b", "c", "d")
				time.Sleep(15 * time.Second)
				c.fail(f)
				time.Sleep(30 * time.Second)
				is.Equal(f.check(c.lost), "")
				cancel()
				_ = group.Wait()
			})
		})
	}
}
