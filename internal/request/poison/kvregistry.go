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
	// recordPrefix is the prefix of the keys of content records. Every host watches it.
	recordPrefix = mirror.LivePrefix + "poison/"
	// firstQuarantine is how long content is refused once it has reached the crash
	// limit. Servers that crashed for another reason are back by then.
	firstQuarantine = 5 * time.Second
	// repeatQuarantine is how long content is refused when it crashes a server again
	// after a quarantine.
	repeatQuarantine = 10 * time.Minute
	// maxDoublings limits the exponential back-off between trials without an outcome,
	// so that it stays below repeatQuarantine.
	maxDoublings = 6
	// trialClaimTimeout bounds the write that claims a trial. It is short because most
	// callers wait for only one or two seconds.
	trialClaimTimeout = 200 * time.Millisecond
	// A host pauses between two writes for writeInterval, plus writeIntervalPerHost for
	// each host of the fleet: all hosts together write at most 400 times a second.
	writeInterval        = 100 * time.Millisecond
	writeIntervalPerHost = 2500 * time.Microsecond
	// retryInterval is the least pause after a failed write.
	retryInterval = time.Second
	// maxTransactionWrites is half of the rows that a transaction may have.
	maxTransactionWrites = 16
	cleanupInterval      = time.Minute
)

// KVRegistry shares the records of contents between entry hosts through the key-value
// service, so that the records outlive requests, hosts and restarts. Once content has
// crashed as many servers as the crash limit says, all hosts refuse it for the time of a
// quarantine. Then one request with the content is let through in the whole fleet as a
// trial, as by a half-open circuit breaker: a response clears the content, another crash
// starts a longer quarantine. The methods take the RequestFingerprint of the content.
// The fields are set before Run.
type KVRegistry struct {
	// MayRemove reports whether this host removes the expired record of the key. It does
	// no harm if it is true on several hosts.
	MayRemove func(key string) bool
	// HostCount returns the number of hosts.
	HostCount func() int
	// CrashLimit is the number of crashed servers after which content is refused; zero
	// means DefaultCrashLimit.
	CrashLimit int
	Logger     *slog.Logger
	Store      kv.Store

	once    sync.Once
	metrics instruments
	wake    chan struct{}

	mu sync.Mutex
	// pending are the contents whose local record is still to be written to the service.
	pending map[uint64]struct{}
	// revisions maps each content to the last known revision of its key in the service.
	revisions map[uint64]int64
	table     Table
}

// Admission is the permission to send content to servers.
type Admission struct {
	// Sequential is set for content that has crashed servers. It may be sent to only one
	// server at a time.
	Sequential bool
}

func (r *KVRegistry) init() {
	r.once.Do(func() {
		r.metrics = newInstruments(r.Logger)
		r.pending, r.revisions = make(map[uint64]struct{}), make(map[uint64]int64)
		r.wake = make(chan struct{}, 1)
	})
}

// Admit returns the permission to send content, or an error of kind quarantined. Content
// whose quarantine has ended is admitted only if this host succeeds in claiming a trial, or
// if its record has been removed in the meantime.
func (r *KVRegistry) Admit(ctx context.Context, content uint64) (Admission, error) {
	r.init()
	now := time.Now()
	r.mu.Lock()
	verdict := r.table.Verdict(now, content)
	record, _ := r.table.Get(content)
	// The claim of a trial must be conditional on the revision of this record, not on a
	// later one.
	condition := kv.Condition{Key: recordKey(content), ModRevision: r.revisions[content]}
	r.mu.Unlock()
	switch {
	case verdict == Clear:
		return Admission{}, nil
	case verdict == Quarantined:
		r.metrics.count(ctx, decisionRefused)
		return Admission{}, quarantinedError(record.QuarantinedUntil)
	case !record.QuarantinedUntil.IsZero():
		return r.claimTrial(ctx, now, record, condition)
	default:
		return Admission{Sequential: true}, nil
	}
}

// Refuses reports whether the content is refused now.
func (r *KVRegistry) Refuses(content uint64) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.table.Verdict(time.Now(), content) == Quarantined
}

