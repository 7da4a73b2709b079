package poison

import (
	"context"
	"log/slog"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/nutmegway/nutmegway/internal/base/wait"
	"github.com/nutmegway/nutmegway/internal/external/kv"
	"github.com/nutmegway/nutmegway/internal/fleet/mirror"
)

const (
	// ledgerPrefix is the prefix of the keys of records. Every host follows it.
	ledgerPrefix = mirror.LivePrefix + "poison/"
	// firstRefusal is how long content is refused once it is proven. Servers that
	// ended for another reason are back by then.
	firstRefusal = 5 * time.Second
	// longRefusal is how long it is refused after another server ended under it.
	longRefusal = 10 * time.Minute
	// maxDoublings keeps the refusal after trials without an outcome below longRefusal.
	maxDoublings = 6
	// claimTimeout bounds the call by which a copy is let through. Most callers wait
	// for a second or two.
	claimTimeout = 200 * time.Millisecond
	// writeInterval is the least time between two writes of a host, and hostInterval
	// what each host of the fleet adds to it: together they write 400 times a second
	// at most.
	writeInterval = 100 * time.Millisecond
	hostInterval  = 2500 * time.Microsecond
	// retryInterval is the pause after a write that failed.
	retryInterval = time.Second
	// writesAtOnce is half of the rows that a transaction may have.
	writesAtOnce  = 16
	cleanInterval = time.Minute
)

// Ledger shares the records of contents between entry hosts through the key-value
// service, so that they outlive attempts, hosts and restarts. Once servers have ended
// under a content as often as the limit says, it is refused by all hosts. After a
// while one copy of it is let through in the whole fleet: an answer clears it, another
// end refuses it for long. The fields are set before Run.
type Ledger struct {
	// Duty reports whether the removal of an old record falls to this host. Two hosts
	// that both think so remove the same.
	Duty func(key string) bool
	// Hosts returns the number of hosts.
	Hosts func() int
	// Limit is the number of servers that may end under a content; zero means
	// DefaultCrashLimit.
	Limit  int
	Logger *slog.Logger
	Store  kv.Store

	once    sync.Once
	metrics instruments
	wake    chan struct{}

	mu sync.Mutex
	// pending are the contents whose record the service doesn't have as it is here.
	pending map[uint64]struct{}
	// revisions are those of the keys that the service has.
	revisions map[uint64]int64
	table     Table
}

// Admission is the permission to send content to servers.
type Admission struct {
	// OneByOne is set for content under which servers ended: it goes to one server at
	// a time.
	OneByOne bool
}

func (l *Ledger) init() {
	l.once.Do(func() {
		l.metrics = newInstruments(l.Logger)
		l.pending, l.revisions = make(map[uint64]struct{}), make(map[uint64]int64)
		l.wake = make(chan struct{}, 1)
	})
}

// Admit returns the permission to send content, or an error of kind quarantined.
func (l *Ledger) Admit(ctx context.Context, content uint64) (Admission, error) {
	l.init()
	now := time.Now()
	l.mu.Lock()
	verdict := l.table.Verdict(now, content)
	record, _ := l.table.Get(content)
	// The claim must name the revision of this record, not that of a later one.
	condition := kv.Condition{Key: ledgerKey(content), ModRevision: l.revisions[content]}
	l.mu.Unlock()
	switch {
	case verdict == Clear:
		return Admission{}, nil
	case verdict == Quarantined:
		l.metrics.count(ctx, decisionRefused)
		return Admission{}, refusal(record.QuarantinedUntil)
	case !record.QuarantinedUntil.IsZero():
		return l.try(ctx, now, record, condition)
	default:
		return Admission{OneByOne: true}, nil
	}
}

// Refuses reports whether the content is refused now.
func (l *Ledger) Refuses(content uint64) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.table.Verdict(time.Now(), content) == Quarantined
}

