package soak

import (
	"fmt"
	"net/http"
	"slices"
	"time"

	"github.com/nutmegway/nutmegway/internal/lab/ledger"
	"github.com/nutmegway/nutmegway/platform/platformtest"
)

// batchesKept checks that every host knows an accepted batch, with the right number of
// items, once l.settle has passed since the acceptance. A host may also refuse the read as
// not run.
func (r *records) batchesKept(l limits) ledger.Finding {
	f := ledger.Finding{Invariant: BatchesKept, Timed: true}
	for _, g := range r.readings {
		s := r.submissions[g.batch]
		if s == nil || s.accepted.IsZero() || g.sent.Before(s.accepted.Add(l.settle)) {
			continue
		}
		notRun := platformtest.Response{Status: g.status}.NotRun()
		f.Checkf(g.status == http.StatusOK || notRun, "host %d answered status %d for batch %s, accepted %s before",
			g.host, g.status, g.batch, g.sent.Sub(s.accepted))
		if g.status == http.StatusOK {
			f.Checkf(g.page.Total == len(s.batch.Items), "host %d reports %d items for batch %s, expected %d", g.host, g.page.Total, g.batch, len(s.batch.Items))
		}
	}
	return f
}

func (r *records) refusedBatchesNotRun() ledger.Finding {
	f := ledger.Finding{Invariant: RefusedBatchesNotRun}
	runs := r.runsByID()
	for _, s := range r.submissions {
		if !s.accepted.IsZero() || !s.refused {
			continue
		}
		for _, i := range s.batch.Items {
			for _, id := range idsOf(i) {
				f.Checkf(len(runs[id]) == 0, "request %s ran although its batch %s was refused", id, s.batch.ID)
			}
		}
	}
	return f
}

// forEachResult calls visit for each result of each reading, with its position in the
// batch.
func (r *records) forEachResult(visit func(g reading, position int, result platformtest.Result)) {
	for _, g := range r.readings {
		for i, result := range g.page.Results {
			visit(g, g.page.After+i, result)
		}
	}
}

func (r *records) positionsFixed() ledger.Finding {
	f := ledger.Finding{Invariant: PositionsFixed}
	type place struct {
		batch    string
		position int
	}
	results, positions := map[place]platformtest.Result{}, map[string]place{}
	r.forEachResult(func(g reading, position int, result platformtest.Result) {
		key := place{g.batch, position}
		if first, ok := results[key]; ok {
			same := first.Item == result.Item && first.Completed == result.Completed && first.Text == result.Text &&
				first.Score == result.Score && slices.Equal(first.Versions, result.Versions)
			f.Checkf(same, "batch %s, position %d: result of item %s was followed by a different result of item %s", g.batch, position, first.Item, result.Item)
		}
		results[key] = result
		if other, ok := positions[g.batch+" "+result.Item]; ok {
			f.Checkf(other == key, "batch %s lists item %s at positions %d and %d", g.batch, result.Item, other.position, position)
		}
		positions[g.batch+" "+result.Item] = key
	})
	return f
}

// textsComplete checks that each result belongs to the batch, that each completed result
// has the whole text of one software version, and that each abandoned item has a cause: an end of the batch sent
// by the trainer, platformtest.MaxAttempts failed runs, or the item's time limit.
func (r *records) textsComplete() ledger.Finding {
	f := ledger.Finding{Invariant: TextsComplete}
	items, runs := r.items(), r.runsByID()
	r.forEachResult(func(g reading, _ int, result platformtest.Result) {
		s := items[result.Item]
		if s == nil || s.batch.ID != g.batch {
			f.Checkf(false, "batch %s lists item %s of another batch", g.batch, result.Item)
			return
		}
		if result.Completed {
			whole := slices.ContainsFunc(platformtest.SoftwareVersions(), func(software string) bool {
				return result.Text == platformtest.ItemText(result.Item, bodyOf(s, result.Item), software)
			})
			f.Checkf(whole, "item %s has the wrong text %.80q", result.Item, result.Text)
			return
		}
		failed := 0
		for _, id := range idsOf(itemOf(s, result.Item)) {
			failed = max(failed, failures(runs[id]))
		}
		f.Checkf(!s.endSent.IsZero() || failed >= platformtest.MaxAttempts || g.sent.Sub(s.accepted) > platformtest.ItemTimeout,
			"item %s was abandoned after %d failures without cause", result.Item, failed)
	})
	return f
}

// failures returns the number of runs that the server reported as failed.
func failures(runs []platformtest.Run) int {
	failed := 0
	for _, run := range runs {
		if run.Failed {
			failed++
		}
	}
	return failed
}

