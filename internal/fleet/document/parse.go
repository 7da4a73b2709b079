package document

import (
	"bytes"
	"cmp"
	"fmt"
	"regexp"
	"slices"
	"strings"
	"time"

	"github.com/nutmegway/nutmegway/internal/base/inifile"
	"github.com/nutmegway/nutmegway/internal/base/kind"
)

// MaxBytes is the maximum size of a document's text in bytes. The store accepts
// values of up to a megabyte, and the text grows in its JSON record, where some
// characters are escaped.
const MaxBytes = 256 << 10

const (
	fileName    = "document"
	maxMistakes = 200

	maxAdapters       = 32
	maxAddresses      = 16
	maxCrashLimit     = 10
	maxSurplusSamples = 64
	maxQueueLimit     = 100_000
	maxShares         = 1_000
	maxSlotLimit      = 4_096
	maxWeight         = 1_000
	minShare          = 0.001
	maxDeadline       = time.Hour
	maxKeepFor        = 10 * time.Minute
	maxKeepKeys       = 24 * time.Hour
	maxQuarantine     = 7 * 24 * time.Hour
	minDeadline       = 100 * time.Millisecond
	minKeepKeys       = time.Minute
	allowedName       = "1 to 63 lower-case letters, digits and hyphens, beginning with a letter or digit"
	allowedArtifact   = "1 to 128 letters, digits, dots, hyphens, underscores and slashes"
	allowedRule       = `a section such as [repeat "POST /bookings"] with a method or * and a path`
)

var (
	artifactPattern = regexp.MustCompile(`^[A-Za-z0-9][A-Za-z0-9._/-]{0,127}$`)
	namePattern     = regexp.MustCompile(`^[a-z0-9][a-z0-9-]{0,62}$`)
	rulePattern     = regexp.MustCompile(`^([A-Z]{1,16}|\*) (/[!-~]{0,511})$`)
)

// Mistake is one error in a document, with its line number.
type Mistake = inifile.Mistake

// Defaults returns a document in which each key has its default value.
func Defaults() Document {
	return Document{
		Addresses: Addresses{Count: 3, KeepFor: 30 * time.Second},
		Admission: Admission{CheckDeadline: 30 * time.Second, QueueLimit: 256, RolloutFloor: 0.2},
		Poison:    Poison{CrashLimit: 3, QuarantineFor: time.Hour},
		Retry:     Retry{Budget: 0.08, Default: RepeatNever, KeepKeys: time.Hour},
		Rollout:   Rollout{IdleWeight: 1, StalenessWeight: 1},
		Weights:   Weights{CapacityFloor: 0.5, Role: "generate"},
	}
}

// Parse parses a document in the INI format and returns its mistakes sorted by
// line. The document must not be used if there are any.
func Parse(text []byte) (Document, []Mistake) {
	if len(text) > MaxBytes {
		return Document{}, []Mistake{{
			Allowed: fmt.Sprintf("at most %d bytes", MaxBytes),
			File:    fileName,
			Found:   fmt.Sprintf("%d bytes", len(text)),
			Line:    bytes.Count(text[:MaxBytes], []byte("\n")) + 1,
		}}
	}
	r := inifile.New(fileName, text)
	d := readDocument(r)
	mistakes := r.Mistakes()
	return d, mistakes[:min(len(mistakes), maxMistakes)]
}

// Keys returns the sorted names, as section.key, of all keys in a document of
// kind k. The repeat and shares sections, whose names or keys the team chooses,
// are represented by one placeholder each.
func Keys(k ServiceKind) []string {
	text := fmt.Sprintf("[service]\nkind = %s\n[repeat \"POST /path\"]\n[shares]\nSHARE = 1\n", k)
	r := inifile.New(fileName, []byte(text))
	readDocument(r)
	return r.RequestedKeys()
}

func readDocument(r *inifile.Reader) Document {
	d := Defaults()
	readService(r, &d.Service)
	readAddresses(r, &d.Addresses)
	readAdmission(r, &d.Admission)
	readRetry(r, &d.Retry)
	switch d.Service.Kind {
	case KindPlain:
		readRules(r, &d.Retry)
	default:
		readPoison(r, &d.Poison)
		readRollout(r, &d.Rollout)
		readShares(r, &d)
		readWeights(r, &d)
	}
	return d
}

// InvalidError returns an error of kind invalid-document that lists the mistakes.
func InvalidError(mistakes []Mistake) error {
	lines := make([]string, len(mistakes))
	for i, mistake := range mistakes {
		lines[i] = mistake.String()
	}
	return kind.New(kind.InvalidDocument, "%s", strings.Join(lines, "\n"))
}

func readService(r *inifile.Reader, s *Service) {
	const section = "service"
	s.Kind = ServiceKind(r.Choice(section, "kind", "", string(KindModelEngine), string(KindPlain)))
	if s.Kind == "" && r.Line(section, "kind") == 0 {
		r.Reject(section, "kind", "", "one of "+string(KindModelEngine)+", "+string(KindPlain))
	}
	s.Name = readName(r, section, "name")
	s.Team = readName(r, section, "team")
}

func readName(r *inifile.Reader, section, key string) string {
	name := r.Text(section, key, "")
	if !namePattern.MatchString(name) {
		r.Reject(section, key, name, allowedName)
	}
	return name
}

