package trainer

import (
	"fmt"
	"maps"
	"time"

	backend "github.com/nutmegway/nutmegway/internal/backend/engine"
	"github.com/nutmegway/nutmegway/internal/standin/engine"
)

// CheckResult is the result of checking a trainer's samples.
type CheckResult struct {
	Delivered  int
	Duplicated int
	// FirstViolation describes the first violation found.
	FirstViolation string
	// Idle is the time that the trainer waited for samples.
	Idle time.Duration
	// Lost counts the samples of accepted groups that did not arrive.
	Lost               int
	Mislabelled        int
	OverStalenessBound int
	// Staleness is summed over all samples. The staleness of a sample is the newest
	// version that was confirmed before the read, minus the version of the sample's
	// oldest token, but at least zero.
	Staleness int64
	Steps     int
	// Wrong counts the samples that were not requested, or whose text or number of
	// tokens differs from the expected completion.
	Wrong int
}

// Log records what a trainer submitted and received.
type Log struct {
	Groups  map[string]Group
	Idle    time.Duration
	Records []Record
	Steps   int
}

// Log returns a snapshot of what the trainer submitted and received so far.
func (t *Trainer) Log() Log {
	t.mu.Lock()
	defer t.mu.Unlock()
	return Log{Groups: maps.Clone(t.groups), Idle: t.idle, Records: append([]Record(nil), t.records...), Steps: t.steps}
}

type generationKey struct {
	prompt string
	seed   int64
}

// tokenVersions holds, for each token of a generation, the set of versions that
// generated it.
type tokenVersions map[int]map[int64]bool

// Check checks the log against the ground truth of the engines.
func Check(log Log, truths ...engine.GroundTruth) CheckResult {
	result := CheckResult{Delivered: len(log.Records), Idle: log.Idle, Steps: log.Steps}
	truth := indexRuns(truths)
	seen := map[string]map[int]bool{}
	for _, record := range log.Records {
		s := record.Sample
		group, ok := log.Groups[s.Group]
		if !ok || s.Index < 0 || s.Index >= group.SampleCount {
			result.countViolation(&result.Wrong, s, "was not requested")
			continue
		}
		if seen[s.Group] == nil {
			seen[s.Group] = map[int]bool{}
		}
		if seen[s.Group][s.Index] {
			result.countViolation(&result.Duplicated, s, "arrived twice")
		}
		seen[s.Group][s.Index] = true
		result.checkRecord(record, group, truth)
	}
	for id, group := range log.Groups {
		if missing := group.SampleCount - len(seen[id]); group.Accepted && missing > 0 {
			result.Lost += missing
			result.recordViolation(fmt.Sprintf("group %s lacks %d of %d samples", id, missing, group.SampleCount))
		}
	}
	return result
}

func (r *CheckResult) checkRecord(record Record, group Group, truth map[generationKey]tokenVersions) {
	s := record.Sample
	seed := group.Seed + int64(s.Index)
	text, tokens := engine.ExpectedCompletion(group.Prompt, seed, group.MaxTokens)
	if s.Text != text || s.Tokens != tokens {
		r.countViolation(&r.Wrong, s, "differs from the expected completion")
	}
	next, oldest := 0, int64(0)
	labelled := true
	for i, span := range s.Spans {
		labelled = labelled && span.From == next
		next = span.To
		if i == 0 || span.Version < oldest {
			oldest = span.Version
		}
		for token := span.From; token < span.To; token++ {
			labelled = labelled && truth[generationKey{prompt: group.Prompt, seed: seed}][token][span.Version]
		}
	}
	if !labelled || next != tokens {
		r.countViolation(&r.Mislabelled, s, "has spans that do not match the versions that generated its tokens")
	}
	r.Staleness += max(0, record.Published-oldest)
	if record.Published-oldest > group.StalenessBound {
		r.countViolation(&r.OverStalenessBound, s, fmt.Sprintf("has tokens of version %d, but version %d was published and the staleness bound is %d", oldest, record.Published, group.StalenessBound))
	}
}

func (r *CheckResult) countViolation(counter *int, s Sample, what string) {
	*counter++
	r.recordViolation(fmt.Sprintf("sample %s/%d %s", s.Group, s.Index, what))
}

func (r *CheckResult) recordViolation(what string) {
	if r.FirstViolation == "" {
		r.FirstViolation = what
	}
}

func indexRuns(truths []engine.GroundTruth) map[generationKey]tokenVersions {
	all := map[generationKey]tokenVersions{}
	for _, truth := range truths {
		for _, runs := range truth.Runs {
			for _, run := range runs {
				key := generationKey{prompt: run.Prompt, seed: run.Seed}
				if all[key] == nil {
					all[key] = tokenVersions{}
				}
				all[key].add(run.Resumed, run.Segments)
			}
		}
	}
	return all
}

func (v tokenVersions) add(token int, segments []backend.Segment) {
	for _, segment := range segments {
		for range segment.Tokens {
			if v[token] == nil {
				v[token] = map[int64]bool{}
			}
			v[token][segment.Version] = true
			token++
		}
	}
}

// Add returns the sum of two results, with the FirstViolation of r or, if r has none,
// that of other.
func (r CheckResult) Add(other CheckResult) CheckResult {
	r.Delivered += other.Delivered
	r.Duplicated += other.Duplicated
	r.Idle += other.Idle
	r.Lost += other.Lost
	r.Mislabelled += other.Mislabelled
	r.OverStalenessBound += other.OverStalenessBound
	r.Staleness += other.Staleness
	r.Steps += other.Steps
	r.Wrong += other.Wrong
	r.recordViolation(other.FirstViolation)
	return r
}
