package poison

import (
	"cmp"
	"maps"
	"slices"
	"time"
)

const (
	// DefaultCrashLimit is the crash limit when none is set.
	DefaultCrashLimit = 3
	// DefaultQuarantine is how long content is refused when no time is set.
	DefaultQuarantine = time.Hour
	// DefaultMaxRecords bounds a Table whose MaxRecords is zero.
	DefaultMaxRecords = 4096
	// suspicionPeriod is how long a crash counts against the content that the server ran.
	suspicionPeriod = 15 * time.Minute
	// sharedCrashFactor applies if other content was in flight at the crashes. The
	// content is then quarantined after sharedCrashFactor times the crash limit.
	sharedCrashFactor = 2
	// maxCrashesPerRecord bounds the crashes that a Record keeps, the latest ones.
	maxCrashesPerRecord = 16
	// minProgressTokens is in tokens. If the response to the content has grown by more
	// than this since the earlier crashes, the latest crash is attributed to another cause.
	minProgressTokens = 16
)

// Verdict says how content may be run.
type Verdict int

// The verdicts, from the least to the most restrictive.
const (
	// Clear content runs without restriction.
	Clear Verdict = iota
	// Doubtful content runs once at a time in the whole fleet.
	Doubtful
	// Isolated content runs once at a time and without others on its server.
	Isolated
	// Quarantined content is refused.
	Quarantined
)

// Suspect is content that a server was running when it crashed.
type Suspect struct {
	Fingerprint uint64
	// Exempt content was submitted to run later. It is assumed never to cause a crash,
	// so no crash counts against it, but it counts as content that ran beside the others.
	Exempt bool
	// Position is the number of tokens of its response at the time of the crash.
	Position int
}

// Incident is one crash of a backend server.
type Incident struct {
	At time.Time
	// ID is the same on every node that learns of the crash.
	ID uint64
	// Limit is the number of crashes after which content is refused; zero means
	// DefaultCrashLimit.
	Limit int
	// QuarantineFor is how long content is refused; zero means DefaultQuarantine.
	QuarantineFor time.Duration
	// Suspects are the contents that the server was running.
	Suspects []Suspect
}

// Crash is the entry for an Incident in the Record of one content.
type Crash struct {
	At time.Time
	ID uint64
	// Position is the number of tokens of the content's response at the time of the crash.
	Position int
}

// Record is what a node knows about one content. Merging is commutative: the records
// of two nodes merge to the same record in either order.
type Record struct {
	// ClearedAt is when the content last ran to completion. Crashes before it don't count.
	ClearedAt   time.Time
	Crashes     []Crash
	Fingerprint uint64
	Limit       int
	// QuarantinedUntil is zero until the content has been quarantined.
	QuarantinedUntil time.Time
	// Trials counts the requests with the content that were let through after a quarantine.
	Trials int
}

// Table holds the records of contents that have crashed servers. The zero value is
// ready to use. A Table is not safe for concurrent use, and callers pass in the time.
type Table struct {
	// MaxRecords bounds the number of records; zero means DefaultMaxRecords.
	MaxRecords int

	records map[uint64]Record
}

// AddIncident adds a crash to the records of its suspects. If a single content was in
// flight, it is quarantined once the number of its crashes reaches the limit. This does not
// apply if its response has become longer since the earlier crashes, by more than
// minProgressTokens, because something else then crashed the server. If several contents
// were in flight, each is only suspected until its crashes reach sharedCrashFactor times
// the limit.
func (t *Table) AddIncident(now time.Time, incident Incident) {
	for _, suspect := range incident.Suspects {
		if suspect.Exempt {
			continue
		}
		record := t.records[suspect.Fingerprint]
		record.Fingerprint = suspect.Fingerprint
		record.Limit = incident.limit()
		known := slices.ContainsFunc(record.Crashes, func(c Crash) bool { return c.ID == incident.ID })
		if !known && incident.At.After(record.ClearedAt) {
			record.Crashes = append(record.Crashes, Crash{At: incident.At, ID: incident.ID, Position: suspect.Position})
		}
		alone := len(incident.Suspects) == 1
		if record.proven(now, alone && !record.progressed(incident.ID, suspect.Position)) {
			record.QuarantinedUntil = later(record.QuarantinedUntil, incident.At.Add(incident.quarantine()))
		}
		t.put(now, record)
	}
}

func (i Incident) limit() int {
	if i.Limit <= 0 {
		return DefaultCrashLimit
	}
	return i.Limit
}

func (i Incident) quarantine() time.Duration {
	if i.QuarantineFor <= 0 {
		return DefaultQuarantine
	}
	return i.QuarantineFor
}

// proven reports whether the content has crashed enough servers to be quarantined.
// attributable says that the latest crash is attributed to this content alone, because it
// was the only one in flight and made no progress beyond its earlier crashes.
func (r Record) proven(now time.Time, attributable bool) bool {
	crashes := r.activeCrashes(now)
	return attributable && crashes >= r.Limit || crashes >= sharedCrashFactor*r.Limit
}