func readAddresses(r *inifile.Reader, a *Addresses) {
	const section = "addresses"
	a.Count = r.Int(section, "count", a.Count, 1, maxAddresses)
	a.KeepFor = r.Duration(section, "keep-for", a.KeepFor, time.Second, maxKeepFor)
}

func readAdmission(r *inifile.Reader, a *Admission) {
	const section = "admission"
	a.CheckDeadline = r.Duration(section, "check-deadline", a.CheckDeadline, minDeadline, maxDeadline)
	a.QueueLimit = r.Int(section, "queue-limit", a.QueueLimit, 0, maxQueueLimit)
	a.RolloutFloor = r.Float(section, "rollout-floor", a.RolloutFloor, 0, 1)
	a.SlotLimit = r.Int(section, "slot-limit", a.SlotLimit, 0, maxSlotLimit)
}

func readRetry(r *inifile.Reader, retry *Retry) {
	const section = "retry"
	retry.Budget = r.Float(section, "budget", retry.Budget, 0, 1)
	retry.Default = readRepeat(r, section, "default", retry.Default)
	retry.Hedge = r.Bool(section, "hedge", retry.Hedge)
	retry.KeepKeys = r.Duration(section, "keep-keys", retry.KeepKeys, minKeepKeys, maxKeepKeys)
}

func readRepeat(r *inifile.Reader, section, key string, fallback RepeatPolicy) RepeatPolicy {
	return RepeatPolicy(r.Choice(section, key, string(fallback), string(RepeatAlways), string(RepeatNever)))
}

// readRules reads the sections [repeat "METHOD /path"] in order of line number.
func readRules(r *inifile.Reader, retry *Retry) {
	const prefix = "repeat"
	names := r.Sections(prefix)
	slices.SortFunc(names, func(a, b string) int {
		return cmp.Compare(r.Line(inifile.SectionName(prefix, a), ""), r.Line(inifile.SectionName(prefix, b), ""))
	})
	for _, name := range names {
		section := inifile.SectionName(prefix, name)
		if r.Line(section, "") == 0 {
			continue
		}
		match := rulePattern.FindStringSubmatch(name)
		if match == nil {
			r.Text(section, "repeat", "")
			r.Reject(section, "", name, allowedRule)
			continue
		}
		if r.Line(section, "repeat") == 0 {
			r.Reject(section, "repeat", "", "one of "+string(RepeatAlways)+", "+string(RepeatNever))
		}
		retry.Rules = append(retry.Rules, RepeatRule{
			Method:     match[1],
			PathPrefix: match[2],
			Repeat:     readRepeat(r, section, "repeat", RepeatNever),
		})
	}
}

func readPoison(r *inifile.Reader, p *Poison) {
	const section = "poison"
	p.CrashLimit = r.Int(section, "crash-limit", p.CrashLimit, 1, maxCrashLimit)
	p.QuarantineFor = r.Duration(section, "quarantine-for", p.QuarantineFor, time.Second, maxQuarantine)
}

func readRollout(r *inifile.Reader, rollout *Rollout) {
	const section = "rollout"
	rollout.IdleWeight = r.Float(section, "idle-weight", rollout.IdleWeight, 0, maxWeight)
	rollout.SurplusSamples = r.Int(section, "over-ask", rollout.SurplusSamples, 0, maxSurplusSamples)
	rollout.StalenessWeight = r.Float(section, "staleness-weight", rollout.StalenessWeight, 0, maxWeight)
}

func readShares(r *inifile.Reader, d *Document) {
	const section = "shares"
	names := r.Keys(section)
	if len(names) > maxShares {
		r.Reject(section, "", fmt.Sprintf("%d keys", len(names)), fmt.Sprintf("at most %d keys", maxShares))
		names = names[:maxShares]
	}
	for _, name := range names {
		if !namePattern.MatchString(name) {
			r.Reject(section, name, name, allowedName)
		}
		if d.Shares == nil {
			d.Shares = make(map[string]float64, len(names))
		}
		d.Shares[name] = r.Float(section, name, 1, minShare, maxWeight)
	}
}

func readWeights(r *inifile.Reader, d *Document) {
	const section = "weights"
	w := &d.Weights
	w.CapacityFloor = r.Float(section, "capacity-floor", w.CapacityFloor, 0, 1)
	w.FencingEnforced = r.Bool(section, "fencing-enforced", w.FencingEnforced)
	w.Model = readArtifact(r, section, "model", d.Service.Name)
	w.Role = readArtifact(r, section, "role", w.Role)
	text := r.Text(section, "adapters", "")
	if text == "" {
		return
	}
	for adapter := range strings.SplitSeq(text, ",") {
		w.Adapters = append(w.Adapters, strings.TrimSpace(adapter))
	}
	valid := !slices.ContainsFunc(w.Adapters, func(adapter string) bool { return !artifactPattern.MatchString(adapter) })
	if !valid || len(w.Adapters) > maxAdapters {
		r.Reject(section, "adapters", text, fmt.Sprintf("at most %d names, separated by commas, each of %s", maxAdapters, allowedArtifact))
	}
}

func readArtifact(r *inifile.Reader, section, key, fallback string) string {
	name := r.Text(section, key, fallback)
	if r.Line(section, key) > 0 && !artifactPattern.MatchString(name) {
		r.Reject(section, key, name, allowedArtifact)
	}
	return name
}