// try lets one copy through after a quarantine. The host whose write prolongs the
// quarantine is the only one that may.
func (l *Ledger) try(ctx context.Context, now time.Time, record Record, condition kv.Condition) (Admission, error) {
	record.Trials++
	record.QuarantinedUntil = now.Add(firstRefusal << min(record.Trials, maxDoublings))
	ctx, cancel := context.WithTimeout(ctx, claimTimeout)
	defer cancel()
	result, err := l.Store.Commit(ctx, kv.Txn{
		Conditions: []kv.Condition{condition}, Writes: []kv.Write{{Key: condition.Key, Value: encodeRecord(record)}},
	})
	l.mu.Lock()
	defer l.mu.Unlock()
	if err != nil || !result.Committed {
		return l.notTried(ctx, now, record.Fingerprint, result.Current, err)
	}
	l.revisions[record.Fingerprint] = max(l.revisions[record.Fingerprint], result.Revision)
	l.table.Merge(now, []Record{record})
	l.Logger.LogAttrs(ctx, slog.LevelInfo, "content tried again", slog.Uint64("content", record.Fingerprint),
		slog.Int("servers-ended", len(record.Crashes)), slog.Int("trials", record.Trials),
		slog.Time("others-refused-until", record.QuarantinedUntil), slog.Int64("revision", result.Revision))
	l.metrics.count(ctx, decisionTried)
	return Admission{OneByOne: true}, nil
}

// notTried decides on content after a claim that failed, or whose outcome isn't known.
// l.mu is held.
func (l *Ledger) notTried(ctx context.Context, now time.Time, content uint64, current []kv.Entry, err error) (Admission, error) {
	for _, entry := range current {
		l.take(now, ledgerKey(content), entry.ModRevision, entry.Value)
	}
	record, known := l.table.Get(content)
	if !known {
		return Admission{}, nil // Another host had an answer.
	}
	if !now.Before(record.QuarantinedUntil) {
		// The next one doesn't wait for the service either.
		record.QuarantinedUntil = now.Add(firstRefusal)
		l.table.Merge(now, []Record{record})
	}
	l.Logger.LogAttrs(ctx, slog.LevelInfo, "content not tried", slog.Uint64("content", content),
		slog.Time("refused-until", record.QuarantinedUntil), slog.Any("error", err))
	l.metrics.count(ctx, decisionRefused)
	return Admission{}, refusal(record.QuarantinedUntil)
}

// Ended takes in that a server ended under the content. The id of the crash is the
// same on all hosts that saw it.
func (l *Ledger) Ended(content, crash uint64) {
	l.init()
	now := time.Now()
	l.mu.Lock()
	defer l.mu.Unlock()
	before, _ := l.table.Get(content)
	if slices.ContainsFunc(before.Crashes, func(c Crash) bool { return c.ID == crash }) {
		return
	}
	refuseFor := firstRefusal
	if before.Trials > 0 {
		refuseFor = longRefusal
	}
	l.table.Crash(now, Incident{
		At: now, ID: crash, Limit: l.Limit, QuarantineFor: refuseFor, Suspects: []Suspect{{Fingerprint: content}},
	})
	record, _ := l.table.Get(content)
	l.Logger.Warn("content suspected", slog.Uint64("content", content), slog.Int("servers-ended", len(record.Crashes)),
		slog.Int("trials", record.Trials), slog.Time("refused-until", record.QuarantinedUntil))
	l.metrics.count(context.Background(), decisionSuspected)
	l.mark(content)
}

// Answered clears content that a server has answered, whatever the answer says.
func (l *Ledger) Answered(content uint64) {
	l.init()
	l.mu.Lock()
	defer l.mu.Unlock()
	record, known := l.table.Get(content)
	if !known {
		return
	}
	l.table.Forget(content)
	l.Logger.Info("content cleared", slog.Uint64("content", content), slog.Int("servers-ended", len(record.Crashes)),
		slog.Int("trials", record.Trials))
	l.metrics.count(context.Background(), decisionCleared)
	l.mark(content)
}

// mark has the record of the content written. l.mu is held.
func (l *Ledger) mark(content uint64) {
	l.pending[content] = struct{}{}
	select {
	case l.wake <- struct{}{}:
	default:
	}
}

// Apply takes over what the mirror of the live keys says of records.
func (l *Ledger) Apply(change mirror.Change) {
	l.init()
	now := time.Now()
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, event := range change.Events {
		switch {
		case !event.Delete:
			l.take(now, event.Entry.Key, event.Entry.ModRevision, event.Entry.Value)
		case event.Entry.ModRevision == 0 || event.Entry.ModRevision >= l.revisions[contentOf(event.Entry.Key)]:
			l.take(now, event.Entry.Key, 0, nil)
		}
	}
}

