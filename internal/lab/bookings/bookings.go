// Package bookings checks that non-idempotent requests run at most once while
// entry hosts, backend servers and the store fail.
package bookings

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"golang.org/x/sync/errgroup"

	"github.com/nutmegway/nutmegway/internal/base/kind"
	"github.com/nutmegway/nutmegway/internal/lab/deployment"
	"github.com/nutmegway/nutmegway/internal/lab/report"
	"github.com/nutmegway/nutmegway/internal/request/plainproxy"
	"github.com/nutmegway/nutmegway/internal/standin/caller"
	standinetcd "github.com/nutmegway/nutmegway/internal/standin/etcd"
	"github.com/nutmegway/nutmegway/internal/standin/plain"
)

const (
	// tryTimeout bounds one try of a caller, which then retries elsewhere if the booking
	// has an idempotency key.
	tryTimeout = 2 * time.Second
	maxTries   = 12
	// lostReplyShare is the share of the store's transaction replies that are lost.
	lostReplyShare = 0.05
)

// Measure is one run. The fields are set before Run.
type Measure struct {
	// Binary is the path of the nutmegway binary. If it is set, the entry hosts
	// run as separate processes and faults kill these processes.
	Binary string
	// Bookings is the number of bookings, half of them with an idempotency key.
	Bookings int
	// Callers is the number of concurrent callers, each with one booking in flight.
	Callers int
	// Deployment is the name of the deployment's shape.
	Deployment string
	// Dir is the directory of the settings files of the processes.
	Dir  string
	Seed uint64
}

// booking is one booking and its outcome as its caller saw it.
type booking struct {
	answered bool
	// mismatch describes a wrong answer.
	mismatch string
	id       string
	keyed    bool
	// notRun is true if the booking was not answered and no try was executed, as an
	// entry host stated or as the caller inferred because it could not connect.
	notRun bool
	wrong  bool
}

// run is the state of one run of the measure.
type run struct {
	Measure
	bookings []booking
	callers  []*caller.Caller
	deployed *deployment.Deployment
	done     atomic.Int64
	kinds    map[kind.Kind]int
	mu       sync.Mutex
	path     string
	report   *report.Report
	// latencies are the milliseconds from the first try of each booking to its outcome,
	// retries included, by whether the booking has an idempotency key.
	latencies map[bool][]float64
}

// Run makes bookings through all entry hosts while backend servers, entry hosts
// and the store fail, and compares the callers' answers with the servers' records.
func (m Measure) Run(ctx context.Context) (*report.Report, error) {
	shape, ok := deployment.Named(m.Deployment)
	if !ok {
		return nil, fmt.Errorf("unknown deployment %q", m.Deployment)
	}
	shape.Engines = 0
	r := &run{
		Measure:   m,
		bookings:  make([]booking, m.Bookings),
		deployed:  &deployment.Deployment{Binary: m.Binary, Dir: m.Dir, Shape: shape},
		kinds:     make(map[kind.Kind]int),
		latencies: make(map[bool][]float64),
		path:      plainproxy.Prefix + shape.PlainService + "/bookings",
		report:    &report.Report{Name: "bookings", XLabel: "time to a booking's last answer in ms", YLabel: "share"},
	}
	err := r.deployed.Run(ctx, func(ctx context.Context) error {
		r.addCallers(shape)
		if err := r.makeBookings(ctx); err != nil {
			return err
		}
		return r.repeatKeyed(ctx)
	})
	if err != nil {
		return nil, err
	}
	r.writeReport()
	return r.report, nil
}

func (r *run) addCallers(shape deployment.Shape) {
	var entries []string
	for _, node := range r.deployed.Nodes {
		entries = append(entries, node.CallerAddress)
	}
	for i := range r.Callers {
		r.callers = append(r.callers, &caller.Caller{
			AvailabilityZone: shape.Zones[i%len(shape.Zones)],
			EntryHosts:       entries,
			HTTP:             &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 2}},
			MaxAttempts:      maxTries,
			Random:           rand.New(rand.NewPCG(r.Seed, uint64(i))),
			Service:          shape.PlainService,
			AttemptTimeout:   tryTimeout,
		})
	}
}

