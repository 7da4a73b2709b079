// Package spread measures how long an accepted document takes until it is in
// force on every entry host, with and without crashes.
package spread

import (
	"cmp"
	"context"
	"math/rand/v2"
	"slices"
	"sync/atomic"
	"time"

	"golang.org/x/sync/errgroup"

	"github.com/nutmegway/nutmegway/internal/external/hostlist"
	"github.com/nutmegway/nutmegway/internal/fleet/document"
	"github.com/nutmegway/nutmegway/internal/lab/fleet"
	"github.com/nutmegway/nutmegway/internal/lab/report"
	standinetcd "github.com/nutmegway/nutmegway/internal/standin/etcd"
)

const (
	zones = 5
	// limitFaultless and limitFaults are the promises.
	limitFaultless = 2 * time.Second
	limitFaults    = 11 * time.Second
	// killShare is the share of the nodes that is killed during an edit.
	killShare = 0.05
	// killsEvery is the number of edits between two rounds of kills.
	killsEvery = 5
	settle     = 2 * time.Second
	watchEvery = 2 * time.Millisecond
)

// Measure runs the edits. The fields are set before Run.
type Measure struct {
	Edits int
	Nodes int
	Seed  uint64
}

// run is one fleet under edits.
type run struct {
	editor   *fleet.Editor
	fleet    *fleet.Fleet
	random   *rand.Rand
	reverted atomic.Int64
	times    []float64
}

// Run measures the edits without crashes, then with them.
func (m Measure) Run(ctx context.Context) (*report.Report, error) {
	r := &report.Report{Name: "spread", XLabel: "seconds", YLabel: "share of nodes"}
	var all []float64
	reverted := int64(0)
	for _, kill := range []bool{false, true} {
		one, err := m.run(ctx, kill)
		if err != nil {
			return nil, err
		}
		name, limit := "without-kills", limitFaultless
		if kill {
			name, limit = "with-kills", limitFaults
		}
		slices.Sort(one.times)
		largest := one.times[len(one.times)-1]
		r.AddRow(
			report.Value{Key: "variant", Value: name},
			report.Value{Key: "nodes-in-one-process", Value: m.Nodes},
			report.Value{Key: "edits", Value: m.Edits},
			report.Value{Key: "p50-seconds", Value: one.times[len(one.times)/2]},
			report.Value{Key: "p99-seconds", Value: one.times[len(one.times)*99/100]},
			report.Value{Key: "max-seconds", Value: largest},
			report.Value{Key: "reverted", Value: one.reverted.Load()},
		)
		r.Requiref(largest <= limit.Seconds(), "a document took %.3f s %s", largest, name)
		r.Curves = append(r.Curves, report.Cumulative(name, one.times))
		all = append(all, one.times...)
		reverted += one.reverted.Load()
	}
	r.Requiref(reverted == 0, "%d nodes went back to an older document", reverted)
	slices.Sort(all)
	r.Add("p50-seconds", all[len(all)/2])
	r.Add("max-seconds", all[len(all)-1])
	r.Add("reverted", reverted)
	return r, nil
}

func (m Measure) run(ctx context.Context, kill bool) (*run, error) {
	store := &standinetcd.Server{Seed: m.Seed}
	if err := store.Listen(); err != nil {
		return nil, err
	}
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	one := &run{
		editor: fleet.NewEditor(store.Address()),
		fleet:  &fleet.Fleet{Nodes: m.Nodes, Store: store, Zones: zones},
		random: rand.New(rand.NewPCG(m.Seed, 1)),
	}
	defer one.editor.Close()
	var group errgroup.Group
	group.Go(func() error { return store.Run(ctx) })
	if err := one.fleet.Start(ctx); err != nil {
		return nil, err
	}
	group.Go(func() error { return one.watch(ctx) })
	err := one.edits(ctx, m.Edits, kill)
	one.fleet.Stop()
	cancel()
	if waited := group.Wait(); err == nil && ctx.Err() == nil {
		err = waited
	}
	return one, err
}

func (r *run) edits(ctx context.Context, count int, kill bool) error {
	sleep(ctx, settle)
	var killed []hostlist.Host
	for i := range count {
		if kill && i%killsEvery == 0 {
			for _, host := range killed {
				if _, err := r.fleet.Restart(ctx, host); err != nil {
					return err
				}
			}
			killed = r.kill()
		}
		revision, err := r.editor.Edit(ctx)
		if err != nil {
			return err
		}
		limited, cancel := context.WithTimeout(ctx, 2*limitFaults)
		needed, err := r.fleet.AwaitRevision(limited, time.Now(), revision)
		cancel()
		if err != nil {
			return err
		}
		for _, d := range needed {
			r.times = append(r.times, d.Seconds())
		}
	}
	return nil
}

// kill ends a share of the nodes at random moments around the next edit.
func (r *run) kill() []hostlist.Host {
	nodes := r.fleet.All()
	slices.SortFunc(nodes, func(a, b *fleet.Node) int { return cmp.Compare(a.Host.ID, b.Host.ID) })
	r.random.Shuffle(len(nodes), func(i, j int) { nodes[i], nodes[j] = nodes[j], nodes[i] })
	count := max(1, int(killShare*float64(len(nodes))))
	var hosts []hostlist.Host
	for _, n := range nodes[:count] {
		r.fleet.Kill(n.Host.ID)
		hosts = append(hosts, n.Host)
	}
	return hosts
}

// watch counts the nodes whose revision in force goes down.
func (r *run) watch(ctx context.Context) error {
	seen := make(map[*fleet.Node]int64)
	for sleep(ctx, watchEvery) {
		for _, n := range r.fleet.All() {
			revision := n.Documents.Revision(document.Key(fleet.Service))
			if revision < seen[n] {
				r.reverted.Add(1)
			}
			seen[n] = revision
		}
	}
	return nil
}

func sleep(ctx context.Context, d time.Duration) bool {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-timer.C:
		return true
	}
}