// take takes over a key of the service; a revision of zero says that it is gone. l.mu is
// held.
func (l *Ledger) take(now time.Time, key string, revision int64, value []byte) {
	content := contentOf(key)
	switch {
	case content == 0:
		return
	case revision == 0:
		// Another host had an answer, or the record is old.
		l.table.Forget(content)
		delete(l.revisions, content)
		delete(l.pending, content)
		return
	case revision <= l.revisions[content]:
		return // This host wrote it, or a newer one.
	}
	l.revisions[content] = revision
	record, err := decodeRecord(content, value)
	if err != nil {
		l.Logger.Warn("record of content unreadable", slog.String("key", key), slog.Any("error", err))
		return
	}
	// The clock of the host that wrote it may be ahead.
	if latest := now.Add(longRefusal); record.QuarantinedUntil.After(latest) {
		record.QuarantinedUntil = latest
	}
	l.table.Merge(now, []Record{record})
	// No host may have seen as many servers end as all of them together.
	if merged, _ := l.table.Get(content); merged.QuarantinedUntil.IsZero() && merged.proven(now, true) {
		merged.QuarantinedUntil = merged.lastCrash().Add(firstRefusal)
		l.table.Merge(now, []Record{merged})
	}
}

// Run writes records until ctx ends.
func (l *Ledger) Run(ctx context.Context) error {
	l.init()
	clean := time.NewTicker(cleanInterval)
	defer clean.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-l.wake:
		case <-clean.C:
			l.markOld()
		}
		for ctx.Err() == nil {
			pause, more := l.write(ctx)
			if !more {
				break
			}
			wait.For(ctx, pause)
		}
	}
}

// markOld has the keys removed whose records don't matter any more and that fall to
// this host.
func (l *Ledger) markOld() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.table.Records(time.Now()) // It drops what has expired.
	for content := range l.revisions {
		if _, matters := l.table.Get(content); !matters && l.Duty(ledgerKey(content)) {
			l.mark(content)
		}
	}
}

// write writes some of the pending records. It returns the pause before the next write,
// and false if there were none.
func (l *Ledger) write(ctx context.Context) (time.Duration, bool) {
	contents, txn := l.transaction()
	if len(contents) == 0 {
		return 0, false
	}
	pause := writeInterval + time.Duration(l.Hosts())*hostInterval
	result, err := l.Store.Commit(ctx, txn)
	now := time.Now()
	l.mu.Lock()
	defer l.mu.Unlock()
	switch {
	case err != nil:
		// A write that had an effect after all shows as a conflict at the next one.
		pause = max(pause, retryInterval)
		l.Logger.LogAttrs(ctx, slog.LevelInfo, "records of contents not written", slog.Int("contents", len(contents)), slog.Any("error", err))
	case result.Committed:
		for i, content := range contents {
			l.revisions[content] = max(l.revisions[content], result.Revision)
			if txn.Writes[i].Delete {
				delete(l.revisions, content)
			}
		}
		return pause, true
	}
	for _, content := range contents {
		l.pending[content] = struct{}{}
	}
	for i, entry := range result.Current {
		if entry.ModRevision == txn.Conditions[i].ModRevision {
			continue
		}
		l.take(now, txn.Conditions[i].Key, entry.ModRevision, entry.Value)
		if txn.Writes[i].Delete {
			// Another server has ended under the content since.
			delete(l.pending, contents[i])
		}
	}
	return pause, true
}

// transaction returns some pending contents with the writes of their records.
func (l *Ledger) transaction() ([]uint64, kv.Txn) {
	l.mu.Lock()
	defer l.mu.Unlock()
	var contents []uint64
	var txn kv.Txn
	for content := range l.pending {
		if len(contents) == writesAtOnce {
			break
		}
		delete(l.pending, content)
		record, ok := l.table.Get(content)
		revision := l.revisions[content]
		if !ok && revision == 0 {
			continue
		}
		key := ledgerKey(content)
		contents = append(contents, content)
		txn.Conditions = append(txn.Conditions, kv.Condition{Key: key, ModRevision: revision})
		txn.Writes = append(txn.Writes, kv.Write{Delete: !ok, Key: key, Value: encodeRecord(record)})
	}
	return contents, txn
}

func ledgerKey(content uint64) string { return ledgerPrefix + strconv.FormatUint(content, 16) }

// contentOf returns the content of a key of the ledger, or zero.
func contentOf(key string) uint64 {
	digits, ok := strings.CutPrefix(key, ledgerPrefix)
	content, err := strconv.ParseUint(digits, 16, 64)
	if !ok || err != nil {
		return 0
	}
	return content
}
