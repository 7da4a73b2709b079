// Package bookings measures that requests which must not be repeated run at
// most once, whatever fails between their caller and the backend servers.
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
	// tryTimeout is when a caller gives a try up and repeats elsewhere.
	tryTimeout = 2 * time.Second
	maxTries   = 12
	// lostReplies is the share of the store's replies that are lost.
	lostReplies = 0.05
)

// Measure is one run. The fields are set before Run.
type Measure struct {
	// Binary is the product's binary; when it is set, the entry hosts run as
	// processes of their own and are killed as such.
	Binary string
	// Bookings is the number of bookings, half of them with a key.
	Bookings int
	// Callers is the number of bookings in flight.
	Callers int
	// Deployment names the shape.
	Deployment string
	// Folder holds the settings files of the processes.
	Folder string
	Seed   uint64
}

// booking is one booking and what its caller concluded.
type booking struct {
	answered bool
	// heard describes an answer that was wrong.
	heard string
	id    string
	keyed bool
	// notRun is true when every try was refused as not run.
	notRun bool
	wrong  bool
}

// run holds what the parts of a run share.
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
	// times are the milliseconds to a booking's last answer, with a key and
	// without.
	times map[bool][]float64
}

// Run books through all entry hosts while backend servers, entry hosts and the
// store fail, and compares what callers heard with what the servers did.
func (m Measure) Run(ctx context.Context) (*report.Report, error) {
	shape, ok := deployment.Named(m.Deployment)
	if !ok {
		return nil, fmt.Errorf("no deployment %q", m.Deployment)
	}
	shape.Engines = 0
	r := &run{
		Measure:  m,
		bookings: make([]booking, m.Bookings),
		deployed: &deployment.Deployment{Binary: m.Binary, Folder: m.Folder, Shape: shape},
		kinds:    make(map[kind.Kind]int),
		times:    make(map[bool][]float64),
		path:     plainproxy.Prefix + shape.PlainService + "/bookings",
		report:   &report.Report{Name: "bookings", XLabel: "time to a booking's last answer in ms", YLabel: "share"},
	}
	err := r.deployed.Run(ctx, func(ctx context.Context) error {
		r.addCallers(shape)
		if err := r.book(ctx); err != nil {
			return err
		}
		return r.repeat(ctx)
	})
	if err != nil {
		return nil, err
	}
	r.conclude()
	return r.report, nil
}

func (r *run) addCallers(shape deployment.Shape) {
	var entries []string
	for _, node := range r.deployed.Nodes {
		entries = append(entries, node.Caller)
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

// book makes all bookings while the faults go on.
func (r *run) book(ctx context.Context) error {
	r.deployed.Store.SetFault(standinetcd.MethodTxn, standinetcd.Fault{LoseReply: true, Probability: lostReplies})
	defer r.deployed.Store.SetFault(standinetcd.MethodTxn, standinetcd.Fault{})
	faults, stop := context.WithCancel(ctx)
	defer stop()
	var disturb, work errgroup.Group
	for _, disturbance := range r.disturbances(ctx) {
		disturb.Go(func() error { return disturbance(faults) })
	}
	var next atomic.Int64
	for i := range r.Callers {
		work.Go(func() error {
			random := rand.New(rand.NewPCG(r.Seed, uint64(1000+i)))
			for n := int(next.Add(1)) - 1; n < r.Bookings && ctx.Err() == nil; n = int(next.Add(1)) - 1 {
				r.bookOne(ctx, r.callers[i], n, random)
				r.done.Add(1)
			}
			return nil
		})
	}
	err := work.Wait()
	stop()
	if failed := disturb.Wait(); failed != nil {
		return failed
	}
	return err
}

func (r *run) bookOne(ctx context.Context, c *caller.Caller, n int, random *rand.Rand) {
	b := booking{id: fmt.Sprintf("booking-%05d", n), keyed: n%2 == 0}
	request := r.request(b)
	if fault := drawFault(random); fault != "" {
		request.Header.Set(plain.HeaderFault, string(fault))
	}
	start := time.Now()
	outcome := c.Do(ctx, request)
	took := time.Since(start)
	b.answered = outcome.Answered && outcome.Status == http.StatusOK
	b.wrong = outcome.Answered && string(outcome.Body) != confirmation(b.id)
	if b.wrong {
		b.heard = describe("first sending", outcome)
	}
	b.notRun = !outcome.Answered
	for _, try := range outcome.Attempts {
		b.notRun = b.notRun && try.Ran == kind.RanNo
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.bookings[n] = b
	r.times[b.keyed] = append(r.times[b.keyed], float64(took)/float64(time.Millisecond))
	for _, try := range outcome.Attempts {
		if try.Kind != "" {
			r.kinds[try.Kind]++
		}
	}
}

// describe tells of an outcome for the report of a broken promise.
func describe(when string, outcome caller.Outcome) string {
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

// repeat sends the answered bookings with a key once more, through whichever
// node the caller is told, when the faults are over.
func (r *run) repeat(ctx context.Context) error {
	const most = 1000
	var group errgroup.Group
	group.SetLimit(len(r.callers))
	repeated := 0
	for i, b := range r.bookings {
		if !b.keyed || !b.answered || repeated == most {
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
				r.bookings[i].heard = describe("repeat after the faults", outcome)
			}
			return nil
		})
	}
	return group.Wait()
}
