package capacity

import (
	"context"
	"io"
	"log/slog"
	"runtime"
	"syscall"
	"time"

	"github.com/nutmegway/nutmegway/internal/lab/deployment"
	"github.com/nutmegway/nutmegway/internal/lab/report"
)

// The design size and its budgets. The budgets for peer traffic, processor and
// memory are per node, that for store calls is for all nodes.
const (
	designNodes               = 720
	designRequestsPerSecond   = 11_000
	designServers             = 2_200
	designTokensPerSecond     = 3_700_000
	budgetPeerBytesPerSecond  = 3 * 1024
	budgetCorePercent         = 4.6
	budgetMemoryMB            = 64
	budgetStoreCallsPerSecond = 2_000
)

const (
	megabyte = 1 << 20
	percent  = 100
)

// Capacity is one run of the capacity measure. The fields are set before Run.
type Capacity struct {
	// Duration is the time for which each size is measured.
	Duration time.Duration
	Logger   *slog.Logger
	// Progress receives one line for each measured size.
	Progress io.Writer
	// Settle is the time between the start of a deployment and its measurement.
	Settle time.Duration
}

// Run measures the cost of each role at several sizes.
func (c Capacity) Run(ctx context.Context) ([]Slope, error) {
	var slopes []Slope
	for _, measure := range []func(context.Context) ([]Slope, error){c.measureByNodes, c.measureByServers, c.measureByRequests, c.measureByTokens} {
		measured, err := measure(ctx)
		if err != nil {
			return nil, err
		}
		slopes = append(slopes, measured...)
	}
	return slopes, nil
}

// usage holds the resource counters of the process and its stand-ins at one time.
type usage struct {
	at         time.Time
	cpu        time.Duration
	hostReads  int64
	memory     uint64
	peerBytes  int64
	storeCalls int64
}

func measureUsage(d *deployment.Deployment) usage {
	u := usage{at: time.Now(), cpu: cpuTime(), hostReads: d.Hosts.Reads(), peerBytes: d.PeerBytes()}
	for _, calls := range d.Store.Calls() {
		u.storeCalls += calls
	}
	runtime.GC()
	var stats runtime.MemStats
	runtime.ReadMemStats(&stats)
	u.memory = stats.HeapAlloc + stats.StackInuse
	return u
}

// cpuTime returns the processor time of this process in user and system mode.
func cpuTime() time.Duration {
	var r syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &r); err != nil {
		return 0
	}
	return time.Duration(r.Utime.Nano() + r.Stime.Nano())
}

// series holds the measured points of each cost by the cost's name.
type series map[string][]report.Point

func (s series) add(cost string, size int, value float64) {
	s[cost] = append(s[cost], report.Point{X: float64(size), Y: value})
}

// measureWindow runs work on a new deployment and returns the usage before and after
// work.
func (c Capacity) measureWindow(ctx context.Context, shape deployment.Shape, work func(ctx context.Context, d *deployment.Deployment) error) (before, after usage, err error) {
	d := &deployment.Deployment{Logger: c.Logger, Shape: shape}
	err = d.Run(ctx, func(ctx context.Context) error {
		if err := sleep(ctx, c.Settle); err != nil {
			return err
		}
		before = measureUsage(d)
		if err := work(ctx, d); err != nil {
			return err
		}
		after = measureUsage(d)
		return nil
	})
	return before, after, err
}

func (c Capacity) waitIdle(ctx context.Context, _ *deployment.Deployment) error {
	return sleep(ctx, c.Duration)
}

func sleep(ctx context.Context, d time.Duration) error {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return ctx.Err()
	case <-timer.C:
		return nil
	}
}