func (r Record) lastCrash() time.Time {
	var last time.Time
	for _, crash := range r.Crashes {
		last = later(last, crash.At)
	}
	return last
}

// progressed reports whether the response was longer at the crash with the id, by more
// than minProgressTokens, than at all other crashes.
func (r Record) progressed(id uint64, position int) bool {
	furthest, others := 0, false
	for _, crash := range r.Crashes {
		if crash.ID != id {
			furthest, others = max(furthest, crash.Position), true
		}
	}
	return others && position > furthest+minProgressTokens
}

// activeCrashes returns the number of crashes within suspicionPeriod since which the
// content hasn't run to completion.
func (r Record) activeCrashes(now time.Time) int {
	n := 0
	for _, crash := range r.Crashes {
		if crash.At.After(r.ClearedAt) && now.Sub(crash.At) < suspicionPeriod {
			n++
		}
	}
	return n
}

// Verdict returns how the content may be run.
func (t *Table) Verdict(now time.Time, fingerprint uint64) Verdict {
	record, ok := t.records[fingerprint]
	if !ok {
		return Clear
	}
	crashes := record.activeCrashes(now)
	switch {
	case now.Before(record.QuarantinedUntil):
		return Quarantined
	case crashes == 0:
		return Clear
	case crashes >= record.Limit-1:
		return Isolated
	default:
		return Doubtful
	}
}

// MarkCompleted records that the content ran to completion, so that its earlier crashes
// no longer count. It has no effect during a quarantine.
func (t *Table) MarkCompleted(now time.Time, fingerprint uint64) {
	if record, ok := t.records[fingerprint]; ok && !now.Before(record.QuarantinedUntil) {
		record.ClearedAt = later(record.ClearedAt, now)
		t.put(now, record)
	}
}

// Delete removes the record of the content.
func (t *Table) Delete(fingerprint uint64) { delete(t.records, fingerprint) }

// Get returns the record of the content and whether there is one.
func (t *Table) Get(fingerprint uint64) (Record, bool) {
	record, ok := t.records[fingerprint]
	return record, ok
}

// Records removes expired records and returns the others, sorted by fingerprint.
func (t *Table) Records(now time.Time) []Record {
	t.expire(now)
	return slices.SortedFunc(maps.Values(t.records), func(a, b Record) int {
		return cmp.Compare(a.Fingerprint, b.Fingerprint)
	})
}

// Merge merges records of another node into the table. Of each time, limit and number of
// trials it keeps the larger one, and it adds the crashes that are not yet known.
func (t *Table) Merge(now time.Time, records []Record) {
	for _, other := range records {
		record := t.records[other.Fingerprint]
		record.Fingerprint = other.Fingerprint
		record.Limit = max(record.Limit, other.Limit)
		record.ClearedAt = later(record.ClearedAt, other.ClearedAt)
		record.QuarantinedUntil = later(record.QuarantinedUntil, other.QuarantinedUntil)
		record.Trials = max(record.Trials, other.Trials)
		for _, crash := range other.Crashes {
			if !slices.ContainsFunc(record.Crashes, func(c Crash) bool { return c.ID == crash.ID }) {
				record.Crashes = append(record.Crashes, crash)
			}
		}
		t.put(now, record)
	}
}

// put stores a record with its latest crashes, sorted by time.
func (t *Table) put(now time.Time, record Record) {
	if t.records == nil {
		t.records = make(map[uint64]Record)
	}
	record.Crashes = slices.Clone(record.Crashes)
	slices.SortFunc(record.Crashes, func(a, b Crash) int {
		return cmp.Or(a.At.Compare(b.At), cmp.Compare(a.ID, b.ID))
	})
	record.Crashes = record.Crashes[max(0, len(record.Crashes)-maxCrashesPerRecord):]
	t.records[record.Fingerprint] = record
	t.evict(now)
}

// expiry returns the time after which the record has no effect on its content.
func (r Record) expiry() time.Time {
	expiry := r.QuarantinedUntil
	for _, crash := range r.Crashes {
		expiry = later(expiry, crash.At.Add(suspicionPeriod))
	}
	return expiry
}

func (t *Table) expire(now time.Time) {
	maps.DeleteFunc(t.records, func(_ uint64, r Record) bool { return !now.Before(r.expiry()) })
}

// evict removes the records that expire first while there are more than MaxRecords.
func (t *Table) evict(now time.Time) {
	limit := t.MaxRecords
	if limit == 0 {
		limit = DefaultMaxRecords
	}
	if len(t.records) <= limit {
		return
	}
	t.expire(now)
	for len(t.records) > limit {
		var soonest Record
		first := true
		for _, r := range t.records {
			if first || r.expiry().Before(soonest.expiry()) {
				soonest, first = r, false
			}
		}
		delete(t.records, soonest.Fingerprint)
	}
}

func later(a, b time.Time) time.Time {
	if b.After(a) {
		return b
	}
	return a
}
