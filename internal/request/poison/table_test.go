package poison_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"github.com/nutmegway/nutmegway/internal/request/poison"
)

var start = time.Date(2026, 12, 4, 3, 0, 0, 0, time.UTC)

func newIncident(id uint64, at time.Duration, suspects ...poison.Suspect) poison.Incident {
	return poison.Incident{At: start.Add(at), ID: id, Suspects: suspects}
}

func ExampleNormalize() {
	fmt.Println(poison.Normalize("Assess  filing 20261204-17 of\n2f1e0c7a-5f6d-4b8e-9d1c-0a1b2c3d4e5f"))
	// Output: assess filing # of #
}

func TestContentIsQuarantinedAtCrashLimit(t *testing.T) {
	is := is.New(t)
	var table poison.Table
	poisonous, harmless := poison.Suspect{Fingerprint: 1}, poison.Suspect{Fingerprint: 2}
	table.AddIncident(start, newIncident(10, 0, poisonous, harmless))
	table.AddIncident(start, newIncident(10, 0, poisonous, harmless)) // The same crash, reported again.
	is.Equal(table.Verdict(start, 1), poison.Doubtful)
	table.AddIncident(start, newIncident(11, 0, poisonous))
	is.Equal(table.Verdict(start, 1), poison.Isolated)
	table.AddIncident(start, newIncident(12, 0, poisonous))
	is.Equal(table.Verdict(start, 1), poison.Quarantined)
	is.Equal(table.Verdict(start, 2), poison.Doubtful)
	is.Equal(table.Verdict(start.Add(20*time.Minute), 2), poison.Clear) // Suspicion expires,
	is.Equal(table.Verdict(start.Add(2*time.Hour), 1), poison.Clear)    // and so does quarantine.
}

func TestContentWithProgressIsNotQuarantined(t *testing.T) {
	is := is.New(t)
	var table poison.Table
	for i := range uint64(5) { // The response is longer each time.
		table.AddIncident(start, newIncident(i, 0, poison.Suspect{Fingerprint: 1, Position: int(i) * 100}))
	}
	is.Equal(table.Verdict(start, 1), poison.Isolated)
	table.MarkCompleted(start.Add(time.Second), 1)
	is.Equal(table.Verdict(start.Add(time.Second), 1), poison.Clear)
	table.AddIncident(start.Add(time.Second), newIncident(2, 0, poison.Suspect{Fingerprint: 1})) // Late report of an earlier crash.
	is.Equal(table.Verdict(start.Add(time.Second), 1), poison.Clear)
}

// TestMergeOrderDoesNotMatter checks that nodes that merge the same records in
// different orders reach the same verdicts.
func TestMergeOrderDoesNotMatter(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var tables [3]poison.Table
		for i := range rapid.IntRange(1, 12).Draw(t, "crashes") {
			at := time.Duration(i) * time.Second
			incident := newIncident(uint64(i), at, poison.Suspect{Fingerprint: rapid.Uint64Range(1, 3).Draw(t, "content")})
			tables[rapid.IntRange(0, 1).Draw(t, "node")].AddIncident(start.Add(at), incident)
		}
		now := start.Add(time.Minute)
		first, second := tables[0].Records(now), tables[1].Records(now)
		tables[0].Merge(now, second)
		tables[1].Merge(now, first)
		tables[2].Merge(now, second)
		tables[2].Merge(now, first)
		for content := range uint64(4) {
			verdict := tables[0].Verdict(now, content)
			if tables[1].Verdict(now, content) != verdict || tables[2].Verdict(now, content) != verdict {
				t.Fatalf("content %d has the verdicts %v, %v and %v, want the same", content, verdict, tables[1].Verdict(now, content), tables[2].Verdict(now, content))
			}
		}
	})
}

func TestTableIsBounded(t *testing.T) {
	is := is.New(t)
	table := poison.Table{MaxRecords: 8}
	for i := range uint64(100) {
		table.AddIncident(start, newIncident(i, time.Duration(i)*time.Second, poison.Suspect{Fingerprint: i}))
	}
	records := table.Records(start)
	is.Equal(len(records), 8)
	is.Equal(records[0].Fingerprint, uint64(92)) // The latest records are kept.
}