func itemOf(s *submission, id string) platformtest.Item {
	for _, i := range s.batch.Items {
		if i.ID == id {
			return i
		}
	}
	return platformtest.Item{}
}

func bodyOf(s *submission, item string) string { return itemOf(s, item).Body }

// idsOf returns the ids of the requests that an item can cause: its own and its reward's.
func idsOf(i platformtest.Item) []string {
	if i.Reward == nil {
		return []string{i.ID}
	}
	return []string{i.ID, i.Reward.ID}
}

// scoresCorrect checks that each score comes from a successful run of the item's own
// reward that began after a run of the item had completed its text.
func (r *records) scoresCorrect() ledger.Finding {
	f := ledger.Finding{Invariant: ScoresCorrect}
	items, runs := r.items(), r.runsByID()
	r.forEachResult(func(g reading, _ int, result platformtest.Result) {
		s := items[result.Item]
		if s == nil || s.batch.ID != g.batch || !result.Completed {
			return
		}
		item := itemOf(s, result.Item)
		if item.Reward == nil {
			f.Checkf(result.Score == "", "item %s has score %q but no reward", result.Item, result.Score)
			return
		}
		after := slices.ContainsFunc(runs[item.Reward.ID], func(run platformtest.Run) bool {
			return run.Signature == result.Score && !run.Failed && slices.ContainsFunc(runs[item.ID], func(text platformtest.Run) bool {
				return !text.Completed.IsZero() && !text.Completed.After(run.Started)
			})
		})
		f.Checkf(after, "item %s has score %q, which no reward run after its text returned", result.Item, result.Score)
	})
	return f
}

// versionsCorrect checks that results name weight versions that servers used, none older
// than the batch's minimum.
func (r *records) versionsCorrect() ledger.Finding {
	f := ledger.Finding{Invariant: VersionsCorrect}
	items, runs := r.items(), r.runsByID()
	r.forEachResult(func(_ reading, _ int, result platformtest.Result) {
		if !result.Completed || items[result.Item] == nil {
			return
		}
		used := map[int64]bool{}
		for _, run := range runs[result.Item] {
			for version := range run.Versions {
				used[version] = true
			}
		}
		f.Checkf(len(result.Versions) > 0, "item %s names no weight version", result.Item)
		for _, version := range result.Versions {
			f.Checkf(used[version] && version >= items[result.Item].batch.MinVersion, "item %s names weight version %d, servers used %v, minimum is %d",
				result.Item, version, used, items[result.Item].batch.MinVersion)
		}
	})
	return f
}

// endsHonored checks that no run of a batch begins more than l.cancel after the end of
// the batch was confirmed. Runs that began during a disturbance or within l.recovery
// after one don't count.
func (r *records) endsHonored(l limits) ledger.Finding {
	f := ledger.Finding{Invariant: EndsHonored, Timed: true}
	runs := r.runsByID()
	for _, s := range r.submissions {
		if s.endConfirmed.IsZero() {
			continue
		}
		violation := ""
		for _, i := range s.batch.Items {
			for _, id := range idsOf(i) {
				for _, run := range runs[id] {
					if run.Started.After(s.endConfirmed.Add(l.cancel)) && r.undisturbed(allHosts, run.Started.Add(-l.recovery), run.Started) {
						violation = fmt.Sprintf("request %s began %s after the end of batch %s was confirmed", id, run.Started.Sub(s.endConfirmed), s.batch.ID)
					}
				}
			}
		}
		f.Checkf(violation == "", "%s", violation)
	}
	return f
}

// batchesComplete checks that the final readings of each accepted batch that was not
// ended list all its items.
func (r *records) batchesComplete() ledger.Finding {
	f := ledger.Finding{Invariant: BatchesComplete, Timed: true}
	counts := map[string]int{}
	for _, g := range r.readings {
		if g.final {
			counts[g.batch] = max(counts[g.batch], g.page.Next)
		}
	}
	for _, s := range r.submissions {
		if s.accepted.IsZero() || !s.endSent.IsZero() {
			continue
		}
		f.Checkf(counts[s.batch.ID] == len(s.batch.Items), "batch %s, accepted at %s, lists %d of %d items at the end of the run",
			s.batch.ID, s.accepted.Format(time.TimeOnly), counts[s.batch.ID], len(s.batch.Items))
	}
	return f
}

func (r *records) bodiesKept() ledger.Finding {
	f := ledger.Finding{Invariant: BodiesKept}
	items := r.items()
	for _, b := range r.bodies {
		f.Checkf(b.status == http.StatusOK && b.body == bodyOf(items[b.item], b.item),
			"body of item %s of batch %s: got status %d and %.40q", b.item, b.batch, b.status, b.body)
	}
	return f
}
