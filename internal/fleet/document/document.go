// Package document parses, validates and stores service documents. A document is
// an INI file in which a team configures one service.
package document

import "time"

// ServiceKind is the kind of a service's backend servers.
type ServiceKind string

// The kinds of services.
const (
	KindModelEngine ServiceKind = "model-engine"
	KindPlain       ServiceKind = "plain"
)

// RepeatPolicy says whether a request may be sent to a backend server more than once.
type RepeatPolicy string

// The values of RepeatPolicy.
const (
	// RepeatAlways marks an idempotent request, which may be retried.
	RepeatAlways RepeatPolicy = "always"
	// RepeatNever marks a request that is sent at most once. With an
	// Idempotency-Key from its caller it may be retried, because the key keeps
	// it from running twice.
	RepeatNever RepeatPolicy = "never"
)

// Document is the configuration of one service.
type Document struct {
	Addresses Addresses
	Admission Admission
	Poison    Poison
	Retry     Retry
	Rollout   Rollout
	Service   Service
	// Shares maps a trainer or team to its weight in the division of tokens.
	Shares  map[string]float64
	Weights Weights
}

// Service is the section [service].
type Service struct {
	Kind ServiceKind
	Name string
	Team string
}

// Addresses is the section [addresses].
type Addresses struct {
	// Count is the number of entry host addresses returned to a caller.
	Count int
	// KeepFor is how long a caller may cache the addresses.
	KeepFor time.Duration
}

// Admission is the section [admission].
type Admission struct {
	// CheckDeadline is the time limit of a check whose caller sets no deadline.
	CheckDeadline time.Duration
	// QueueLimit is the maximum number of requests queued for one backend server.
	QueueLimit int
	// RolloutFloor is the share of tokens reserved for rollouts while checks are
	// queued, from 0 to 1.
	RolloutFloor float64
	// SlotLimit caps the requests in flight on one backend server. Zero means
	// that only the adaptive limit applies.
	SlotLimit int
}

// Retry is the section [retry] with the sections [repeat "METHOD /path"].
type Retry struct {
	// Budget is the share of requests that may be retries, from 0 to 1.
	Budget float64
	// Default applies to requests that match no rule.
	Default RepeatPolicy
	Hedge   bool
	// KeepKeys is how long the response for an idempotency key is retained.
	KeepKeys time.Duration
	// Rules are tried in order; the first match applies.
	Rules []RepeatRule
}

// RepeatRule is one section [repeat "METHOD /path-prefix"].
type RepeatRule struct {
	Method     string
	PathPrefix string
	Repeat     RepeatPolicy
}

// Rollout is the section [rollout].
type Rollout struct {
	// IdleWeight and StalenessWeight are the relative costs that the team assigns
	// to idle time of its trainers and to staleness of their samples.
	IdleWeight float64
	// SurplusSamples is the number of surplus samples that may be started in a group.
	SurplusSamples  int
	StalenessWeight float64
}

// Weights is the section [weights].
type Weights struct {
	// Adapters are the names of the adapters loaded on each engine.
	Adapters []string
	// CapacityFloor is the minimum share of engines that keep serving during a
	// weight swap, from 0 to 1.
	CapacityFloor float64
	// FencingEnforced says that the engines reject weight-load orders with a stale
	// fencing token.
	FencingEnforced bool
	Model           string
	Role            string
}

// Poison is the section [poison].
type Poison struct {
	// CrashLimit is the number of crashes after which content is quarantined.
	CrashLimit int
	// QuarantineFor is how long requests with quarantined content are refused.
	QuarantineFor time.Duration
}

// Accepted is a document as committed to the store, with the metadata of its edit.
type Accepted struct {
	// At is the time of the edit by the clock of the node that received it.
	At time.Time
	// Author is the team or operator who made the edit.
	Author string
	// ChangeID identifies the edit that produced the document.
	ChangeID string
	Document Document
	// Revision is the store revision at which the edit was committed.
	Revision int64
	// Text is the document as the team wrote it.
	Text string
}
