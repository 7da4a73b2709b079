// Package load runs an operation repeatedly in concurrent workers and records the
// latencies.
package load

import (
	"context"
	"slices"
	"time"

	"golang.org/x/sync/errgroup"
)

// Result holds the outcomes of a run.
type Result struct {
	// Errors are the errors of the failed operations.
	Errors []error
	// Failed counts the operations that returned an error.
	Failed int
	// Latencies are the latencies of the successful operations, sorted.
	Latencies []time.Duration
	// Elapsed is the duration of the run.
	Elapsed time.Duration
}

// Run repeats operation in concurrent workers for the duration, or until ctx ends.
// It waits for operations that have begun.
func Run(ctx context.Context, workers int, duration time.Duration, operation func(ctx context.Context, worker int) error) Result {
	results := make([]Result, workers)
	var group errgroup.Group
	start := time.Now()
	for worker := range workers {
		group.Go(func() error {
			r := &results[worker]
			for ctx.Err() == nil && time.Since(start) < duration {
				begin := time.Now()
				if err := operation(ctx, worker); err != nil {
					r.Failed++
					r.Errors = append(r.Errors, err)
					continue
				}
				r.Latencies = append(r.Latencies, time.Since(begin))
			}
			return nil
		})
	}
	_ = group.Wait() // The workers return no error.
	total := Result{Elapsed: time.Since(start)}
	for _, r := range results {
		total.Failed += r.Failed
		total.Errors = append(total.Errors, r.Errors...)
		total.Latencies = append(total.Latencies, r.Latencies...)
	}
	slices.Sort(total.Latencies)
	return total
}

// PerSecond returns the rate of successful operations.
func (r Result) PerSecond() float64 { return float64(len(r.Latencies)) / r.Elapsed.Seconds() }

// Quantile returns the latency within which the share q of the successful operations
// stayed.
func (r Result) Quantile(q float64) time.Duration {
	if len(r.Latencies) == 0 {
		return 0
	}
	return r.Latencies[min(int(q*float64(len(r.Latencies))), len(r.Latencies)-1)]
}

// QuantileMilliseconds returns the quantile q of the latencies in milliseconds.
func (r Result) QuantileMilliseconds(q float64) float64 {
	return float64(r.Quantile(q)) / float64(time.Millisecond)
}

// LatencyMilliseconds returns all latencies in milliseconds.
func (r Result) LatencyMilliseconds() []float64 {
	all := make([]float64, len(r.Latencies))
	for i, t := range r.Latencies {
		all[i] = float64(t) / float64(time.Millisecond)
	}
	return all
}

// Merge returns the result of two runs that ran one after the other.
func (r Result) Merge(other Result) Result {
	joined := Result{Failed: r.Failed + other.Failed, Errors: slices.Concat(r.Errors, other.Errors), Latencies: slices.Concat(r.Latencies, other.Latencies), Elapsed: r.Elapsed + other.Elapsed}
	slices.Sort(joined.Latencies)
	return joined
}
