package soak

import (
	"fmt"
	"net/http"
	"slices"
	"time"

	"github.com/nutmegway/nutmegway/internal/lab/ledger"
	"github.com/nutmegway/nutmegway/platform/platformtest"
)

// batchesKept judges all readings of accepted batches.
func (r *records) batchesKept(l limits) ledger.Finding {
	f := ledger.Finding{Invariant: BatchesKept, Timed: true}
	for _, g := range r.readings {
		s := r.submissions[g.batch]
		if s == nil || s.accepted.IsZero() || g.sent.Before(s.accepted.Add(l.settle)) {
			continue
		}
		unsure := platformtest.Response{Status: g.status}.NotRun()
		f.Checkf(g.status == http.StatusOK || unsure, "host %d answered %d for batch %s, accepted %s before",
			g.host, g.status, g.batch, g.sent.Sub(s.accepted))
		if g.status == http.StatusOK {
			f.Checkf(g.page.Total == len(s.batch.Items), "host %d says that batch %s has %d items", g.host, g.batch, g.page.Total)
		}
	}
	return f
}

func (r *records) refusedDontRun() ledger.Finding {
	f := ledger.Finding{Invariant: RefusedDontRun}
	runs := r.runsByID()
	for _, s := range r.submissions {
		if !s.accepted.IsZero() || !s.refused {
			continue
		}
		for _, i := range s.batch.Items {
			for _, id := range idsOf(i) {
				f.Checkf(len(runs[id]) == 0, "%s ran, its batch %s was refused", id, s.batch.ID)
			}
		}
	}
	return f
}

// listed calls visit for each result that was read, with its position.
func (r *records) listed(visit func(g reading, position int, result platformtest.Result)) {
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
	r.listed(func(g reading, position int, result platformtest.Result) {
		key := place{g.batch, position}
		if first, ok := results[key]; ok {
			same := first.Item == result.Item && first.Completed == result.Completed && first.Text == result.Text &&
				first.Score == result.Score && slices.Equal(first.Versions, result.Versions)
			f.Checkf(same, "batch %s, position %d held %s and then %s", g.batch, position, first.Item, result.Item)
		}
		results[key] = result
		if other, ok := positions[g.batch+" "+result.Item]; ok {
			f.Checkf(other == key, "batch %s, item %s stands at positions %d and %d", g.batch, result.Item, other.position, position)
		}
		positions[g.batch+" "+result.Item] = key
	})
	return f
}

// textsWhole judges the results: the whole text, or an end that a caller or the
// servers gave reason for.
func (r *records) textsWhole() ledger.Finding {
	f := ledger.Finding{Invariant: TextsWhole}
	items, runs := r.items(), r.runsByID()
	r.listed(func(g reading, _ int, result platformtest.Result) {
		s := items[result.Item]
		if s == nil || s.batch.ID != g.batch {
			f.Checkf(false, "batch %s lists item %s, which isn't its own", g.batch, result.Item)
			return
		}
		if result.Completed {
			f.Checkf(result.Text == platformtest.ItemText(result.Item, bodyOf(s, result.Item)), "item %s has the text %.80q", result.Item, result.Text)
			return
		}
		failed := 0
		for _, id := range idsOf(itemOf(s, result.Item)) {
			failed = max(failed, failures(runs[id]))
		}
		f.Checkf(!s.ending.IsZero() || failed >= platformtest.MaxAttempts || g.sent.Sub(s.accepted) > platformtest.ItemTimeout,
			"item %s was given up after %d failures", result.Item, failed)
	})
	return f
}

// failures counts the runs that the server said had failed.
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

// idsOf returns the ids of the requests that an item may cause.
func idsOf(i platformtest.Item) []string {
	if i.Reward == nil {
		return []string{i.ID}
	}
	return []string{i.ID, i.Reward.ID}
}