// makeBookings makes all bookings while faults are injected.
func (r *run) makeBookings(ctx context.Context) error {
	r.deployed.Store.SetFault(standinetcd.MethodTxn, standinetcd.Fault{LoseReply: true, Probability: lostReplyShare})
	defer r.deployed.Store.SetFault(standinetcd.MethodTxn, standinetcd.Fault{})
	faults, stop := context.WithCancel(ctx)
	defer stop()
	var injectors, workers errgroup.Group
	for _, inject := range r.faultInjectors(ctx) {
		injectors.Go(func() error { return inject(faults) })
	}
	var next atomic.Int64
	for i := range r.Callers {
		workers.Go(func() error {
			random := rand.New(rand.NewPCG(r.Seed, uint64(1000+i)))
			for n := int(next.Add(1)) - 1; n < r.Bookings && ctx.Err() == nil; n = int(next.Add(1)) - 1 {
				r.makeBooking(ctx, r.callers[i], n, random)
				r.done.Add(1)
			}
			return nil
		})
	}
	err := workers.Wait()
	stop()
	if injectErr := injectors.Wait(); injectErr != nil {
		return injectErr
	}
	return err
}

func (r *run) makeBooking(ctx context.Context, c *caller.Caller, n int, random *rand.Rand) {
	b := booking{id: fmt.Sprintf("booking-%05d", n), keyed: n%2 == 0}
	request := r.request(b)
	if fault := randomFault(random); fault != "" {
		request.Header.Set(plain.HeaderFault, string(fault))
	}
	start := time.Now()
	outcome := c.Do(ctx, request)
	took := time.Since(start)
	b.answered = outcome.Answered && outcome.Status == http.StatusOK
	b.wrong = outcome.Answered && string(outcome.Body) != confirmation(b.id)
	if b.wrong {
		b.mismatch = describeOutcome("first sending", outcome)
	}
	b.notRun = !outcome.Answered
	for _, try := range outcome.Attempts {
		b.notRun = b.notRun && try.Ran == kind.RanNo
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.bookings[n] = b
	r.latencies[b.keyed] = append(r.latencies[b.keyed], float64(took)/float64(time.Millisecond))
	for _, try := range outcome.Attempts {
		if try.Kind != "" {
			r.kinds[try.Kind]++
		}
	}
}

// describeOutcome formats an outcome for the report of a wrong answer.
func describeOutcome(when string, outcome caller.Outcome) string {
	last := outcome.LastAttempt()
	return fmt.Sprintf("%s: answered %t, status %d, body %.80q, tries %d, last kind %s at %s",
		when, outcome.Answered, outcome.Status, outcome.Body, len(outcome.Attempts), last.Kind, last.Address)
}

func (r *run) request(b booking) caller.Request {
	request := caller.Request{
		Body:   fmt.Sprintf(`{"booking-id":%q}`, b.id),
		Header: http.Header{},
		Method: http.MethodPost,
		Path:   r.path,
	}
	if b.keyed {
		request.Header.Set(plainproxy.HeaderIdempotencyKey, "key of "+b.id)
		request.Idempotent = true
	}
	return request
}

func confirmation(id string) string { return fmt.Sprintf(`{"booked":%q}`, id) }

// repeatKeyed sends up to maxRepeats answered bookings that have an idempotency key once
// more, after the faults have ended. The callers choose the entry hosts. Each answer must
// equal the first one or say that the outcome is unknown.
func (r *run) repeatKeyed(ctx context.Context) error {
	const maxRepeats = 1000
	var group errgroup.Group
	group.SetLimit(len(r.callers))
	repeated := 0
	for i, b := range r.bookings {
		if !b.keyed || !b.answered || repeated == maxRepeats {
			continue
		}
		repeated++
		group.Go(func() error {
			outcome := r.callers[i%len(r.callers)].Do(ctx, r.request(b))
			same := outcome.Answered && string(outcome.Body) == confirmation(b.id)
			unknown := outcome.LastAttempt().Kind == kind.OutcomeUnknown
			r.mu.Lock()
			defer r.mu.Unlock()
			if !same && !unknown {
				r.bookings[i].wrong = true
				r.bookings[i].mismatch = describeOutcome("repeat after the faults", outcome)
			}
			return nil
		})
	}
	return group.Wait()
}
