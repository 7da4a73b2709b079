package member

import "time"

// Config holds the detector's timeouts and limits.
type Config struct {
	// GoneAfter is how long a node missing from the host list must be unreachable
	// before it is considered gone.
	GoneAfter time.Duration
	// GossipBytes limits the size of the updates in one datagram, in bytes.
	GossipBytes int
	// GossipRate limits the updates sent in all datagrams, in bytes per second.
	GossipRate int
	// IndirectProbes is the number of peers asked to probe a node that missed a
	// direct probe.
	IndirectProbes int
	// PageBytes limits one page of a table exchange, in bytes.
	PageBytes int
	// PageRate limits the pages sent, in bytes per second.
	PageRate int
	// ProbePeriod is the interval between direct probes.
	ProbePeriod time.Duration
	// ProbeTimeout is how long a direct probe may remain unanswered before peers
	// are asked to probe the node.
	ProbeTimeout time.Duration
	// RetryPeriod is the interval between probes of unreachable nodes.
	RetryPeriod time.Duration
	// SuspicionFactor scales the minimum suspicion timeout, which is
	// SuspicionFactor * max(1, log10(nodes)) probe periods.
	SuspicionFactor int
	// SuspicionTimeoutRatio is the ratio of the maximum suspicion timeout to the
	// minimum.
	SuspicionTimeoutRatio int
	// SyncPeriod is the interval between requests for table pages once the first
	// exchange is complete.
	SyncPeriod time.Duration
	// TombstoneRetention is how long the record of a gone node is kept.
	TombstoneRetention time.Duration
}

// DefaultConfig returns a configuration for up to about a thousand nodes.
func DefaultConfig() Config {
	return Config{
		GoneAfter:             10 * time.Minute,
		GossipBytes:           400,
		GossipRate:            800,
		IndirectProbes:        3,
		PageBytes:             700,
		PageRate:              700,
		ProbePeriod:           time.Second,
		ProbeTimeout:          300 * time.Millisecond,
		RetryPeriod:           2 * time.Second,
		SuspicionFactor:       2,
		SuspicionTimeoutRatio: 4,
		SyncPeriod:            10 * time.Second,
		TombstoneRetention:    time.Hour,
	}
}