// claimTrial claims the right to send one request with the content after its quarantine.
// The claim is a conditional write that prolongs the quarantine: only the host whose write
// is committed may send.
func (r *KVRegistry) claimTrial(ctx context.Context, now time.Time, record Record, condition kv.Condition) (Admission, error) {
	record.Trials++
	record.QuarantinedUntil = now.Add(firstQuarantine << min(record.Trials, maxDoublings))
	ctx, cancel := context.WithTimeout(ctx, trialClaimTimeout)
	defer cancel()
	result, err := r.Store.Commit(ctx, kv.Txn{
		Conditions: []kv.Condition{condition}, Writes: []kv.Write{{Key: condition.Key, Value: encodeRecord(record)}},
	})
	r.mu.Lock()
	defer r.mu.Unlock()
	if err != nil || !result.Committed {
		return r.trialNotClaimed(ctx, now, record.Fingerprint, result.Current, err)
	}
	r.revisions[record.Fingerprint] = max(r.revisions[record.Fingerprint], result.Revision)
	r.table.Merge(now, []Record{record})
	r.Logger.LogAttrs(ctx, slog.LevelInfo, "trial of quarantined content admitted", slog.Uint64("content", record.Fingerprint),
		slog.Int("servers-ended", len(record.Crashes)), slog.Int("trials", record.Trials),
		slog.Time("others-refused-until", record.QuarantinedUntil), slog.Int64("revision", result.Revision))
	r.metrics.count(ctx, decisionTried)
	return Admission{Sequential: true}, nil
}

// trialNotClaimed decides on content after a claim that failed or whose outcome is unknown.
// The caller holds r.mu.
func (r *KVRegistry) trialNotClaimed(ctx context.Context, now time.Time, content uint64, current []kv.Entry, err error) (Admission, error) {
	for _, entry := range current {
		r.mergeEntry(now, recordKey(content), entry.ModRevision, entry.Value)
	}
	record, known := r.table.Get(content)
	if !known {
		return Admission{}, nil // The record was removed: another host received a response.
	}
	if !now.Before(record.QuarantinedUntil) {
		// Refuse later requests at once, so that they do not wait for the service too.
		record.QuarantinedUntil = now.Add(firstQuarantine)
		r.table.Merge(now, []Record{record})
	}
	r.Logger.LogAttrs(ctx, slog.LevelInfo, "trial of quarantined content not claimed", slog.Uint64("content", content),
		slog.Time("refused-until", record.QuarantinedUntil), slog.Any("error", err))
	r.metrics.count(ctx, decisionRefused)
	return Admission{}, quarantinedError(record.QuarantinedUntil)
}

// RecordCrash records that a server crashed while it ran the content. The id of the crash
// is the same on all hosts that detect it, so that each crash counts once.
func (r *KVRegistry) RecordCrash(content, crashID uint64) {
	r.init()
	now := time.Now()
	r.mu.Lock()
	defer r.mu.Unlock()
	before, _ := r.table.Get(content)
	if slices.ContainsFunc(before.Crashes, func(c Crash) bool { return c.ID == crashID }) {
		return
	}
	quarantine := firstQuarantine
	if before.Trials > 0 {
		quarantine = repeatQuarantine
	}
	r.table.AddIncident(now, Incident{
		At: now, ID: crashID, Limit: r.CrashLimit, QuarantineFor: quarantine, Suspects: []Suspect{{Fingerprint: content}},
	})
	record, _ := r.table.Get(content)
	r.Logger.Warn("content suspected of crashing a backend server", slog.Uint64("content", content), slog.Int("servers-ended", len(record.Crashes)),
		slog.Int("trials", record.Trials), slog.Time("refused-until", record.QuarantinedUntil))
	r.metrics.count(context.Background(), decisionSuspected)
	r.enqueue(content)
}

// RecordResponse clears content to which a server has sent a response, whatever it says.
func (r *KVRegistry) RecordResponse(content uint64) {
	r.init()
	r.mu.Lock()
	defer r.mu.Unlock()
	record, known := r.table.Get(content)
	if !known {
		return
	}
	r.table.Delete(content)
	r.Logger.Info("content cleared of suspicion", slog.Uint64("content", content), slog.Int("servers-ended", len(record.Crashes)),
		slog.Int("trials", record.Trials))
	r.metrics.count(context.Background(), decisionCleared)
	r.enqueue(content)
}

// enqueue schedules the write of the content's record. The caller holds r.mu.
func (r *KVRegistry) enqueue(content uint64) {
	r.pending[content] = struct{}{}
	select {
	case r.wake <- struct{}{}:
	default:
	}
}

// Apply merges a change that the mirror of the live keys has observed.
func (r *KVRegistry) Apply(change mirror.Change) {
	r.init()
	now := time.Now()
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, event := range change.Events {
		switch {
		case !event.Delete:
			r.mergeEntry(now, event.Entry.Key, event.Entry.ModRevision, event.Entry.Value)
		case event.Entry.ModRevision == 0 || event.Entry.ModRevision >= r.revisions[contentOfKey(event.Entry.Key)]:
			r.mergeEntry(now, event.Entry.Key, 0, nil)
		}
	}
}

