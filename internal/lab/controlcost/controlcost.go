// Package controlcost measures the control-plane cost of the entry hosts
// (membership, documents and the server directory) and extrapolates it to the design
// size.
package controlcost

import (
	"context"
	"runtime"
	"syscall"
	"time"

	"golang.org/x/sync/errgroup"

	"github.com/nutmegway/nutmegway/internal/fleet/spread"
	"github.com/nutmegway/nutmegway/internal/lab/capacity"
	"github.com/nutmegway/nutmegway/internal/lab/fleet"
	"github.com/nutmegway/nutmegway/internal/lab/report"
	standinetcd "github.com/nutmegway/nutmegway/internal/standin/etcd"
)

// The design size and its budgets. The budget for store calls is for all nodes,
// the others are per node.
const (
	designNodes   = 720
	designServers = 2200
	zones         = 5

	budgetPeerBytesPerSecond  = 3000
	budgetCorePercent         = 4.6
	budgetMemoryMB            = 64
	budgetStoreCallsPerSecond = 200
)

const (
	// editInterval is the time between two edits. The design has 2,100 edits a day,
	// one in 41 s, so the measured cost of distributing documents is higher than that at
	// the design rate.
	editInterval = 4 * time.Second
	megabyte     = 1 << 20
	percent      = 100
	settleTime   = 4 * time.Second
	measureTime  = 8 * time.Second
)

// Measure runs fleets of several sizes. The fields are set before Run.
type Measure struct {
	// Sizes are the measured numbers of nodes. All nodes run in one process.
	Sizes []int
	// JustStarted measures the nodes in the first seconds after their start, as after
	// the restart of a whole availability zone.
	JustStarted bool
}

// cost holds the costs of one size: store calls a second of all nodes, and the other
// values per node.
type cost struct {
	bytesPerSecond float64
	corePercent    float64
	memoryMB       float64
	storeCalls     float64
}

// Run measures each size and fits a line to each cost.
func (m Measure) Run(ctx context.Context) (*report.Report, error) {
	r := &report.Report{Name: "control-cost", XLabel: "nodes", YLabel: "bytes per second and node"}
	points := make(map[string][]report.Point)
	for _, nodes := range m.Sizes {
		c, err := m.measure(ctx, nodes)
		if err != nil {
			return nil, err
		}
		r.AddRow(
			report.Value{Key: "nodes-in-one-process", Value: nodes},
			report.Value{Key: "servers", Value: designServers},
			report.Value{Key: "bytes-per-second", Value: c.bytesPerSecond},
			report.Value{Key: "memory-mb", Value: c.memoryMB},
			report.Value{Key: "core-percent", Value: c.corePercent},
			report.Value{Key: "store-calls-per-second", Value: c.storeCalls},
		)
		for key, value := range map[string]float64{
			"bytes-per-second": c.bytesPerSecond, "core-percent": c.corePercent, "memory-mb": c.memoryMB, "store-calls": c.storeCalls,
		} {
			points[key] = append(points[key], report.Point{X: float64(nodes), Y: value})
		}
	}
	r.Curves = append(r.Curves, report.Curve{Name: "bytes", Points: points["bytes-per-second"]})
	for _, line := range []struct {
		budget float64
		key    string
	}{
		{budget: budgetPeerBytesPerSecond, key: "bytes-per-second"},
		{budget: budgetMemoryMB, key: "memory-mb"},
		{budget: budgetCorePercent, key: "core-percent"},
		{budget: budgetStoreCallsPerSecond, key: "store-calls"},
	} {
		fit := capacity.Linear(points[line.key])
		atSize := fit.At(designNodes)
		r.AddRow(
			report.Value{Key: "fit", Value: line.key},
			report.Value{Key: "base", Value: fit.Base},
			report.Value{Key: "slope-per-node", Value: fit.Slope},
			report.Value{Key: "residual", Value: fit.Residual},
			report.Value{Key: "budget", Value: line.budget},
		)
		r.Add(line.key+"-at-size", atSize)
		r.Requiref(atSize <= line.budget, "%s extrapolates to %.1f at %d nodes, the budget is %.1f", line.key, atSize, designNodes, line.budget)
	}
	return r, nil
}

// measure runs a fleet for measureTime while documents are edited.
func (m Measure) measure(ctx context.Context, nodes int) (cost, error) {
	store := &standinetcd.Server{}
	if err := store.Listen(); err != nil {
		return cost{}, err
	}
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	var group errgroup.Group
	group.Go(func() error { return store.Run(ctx) })
	editor := fleet.NewEditor(store.Address())
	defer editor.Close()
	heapBefore := memoryInUse()
	config := spread.DefaultConfig()
	if !m.JustStarted {
		config.StartupTime = settleTime / 2
	}
	f := &fleet.Fleet{Nodes: nodes, Servers: designServers, Spread: config, Store: store, Zones: zones}
	if err := f.Start(ctx); err != nil {
		return cost{}, err
	}
	defer f.Stop()
	time.Sleep(settleTime)
	sentBefore, callsBefore, cpuBefore, started := f.SentBytes(), totalCalls(store), cpuTime(), time.Now()
	for time.Since(started) < measureTime {
		if _, err := editor.Edit(ctx); err != nil {
			return cost{}, err
		}
		time.Sleep(editInterval)
	}
	seconds, perNode := time.Since(started).Seconds(), float64(nodes)
	c := cost{
		bytesPerSecond: float64(f.SentBytes()-sentBefore) / seconds / perNode,
		corePercent:    percent * (cpuTime() - cpuBefore).Seconds() / seconds / perNode,
		// This includes the calls of the editor.
		storeCalls: float64(totalCalls(store)-callsBefore) / seconds,
	}
	c.memoryMB = float64(memoryInUse()-heapBefore) / megabyte / perNode
	return c, nil
}

func totalCalls(store *standinetcd.Server) int64 {
	var total int64
	for _, n := range store.Calls() {
		total += n
	}
	return total
}

func memoryInUse() int64 {
	runtime.GC()
	var stats runtime.MemStats
	runtime.ReadMemStats(&stats)
	return int64(stats.HeapInuse + stats.StackInuse)
}

// cpuTime returns the processor time of this process in user and system mode.
func cpuTime() time.Duration {
	var usage syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &usage); err != nil {
		return 0
	}
	return time.Duration(usage.Utime.Nano() + usage.Stime.Nano())
}
