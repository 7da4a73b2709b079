package usage

import (
	"context"
	"log/slog"
	"time"

	"github.com/nutmegway/nutmegway/internal/base/kind"
	"github.com/nutmegway/nutmegway/internal/base/wait"
	"github.com/nutmegway/nutmegway/internal/external/kv"
	"github.com/nutmegway/nutmegway/internal/fleet/duty"
)

// ledgerKey is the key of the ledger in the store.
const ledgerKey = "nutmegway/usage"

const (
	// closeShare is the time from the end of a window to its closing, as a share of the time
	// within which its report is due. The rest is for a successor to take over.
	closeShare = 0.2
	// pollInterval is the time between two looks at what is to be done.
	pollInterval = 100 * time.Millisecond
	// storeRetryInterval and reportRetryInterval are the times between two attempts.
	storeRetryInterval  = 500 * time.Millisecond
	reportRetryInterval = 500 * time.Millisecond
)

// Holder holds the duties while this host is the chosen one.
type Holder interface {
	Term() (duty.Term, bool)
	// Condition returns the condition of writes that only the holder of the term may make.
	Condition(t duty.Term) kv.Condition
}

// Reporter closes the windows and reports them while this host holds the duties. It writes the
// counts of a window to the store before it reports them, so that each report of a window has
// the same numbers, whoever makes it. The exported fields are set before Run.
type Reporter struct {
	Clock     *Clock
	Collector *Collector
	// Delay is the time after the end of a window within which its report is due.
	Delay    time.Duration
	Holder   Holder
	Logger   *slog.Logger
	Platform duty.Platform
	Store    kv.Store
	Windows  Windows

	metrics instruments
	// started is the window in which this host started. It is the first one of a fleet
	// without a ledger.
	started int64

	// reportedTo is the last window that this host has reported, and adoptedTo the last one that
	// a former holder has closed and may have reported.
	reportedTo, adoptedTo int64

	// The fields below belong to the present term.
	term     duty.Term
	loaded   bool
	ledger   Ledger
	revision int64
	// storeAt and reportAt are when the next attempt may be made.
	storeAt, reportAt time.Time
}

// Run closes and reports windows until ctx ends.
func (r *Reporter) Run(ctx context.Context) error {
	r.metrics = newInstruments(r.Logger)
	r.started = r.Windows.At(time.Now())
	for wait.For(ctx, pollInterval) {
		term, ok := r.Holder.Term()
		if !ok {
			r.loaded = false
			continue
		}
		if r.term != term || !r.loaded {
			r.term = term
			r.loaded = r.load(ctx)
			continue
		}
		r.closeDue(ctx)
		r.reportPending(ctx)
	}
	return nil
}

// load reads the ledger that the former holder has left.
func (r *Reporter) load(ctx context.Context) bool {
	now := time.Now()
	if now.Before(r.storeAt) {
		return false
	}
	r.storeAt = now.Add(storeRetryInterval)
	entry, err := r.Store.Get(ctx, ledgerKey)
	if err != nil {
		r.Logger.LogAttrs(ctx, slog.LevelWarn, "closed usage windows not read", slog.Any("error", err))
		return false
	}
	r.adopt(ctx, entry)
	r.storeAt, r.reportAt = time.Time{}, time.Time{}
	r.Logger.LogAttrs(ctx, slog.LevelInfo, "usage windows taken over", slog.Int64("fence", r.term.Fence),
		slog.Int64("next", r.ledger.Next), slog.Int("pending", len(r.ledger.Pending)))
	return true
}

// adopt takes over the ledger in the store.
func (r *Reporter) adopt(ctx context.Context, entry kv.Entry) {
	r.revision, r.ledger = entry.ModRevision, Ledger{Next: r.started}
	if entry.ModRevision != 0 {
		ledger, err := ParseLedger(entry.Value)
		if err != nil {
			r.Logger.LogAttrs(ctx, slog.LevelError, "invalid usage ledger; it starts anew", slog.Any("error", err))
		} else {
			r.ledger = ledger
		}
	}
	for len(r.ledger.Pending) > 0 && r.ledger.Pending[0].Window <= r.reportedTo {
		r.ledger.Pending = r.ledger.Pending[1:]
	}
	if len(r.ledger.Pending) > 0 {
		r.adoptedTo = r.ledger.Pending[len(r.ledger.Pending)-1].Window
	}
	r.Collector.Close(r.ledger.Next)
}