// mergeEntry merges the value of a key in the service into the local record. Revision zero
// means that the key was deleted. The caller holds r.mu.
func (r *KVRegistry) mergeEntry(now time.Time, key string, revision int64, value []byte) {
	content := contentOfKey(key)
	switch {
	case content == 0:
		return
	case revision == 0:
		// Another host received a response, or the record has expired.
		r.table.Delete(content)
		delete(r.revisions, content)
		delete(r.pending, content)
		return
	case revision <= r.revisions[content]:
		return // This host wrote this revision, or knows a newer one.
	}
	r.revisions[content] = revision
	record, err := decodeRecord(content, value)
	if err != nil {
		r.Logger.Warn("malformed record of content ignored", slog.String("key", key), slog.Any("error", err))
		return
	}
	// The clock of the host that wrote the record may be ahead.
	if latest := now.Add(repeatQuarantine); record.QuarantinedUntil.After(latest) {
		record.QuarantinedUntil = latest
	}
	r.table.Merge(now, []Record{record})
	// The crashes that each host has detected may reach the limit only together.
	if merged, _ := r.table.Get(content); merged.QuarantinedUntil.IsZero() && merged.proven(now, true) {
		merged.QuarantinedUntil = merged.lastCrash().Add(firstQuarantine)
		r.table.Merge(now, []Record{merged})
	}
}

// Run writes pending records and removes expired ones until ctx ends.
func (r *KVRegistry) Run(ctx context.Context) error {
	r.init()
	cleanup := time.NewTicker(cleanupInterval)
	defer cleanup.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-r.wake:
		case <-cleanup.C:
			r.enqueueExpired()
		}
		for ctx.Err() == nil {
			pause, more := r.writePending(ctx)
			if !more {
				break
			}
			wait.For(ctx, pause)
		}
	}
}

// enqueueExpired schedules the removal of the keys of expired records for which MayRemove
// returns true.
func (r *KVRegistry) enqueueExpired() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.table.Records(time.Now()) // Removes expired records from the table.
	for content := range r.revisions {
		if _, known := r.table.Get(content); !known && r.MayRemove(recordKey(content)) {
			r.enqueue(content)
		}
	}
}

// writePending writes up to maxTransactionWrites pending records. It returns the pause
// before the next write, and false if no record was to be written.
func (r *KVRegistry) writePending(ctx context.Context) (time.Duration, bool) {
	contents, txn := r.nextTransaction()
	if len(contents) == 0 {
		return 0, false
	}
	pause := writeInterval + time.Duration(r.HostCount())*writeIntervalPerHost
	result, err := r.Store.Commit(ctx, txn)
	now := time.Now()
	r.mu.Lock()
	defer r.mu.Unlock()
	switch {
	case err != nil:
		// If the write was committed nevertheless, the next one finds a conflict.
		pause = max(pause, retryInterval)
		r.Logger.LogAttrs(ctx, slog.LevelInfo, "write of content records to the key-value service failed", slog.Int("contents", len(contents)), slog.Any("error", err))
	case result.Committed:
		for i, content := range contents {
			r.revisions[content] = max(r.revisions[content], result.Revision)
			if txn.Writes[i].Delete {
				delete(r.revisions, content)
			}
		}
		return pause, true
	}
	for _, content := range contents {
		r.pending[content] = struct{}{}
	}
	for i, entry := range result.Current {
		if entry.ModRevision == txn.Conditions[i].ModRevision {
			continue
		}
		r.mergeEntry(now, txn.Conditions[i].Key, entry.ModRevision, entry.Value)
		if txn.Writes[i].Delete {
			// The content has crashed another server in the meantime.
			delete(r.pending, contents[i])
		}
	}
	return pause, true
}

// nextTransaction removes up to maxTransactionWrites contents from pending and returns them
// with the transaction that writes their records.
func (r *KVRegistry) nextTransaction() ([]uint64, kv.Txn) {
	r.mu.Lock()
	defer r.mu.Unlock()
	var contents []uint64
	var txn kv.Txn
	for content := range r.pending {
		if len(contents) == maxTransactionWrites {
			break
		}
		delete(r.pending, content)
		record, ok := r.table.Get(content)
		revision := r.revisions[content]
		if !ok && revision == 0 {
			continue
		}
		key := recordKey(content)
		contents = append(contents, content)
		txn.Conditions = append(txn.Conditions, kv.Condition{Key: key, ModRevision: revision})
		txn.Writes = append(txn.Writes, kv.Write{Delete: !ok, Key: key, Value: encodeRecord(record)})
	}
	return contents, txn
}

func recordKey(content uint64) string { return recordPrefix + strconv.FormatUint(content, 16) }

// contentOfKey returns the content that a key is for, or zero if it isn't the key of a record.
func contentOfKey(key string) uint64 {
	digits, ok := strings.CutPrefix(key, recordPrefix)
	content, err := strconv.ParseUint(digits, 16, 64)
	if !ok || err != nil {
		return 0
	}
	return content
}
