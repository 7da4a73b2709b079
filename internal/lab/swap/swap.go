// Package swap measures the time until all engines of a service serve a published
// weight version, and whether the service keeps its capacity floor meanwhile.
package swap

import (
	"context"
	"fmt"
	"math"
	"net/http"
	"slices"
	"strings"
	"time"

	"github.com/nutmegway/nutmegway/internal/backend/engine"
	"github.com/nutmegway/nutmegway/internal/base/httperror"
	"github.com/nutmegway/nutmegway/internal/base/kind"
	"github.com/nutmegway/nutmegway/internal/external/weightstore"
	"github.com/nutmegway/nutmegway/internal/lab/deployment"
	"github.com/nutmegway/nutmegway/internal/lab/report"
	standinengine "github.com/nutmegway/nutmegway/internal/standin/engine"
	standinweights "github.com/nutmegway/nutmegway/internal/standin/weightstore"
)

const (
	// capacityFloor is the share of engines that must keep serving during a swap,
	// as in the deployment's document.
	capacityFloor = 0.5
	// fetchRate, in fetches a second, and fetchBurst limit the weight store.
	fetchRate  = 100
	fetchBurst = 50
	// swapTime is the time that an engine takes to load a version after its fetch.
	swapTime   = 500 * time.Millisecond
	swapTarget = 11 * time.Second
	// warmUpVersion is the version whose swap is not measured.
	warmUpVersion = 2
	// measuredVersions is the number of measured swaps for each size.
	measuredVersions = 3
	pollInterval     = 10 * time.Millisecond
)

// Measure is one run. The fields are set before Run.
type Measure struct {
	Seed uint64
	// Sizes are the measured sizes, in numbers of engines.
	Sizes []int
}

// outcome holds the values measured for one size.
type outcome struct {
	floorKept     bool
	storeRefusals int64
	orders        int
	took          time.Duration
}

// Run measures the swaps of versions for each size of a service.
func (m Measure) Run(ctx context.Context) (*report.Report, error) {
	r := &report.Report{Name: "swap", XLabel: "servers", YLabel: "seconds"}
	var worst time.Duration
	kept := true
	var xs, ys []float64
	for _, size := range m.Sizes {
		o, err := m.measureSize(ctx, size)
		if err != nil {
			return nil, err
		}
		r.AddRow(
			report.Value{Key: "servers", Value: size},
			report.Value{Key: "seconds", Value: o.took.Seconds()},
			report.Value{Key: "floor-kept", Value: o.floorKept},
			report.Value{Key: "orders-per-swap", Value: float64(o.orders) / float64(measuredVersions+1)},
			report.Value{Key: "store-refusals", Value: o.storeRefusals},
		)
		worst = max(worst, o.took)
		kept = kept && o.floorKept
		xs, ys = append(xs, float64(size)), append(ys, o.took.Seconds())
	}
	r.Add("max-seconds", worst.Seconds())
	r.Add("floor-kept", kept)
	r.Add("slope-ms-per-server", slope(xs, ys)*1000)
	r.Requiref(worst <= swapTarget, "the slowest swap took %s, want at most %s", worst, swapTarget)
	r.Requiref(kept, "the share of serving engines fell below the capacity floor of %.2f", capacityFloor)
	return r, nil
}

// slope returns the least-squares slope of ys over xs.
func slope(xs, ys []float64) float64 {
	if len(xs) < 2 {
		return 0
	}
	var meanX, meanY float64
	for i := range xs {
		meanX += xs[i] / float64(len(xs))
		meanY += ys[i] / float64(len(ys))
	}
	var covariance, variance float64
	for i := range xs {
		covariance += (xs[i] - meanX) * (ys[i] - meanY)
		variance += (xs[i] - meanX) * (xs[i] - meanX)
	}
	return covariance / variance
}