// closeDue closes the windows whose counts are complete. The write requires that the term
// hasn't ended and that the ledger is the one that was read.
func (r *Reporter) closeDue(ctx context.Context) {
	now := time.Now()
	if now.Before(r.storeAt) {
		return
	}
	closed, lost, ok := r.ledger.Due(r.Clock.Time(now), r.Windows, time.Duration(closeShare*float64(r.Delay)), r.Collector.Sum)
	if !ok {
		return
	}
	value, err := closed.Encode()
	if err != nil {
		r.Logger.LogAttrs(ctx, slog.LevelError, "usage ledger not written", slog.Any("error", err))
		return
	}
	result, err := r.Store.Commit(ctx, kv.Txn{
		Conditions: []kv.Condition{{Key: ledgerKey, ModRevision: r.revision}, r.Holder.Condition(r.term)},
		Writes:     []kv.Write{{Key: ledgerKey, Value: value}},
	})
	switch {
	case err != nil:
		r.Logger.LogAttrs(ctx, slog.LevelWarn, "usage windows not closed", slog.Int64("next", r.ledger.Next), slog.Any("error", err))
		// If the write has been applied, the ledger has to be read again.
		r.loaded, r.storeAt = !kind.Is(err, kind.StoreWriteUnknown), now.Add(storeRetryInterval)
		return
	case !result.Committed:
		r.loaded, r.storeAt = false, now.Add(storeRetryInterval)
		return
	}
	r.ledger, r.revision = closed, result.Revision
	for _, window := range lost {
		r.metrics.countWindow(ctx, outcomeLost)
		r.Logger.LogAttrs(ctx, slog.LevelError, "usage window lost", slog.Int64("window", window),
			slog.Time("end", r.Windows.End(window)))
	}
	if late := r.Collector.Close(closed.Next); late > 0 {
		r.metrics.countRequests(ctx, outcomeLate, late)
		r.Logger.LogAttrs(ctx, slog.LevelWarn, "counts received too late for their window", slog.Int64("requests", late))
	}
}

// reportPending reports the oldest closed window that hasn't been acknowledged.
func (r *Reporter) reportPending(ctx context.Context) {
	for len(r.ledger.Pending) > 0 && !time.Now().Before(r.reportAt) && ctx.Err() == nil && r.loaded {
		window := r.ledger.Pending[0]
		err := r.Platform.ReportUsage(ctx, r.term, window.Window, window.Counts)
		if err != nil && !kind.Is(err, kind.BadRequest) {
			r.reportAt = time.Now().Add(max(kind.Of(err).RetryAfter, reportRetryInterval))
			r.Logger.LogAttrs(ctx, slog.LevelWarn, "usage not reported", slog.Int64("window", window.Window),
				slog.Int64("fence", r.term.Fence), slog.Any("error", err))
			return
		}
		r.ledger.Pending, r.reportedTo = r.ledger.Pending[1:], window.Window
		var requests int64
		for _, n := range window.Counts {
			requests += n
		}
		age := r.Clock.Time(time.Now()).Sub(r.Windows.End(window.Window))
		outcome, level := outcomeReported, slog.LevelInfo
		switch {
		case err != nil:
			outcome, level = outcomeLost, slog.LevelError
		case window.Window <= r.adoptedTo:
			outcome = outcomeRepeated
		case age > r.Delay:
			outcome, level = outcomeOverdue, slog.LevelWarn
		}
		r.metrics.countWindow(ctx, outcome)
		r.metrics.countRequests(ctx, outcome, requests)
		r.Logger.LogAttrs(ctx, level, "usage window settled", slog.String("outcome", outcome), slog.Int64("window", window.Window), slog.Int64("requests", requests),
			slog.Int("accounts", len(window.Counts)), slog.Duration("after", age), slog.Int64("fence", r.term.Fence), slog.Any("error", err))
	}
}