// scoresTrue judges the scores by the runs of the items' own rewards: a success that
// began after a whole text was made.
func (r *records) scoresTrue() ledger.Finding {
	f := ledger.Finding{Invariant: ScoresTrue}
	items, runs := r.items(), r.runsByID()
	r.listed(func(g reading, _ int, result platformtest.Result) {
		s := items[result.Item]
		if s == nil || s.batch.ID != g.batch || !result.Completed {
			return
		}
		item := itemOf(s, result.Item)
		if item.Reward == nil {
			f.Checkf(result.Score == "", "item %s has the score %q and no reward", result.Item, result.Score)
			return
		}
		after := slices.ContainsFunc(runs[item.Reward.ID], func(run platformtest.Run) bool {
			return run.Stamp == result.Score && !run.Failed && slices.ContainsFunc(runs[item.ID], func(text platformtest.Run) bool {
				return !text.Completed.IsZero() && !text.Completed.After(run.Started)
			})
		})
		f.Checkf(after, "item %s has the score %q, which no reward call after its text gave", result.Item, result.Score)
	})
	return f
}

// versionsTrue judges the versions that results name by those that servers used.
func (r *records) versionsTrue() ledger.Finding {
	f := ledger.Finding{Invariant: VersionsTrue}
	items, runs := r.items(), r.runsByID()
	r.listed(func(_ reading, _ int, result platformtest.Result) {
		if !result.Completed || items[result.Item] == nil {
			return
		}
		used := map[int64]bool{}
		for _, run := range runs[result.Item] {
			for version := range run.Versions {
				used[version] = true
			}
		}
		f.Checkf(len(result.Versions) > 0, "item %s names no version", result.Item)
		for _, version := range result.Versions {
			f.Checkf(used[version] && version >= items[result.Item].batch.MinVersion, "item %s names version %d, used were %v, allowed from %d on",
				result.Item, version, used, items[result.Item].batch.MinVersion)
		}
	})
	return f
}

// endsKept judges the runs that began after a confirmed end, unless something
// befell a host meanwhile.
func (r *records) endsKept(l limits) ledger.Finding {
	f := ledger.Finding{Invariant: EndsKept, Timed: true}
	runs := r.runsByID()
	for _, s := range r.submissions {
		if s.ended.IsZero() {
			continue
		}
		late := ""
		for _, i := range s.batch.Items {
			for _, id := range idsOf(i) {
				for _, run := range runs[id] {
					if run.Started.After(s.ended.Add(l.cancel)) && r.calm(everyone, run.Started.Add(-l.contact), run.Started) {
						late = fmt.Sprintf("%s began %s after the end of batch %s", id, run.Started.Sub(s.ended), s.batch.ID)
					}
				}
			}
		}
		f.Checkf(late == "", "%s", late)
	}
	return f
}

// runsToTheEnd judges the batches that nobody ended by the last readings.
func (r *records) runsToTheEnd() ledger.Finding {
	f := ledger.Finding{Invariant: RunsToTheEnd, Timed: true}
	lists := map[string]int{}
	for _, g := range r.readings {
		if g.final {
			lists[g.batch] = max(lists[g.batch], g.page.Next)
		}
	}
	for _, s := range r.submissions {
		if s.accepted.IsZero() || !s.ending.IsZero() {
			continue
		}
		f.Checkf(lists[s.batch.ID] == len(s.batch.Items), "batch %s, accepted %s, lists %d of %d items at the end",
			s.batch.ID, s.accepted.Format(time.TimeOnly), lists[s.batch.ID], len(s.batch.Items))
	}
	return f
}

func (r *records) bodiesKept() ledger.Finding {
	f := ledger.Finding{Invariant: BodiesKept}
	items := r.items()
	for _, b := range r.bodies {
		f.Checkf(b.status == http.StatusOK && b.body == bodyOf(items[b.item], b.item),
			"item %s of batch %s gave %d and %.40q", b.item, b.batch, b.status, b.body)
	}
	return f
}
