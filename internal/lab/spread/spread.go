// Package spread measures the time until an accepted document is in force on every
// entry host, with and without crashes.
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
	// limitWithoutKills and limitWithKills bound the time until an edit is in force on
	// all running nodes, without and with crashes.
	limitWithoutKills = 2 * time.Second
	limitWithKills    = 11 * time.Second
	// killShare is the share of the nodes that is killed before an edit.
	killShare = 0.05
	// editsPerKill is the number of edits between two rounds of kills.
	editsPerKill  = 5
	settleTime    = 2 * time.Second
	watchInterval = 2 * time.Millisecond
)

// Measure is one run. The fields are set before Run.
type Measure struct {
	Edits int
	Nodes int
	Seed  uint64
}

// run is the state of one fleet whose document is edited.
type run struct {
	editor            *fleet.Editor
	fleet             *fleet.Fleet
	random            *rand.Rand
	revisionDecreases atomic.Int64
	durations         []float64
}

// Run measures edits first without and then with crashes.
func (m Measure) Run(ctx context.Context) (*report.Report, error) {
	r := &report.Report{Name: "spread", XLabel: "seconds", YLabel: "share of nodes"}
	var all []float64
	reverted := int64(0)
	for _, kill := range []bool{false, true} {
		state, err := m.run(ctx, kill)
		if err != nil {
			return nil, err
		}
		name, limit := "without-kills", limitWithoutKills
		if kill {
			name, limit = "with-kills", limitWithKills
		}
		slices.Sort(state.durations)
		largest := state.durations[len(state.durations)-1]
		r.AddRow(
			report.Value{Key: "variant", Value: name},
			report.Value{Key: "nodes-in-one-process", Value: m.Nodes},
			report.Value{Key: "edits", Value: m.Edits},
			report.Value{Key: "p50-seconds", Value: state.durations[len(state.durations)/2]},
			report.Value{Key: "p99-seconds", Value: state.durations[len(state.durations)*99/100]},
			report.Value{Key: "max-seconds", Value: largest},
			report.Value{Key: "reverted", Value: state.revisionDecreases.Load()},
		)
		r.Requiref(largest <= limit.Seconds(), "the slowest document took %.3f s (%s), want at most %s", largest, name, limit)
		r.Curves = append(r.Curves, report.Cumulative(name, state.durations))
		all = append(all, state.durations...)
		reverted += state.revisionDecreases.Load()
	}
	r.Requiref(reverted == 0, "nodes went back to an older document %d times, want 0", reverted)
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
	state := &run{
		editor: fleet.NewEditor(store.Address()),
		fleet:  &fleet.Fleet{Nodes: m.Nodes, Store: store, Zones: zones},
		random: rand.New(rand.NewPCG(m.Seed, 1)),
	}
	defer state.editor.Close()
	var group errgroup.Group
	group.Go(func() error { return store.Run(ctx) })
	if err := state.fleet.Start(ctx); err != nil {
		return nil, err
	}
	group.Go(func() error { return state.watchRevisions(ctx) })
	err := state.runEdits(ctx, m.Edits, kill)
	state.fleet.Stop()
	cancel()
	if waitErr := group.Wait(); err == nil && ctx.Err() == nil {
		err = waitErr
	}
	return state, err
}

func (r *run) runEdits(ctx context.Context, count int, kill bool) error {
	sleep(ctx, settleTime)
	var killed []hostlist.Host
	for i := range count {
		if kill && i%editsPerKill == 0 {
			for _, host := range killed {
				if _, err := r.fleet.Restart(ctx, host); err != nil {
					return err
				}
			}
			killed = r.killNodes()
		}
		revision, err := r.editor.Edit(ctx)
		if err != nil {
			return err
		}
		limited, cancel := context.WithTimeout(ctx, 2*limitWithKills)
		needed, err := r.fleet.AwaitRevision(limited, time.Now(), revision)
		cancel()
		if err != nil {
			return err
		}
		for _, d := range needed {
			r.durations = append(r.durations, d.Seconds())
		}
	}
	return nil
}

// killNodes kills killShare of the nodes, chosen at random, and returns their hosts.
func (r *run) killNodes() []hostlist.Host {
	nodes := r.fleet.RunningNodes()
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

// watchRevisions counts how often the revision in force on a node decreases.
func (r *run) watchRevisions(ctx context.Context) error {
	seen := make(map[*fleet.Node]int64)
	for sleep(ctx, watchInterval) {
		for _, n := range r.fleet.RunningNodes() {
			revision := n.Documents.Revision(document.Key(fleet.Service))
			if revision < seen[n] {
				r.revisionDecreases.Add(1)
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
