package bookings

import (
	"maps"
	"slices"

	"github.com/nutmegway/nutmegway/internal/lab/report"
	standinetcd "github.com/nutmegway/nutmegway/internal/standin/etcd"
)

// counts holds the numbers of bookings by outcome. Each booking is counted once as
// answered, notRun, falseNotRun (it ran although notRun was reported) or unknown. It may
// also count as duplicated (it ran more than once) and as lost (its answer was wrong or
// it was answered without running).
type counts struct {
	answered    int
	duplicated  int
	falseNotRun int
	lost        int
	notRun      int
	unknown     int
}

// classify compares the callers' answers with the effects at the servers.
func classify(bookings []booking, effects map[string]int) counts {
	var c counts
	for _, b := range bookings {
		ran := effects[b.id]
		if ran > 1 {
			c.duplicated++
		}
		if b.wrong || (b.answered && ran == 0) {
			c.lost++
		}
		switch {
		case b.answered:
			c.answered++
		case b.notRun && ran > 0:
			c.falseNotRun++
		case b.notRun:
			c.notRun++
		default:
			c.unknown++
		}
	}
	return c
}

// writeReport fills the report from the servers' own records.
func (r *run) writeReport() {
	effects := make(map[string]int)
	for _, server := range r.deployed.Plains {
		for id, n := range server.GroundTruth().Effects {
			effects[id] += n
		}
	}
	for _, keyed := range []bool{true, false} {
		c := classify(slices.DeleteFunc(slices.Clone(r.bookings), func(b booking) bool { return b.keyed != keyed }), effects)
		r.report.AddRow(
			report.Value{Key: "keyed", Value: keyed},
			report.Value{Key: "answered", Value: c.answered},
			report.Value{Key: "not-run", Value: c.notRun},
			report.Value{Key: "unknown", Value: c.unknown},
			report.Value{Key: "p50-ms", Value: quantile(r.latencies[keyed], 0.5)},
			report.Value{Key: "p90-ms", Value: quantile(r.latencies[keyed], 0.9)},
			report.Value{Key: "p99-ms", Value: quantile(r.latencies[keyed], 0.99)},
		)
	}
	for _, k := range slices.Sorted(maps.Keys(r.kinds)) {
		r.report.AddRow(report.Value{Key: "kind", Value: string(k)}, report.Value{Key: "tries", Value: r.kinds[k]})
	}
	keys, size := r.deployed.Store.Keys()
	r.report.AddRow(
		report.Value{Key: "processes", Value: r.Binary != ""},
		report.Value{Key: "store-transactions", Value: int(r.deployed.Store.Calls()[standinetcd.MethodTxn])},
		report.Value{Key: "store-keys", Value: keys},
		report.Value{Key: "store-bytes-per-key", Value: float64(size) / float64(max(keys, 1))},
	)
	r.report.Curves = []report.Curve{
		report.Cumulative("with a key", r.latencies[true]),
		report.Cumulative("without", r.latencies[false]),
	}
	for _, b := range r.bookings {
		if b.mismatch != "" || (b.answered && effects[b.id] == 0) {
			r.report.Requiref(false, "%s (idempotency key: %t) was executed %d times; wrong answer: %q", b.id, b.keyed, effects[b.id], b.mismatch)
		}
	}
	c := classify(r.bookings, effects)
	r.report.Add("bookings", len(r.bookings))
	r.report.Add("doubled", c.duplicated)
	r.report.Add("lost", c.lost)
	r.report.Add("false-not-run", c.falseNotRun)
	r.report.Add("unknown", c.unknown)
	r.report.Requiref(c.duplicated == 0, "%d bookings ran more than once, want 0", c.duplicated)
	r.report.Requiref(c.lost == 0, "%d bookings were confirmed but not executed or got a wrong answer, want 0", c.lost)
	r.report.Requiref(c.falseNotRun == 0, "%d bookings ran although every try was refused as not executed, want 0", c.falseNotRun)
}

func quantile(values []float64, q float64) float64 {
	if len(values) == 0 {
		return 0
	}
	sorted := slices.Sorted(slices.Values(values))
	return sorted[int(float64(len(sorted)-1)*q)]
}