// measureSize runs the swaps of one size. The time in the outcome is that of the slowest
// measured swap.
func (m Measure) measureSize(ctx context.Context, size int) (outcome, error) {
	shape := deployment.Brazos()
	shape.Engines, shape.Plains = size, 1
	weights := &standinweights.Server{Burst: fetchBurst, Rate: fetchRate}
	d := &deployment.Deployment{Shape: shape, Weights: weights}
	d.Configure = func(_ int, e *standinengine.Engine) {
		e.PauseOnSwap, e.SwapTime = true, swapTime
		e.Weights = weightstore.Client{BaseURL: weights.URL()}
	}
	var o outcome
	err := d.Run(ctx, func(ctx context.Context) error {
		// The first swap is not measured: it includes the wait of a new lease holder
		// before its first order, which other swaps meet only after the loss of an
		// entry host.
		if _, err := swapOnce(ctx, d, warmUpVersion); err != nil {
			return err
		}
		for number := int64(warmUpVersion + 1); number <= warmUpVersion+measuredVersions; number++ {
			took, err := swapOnce(ctx, d, number)
			if err != nil {
				return err
			}
			o.took = max(o.took, took)
		}
		o.floorKept, o.orders = checkLoads(d)
		_, o.storeRefusals = weights.Calls()
		return nil
	})
	return o, err
}

// swapOnce publishes a version and waits until all engines serve it. It returns the time
// from the acceptance of the version until then.
func swapOnce(ctx context.Context, d *deployment.Deployment, number int64) (time.Duration, error) {
	if err := publish(ctx, d, number); err != nil {
		return 0, err
	}
	begin := time.Now()
	for {
		behind := slices.ContainsFunc(d.Engines, func(e *standinengine.Engine) bool { return e.Status().Version < number })
		if !behind {
			return time.Since(begin), nil
		}
		if time.Since(begin) > 2*swapTarget {
			return 0, fmt.Errorf("not all of %d engines serve version %d after %s", len(d.Engines), number, 2*swapTarget)
		}
		if err := pause(ctx, pollInterval); err != nil {
			return 0, err
		}
	}
}

// publish publishes version number through an entry host, as a trainer does, and
// retries while it is refused with a retry delay.
func publish(ctx context.Context, d *deployment.Deployment, number int64) error {
	url := "http://" + d.Nodes[0].CallerAddress + "/v1/services/" + d.Shape.EngineService + "/trainers/learner/versions"
	for {
		request, err := http.NewRequestWithContext(ctx, http.MethodPost, url, strings.NewReader(fmt.Sprintf(`{"version":%d}`, number)))
		if err != nil {
			return err
		}
		response, err := http.DefaultClient.Do(request)
		if err != nil {
			return err
		}
		if response.StatusCode == http.StatusAccepted {
			return response.Body.Close()
		}
		refused := httperror.Read(response)
		_ = response.Body.Close()
		if refused.RetryAfter == 0 {
			return refused
		}
		if err := pause(ctx, refused.RetryAfter); err != nil {
			return kind.Wrap(kind.Cancelled, err)
		}
	}
}

func pause(ctx context.Context, d time.Duration) error {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return ctx.Err()
	case <-timer.C:
		return nil
	}
}

// checkLoads reads the engines' own records. It reports whether the share of engines that
// served never fell below capacityFloor, and returns the number of accepted load orders.
// An engine counts as not serving from its acceptance of a load order until the swap.
func checkLoads(d *deployment.Deployment) (floorKept bool, orders int) {
	type change struct {
		at    time.Time
		delta int
	}
	var changes []change
	for _, e := range d.Engines {
		truth := e.GroundTruth()
		for _, order := range truth.Orders {
			if order.Accepted && order.Order.Kind == engine.OrderLoadVersion {
				orders++
				changes = append(changes, change{at: order.At, delta: 1})
			}
		}
		for _, swap := range truth.Swaps {
			changes = append(changes, change{at: swap.At, delta: -1})
		}
	}
	slices.SortFunc(changes, func(a, b change) int { return a.at.Compare(b.at) })
	allowed := len(d.Engines) - int(math.Ceil(capacityFloor*float64(len(d.Engines))))
	loading, maxLoading := 0, 0
	for _, c := range changes {
		loading += c.delta
		maxLoading = max(maxLoading, loading)
	}
	return maxLoading <= allowed, orders
}
