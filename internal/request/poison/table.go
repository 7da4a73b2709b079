package poison

import (
	"cmp"
	"maps"
	"slices"
	"time"
)

const (
	// DefaultCrashLimit applies when a document gives no crash limit.
	DefaultCrashLimit = 3
	// DefaultQuarantine applies when a document gives no time.
	DefaultQuarantine = time.Hour
	// DefaultRecords bounds a Table whose MaxRecords is zero.
	DefaultRecords = 4096
	// suspicionFor is how long a crash counts against the content it ran.
	suspicionFor = 15 * time.Minute
	// certainFactor times the crash limit quarantines content that never
	// crashed a server alone.
	certainFactor = 2
	maxIncidents  = 16
	// progress is the number of tokens by which an answer must have come further
	// to speak for its content.
	progress = 16
)

// Verdict is what may be done with content.
type Verdict int

// The verdicts, from harmless to refused.
const (
	// Clear content runs like any other.
	Clear Verdict = iota
	// Doubtful content runs once at a time in the whole fleet.
	Doubtful
	// Alone content runs once at a time and without others on its server.
	Alone
	// Quarantined content is refused.
	Quarantined
)

// Suspect is a content that a server was running when it crashed.
type Suspect struct {
	Fingerprint uint64
	// Owed content was handed in for later. It never crashes a server by itself, but
	// others ran beside it.
	Owed bool
	// Position is the number of tokens that its answer had.
	Position int
}

// Incident is one crash of a backend server.
type Incident struct {
	At time.Time
	// ID is the same on every node that hears of the crash.
	ID uint64
	// Limit is the number of crashes after which content is refused.
	Limit int
	// QuarantineFor is how long proven content is refused.
	QuarantineFor time.Duration
	// Suspects are the contents that the server was running.
	Suspects []Suspect
}

// Crash is an incident in the record of one content.
type Crash struct {
	At time.Time
	ID uint64
	// Position is the number of tokens that the content's answer had.
	Position int
}

// Record is what a node knows of one content. Records of two nodes merge to the
// same record in either order.
type Record struct {
	// ClearedAt voids the crashes before it: the content has run to its end.
	ClearedAt   time.Time
	Crashes     []Crash
	Fingerprint uint64
	Limit       int
	// QuarantinedUntil is set once the content is proven.
	QuarantinedUntil time.Time
	// Trials counts the copies that were let through after a quarantine.
	Trials int
}

// Table holds the records of suspicious contents. The zero value is ready. It is
// a value without a clock and is guarded by its owner.
type Table struct {
	// MaxRecords bounds the number of records.
	MaxRecords int

	records map[uint64]Record
}

// Crash takes in an incident. A crash with a single content in flight proves
// that content once it has crashed as many servers as the limit says, unless its
// answer had come further than at its earlier crashes: then something else
// crashed the server. A crash with several only makes each doubtful.
func (t *Table) Crash(now time.Time, incident Incident) {
	for _, suspect := range incident.Suspects {
		if suspect.Owed {
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

func (r Record) proven(now time.Time, alone bool) bool {
	crashes := r.count(now)
	return alone && crashes >= r.Limit || crashes >= certainFactor*r.Limit
}

func (r Record) lastCrash() time.Time {
	var last time.Time
	for _, crash := range r.Crashes {
		last = later(last, crash.At)
	}
	return last
}

// progressed reports whether the answer came further than at all other crashes.
func (r Record) progressed(id uint64, position int) bool {
	furthest, others := 0, false
	for _, crash := range r.Crashes {
		if crash.ID != id {
			furthest, others = max(furthest, crash.Position), true
		}
	}
	return others && position > furthest+progress
}

// count returns the number of crashes that still count.
func (r Record) count(now time.Time) int {
	n := 0
	for _, crash := range r.Crashes {
		if crash.At.After(r.ClearedAt) && now.Sub(crash.At) < suspicionFor {
			n++
		}
	}
	return n
}

// Verdict returns what may be done with the content.
func (t *Table) Verdict(now time.Time, fingerprint uint64) Verdict {
	record, ok := t.records[fingerprint]
	if !ok {
		return Clear
	}
	crashes := record.count(now)
	switch {
	case now.Before(record.QuarantinedUntil):
		return Quarantined
	case crashes == 0:
		return Clear
	case crashes >= record.Limit-1:
		return Alone
	default:
		return Doubtful
	}
}

// Ran voids the crashes of content that has run to its end.
func (t *Table) Ran(now time.Time, fingerprint uint64) {
	if record, ok := t.records[fingerprint]; ok && !now.Before(record.QuarantinedUntil) {
		record.ClearedAt = later(record.ClearedAt, now)
		t.put(now, record)
	}
}

// Forget voids all that is known of the content.
func (t *Table) Forget(fingerprint uint64) { delete(t.records, fingerprint) }

// Get returns the record of the content and whether there is one.
func (t *Table) Get(fingerprint uint64) (Record, bool) {
	record, ok := t.records[fingerprint]
	return record, ok
}

// Records returns all records that still matter, by fingerprint.
func (t *Table) Records(now time.Time) []Record {
	t.expire(now)
	return slices.SortedFunc(maps.Values(t.records), func(a, b Record) int {
		return cmp.Compare(a.Fingerprint, b.Fingerprint)
	})
}

// Merge takes in records of another node.
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

func (t *Table) put(now time.Time, record Record) {
	if t.records == nil {
		t.records = make(map[uint64]Record)
	}
	record.Crashes = slices.Clone(record.Crashes)
	slices.SortFunc(record.Crashes, func(a, b Crash) int {
		return cmp.Or(a.At.Compare(b.At), cmp.Compare(a.ID, b.ID))
	})
	record.Crashes = record.Crashes[max(0, len(record.Crashes)-maxIncidents):]
	t.records[record.Fingerprint] = record
	t.bound(now)
}

func (r Record) expires() time.Time {
	expires := r.QuarantinedUntil
	for _, crash := range r.Crashes {
		expires = later(expires, crash.At.Add(suspicionFor))
	}
	return expires
}

func (t *Table) expire(now time.Time) {
	maps.DeleteFunc(t.records, func(_ uint64, r Record) bool { return !now.Before(r.expires()) })
}

// bound forgets the record that matters for the shortest time when there are
// too many.
func (t *Table) bound(now time.Time) {
	limit := t.MaxRecords
	if limit == 0 {
		limit = DefaultRecords
	}
	if len(t.records) <= limit {
		return
	}
	t.expire(now)
	for len(t.records) > limit {
		var soonest Record
		first := true
		for _, r := range t.records {
			if first || r.expires().Before(soonest.expires()) {
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
