// Package outlier detects backend servers that fail more often than the others
// and ejects them for a limited time. The share of servers that may be ejected at
// once is bounded.
package outlier

import (
	"math"
	"time"
)

const (
	// DefaultMaxShare is the share of the servers that may be ejected at once.
	DefaultMaxShare = 1.0 / 3
	// baseEjection is the duration of a server's first ejection. It doubles with
	// each further one, up to maxEjection. It is reset to baseEjection when a call
	// succeeds and the failure rate is below half of ejectionFailureRate.
	baseEjection = 2 * time.Second
	maxEjection  = time.Minute
	// maxConsecutiveFailures is the number of consecutive failures that ejects a
	// server.
	maxConsecutiveFailures = 3
	// failureWeight is the weight of one call in the moving average of failures.
	failureWeight = 0.2
	// ejectionFailureRate is the moving average of failures above which a server
	// is ejected even if some of its calls succeed.
	ejectionFailureRate = 0.6
	// failureDecay is the time constant with which the moving average decays.
	failureDecay = 30 * time.Second
	// minObservations is the number of calls to a server before its moving average
	// may eject it.
	minObservations = 5
)

// serverState is the call history of one server.
type serverState struct {
	updatedAt           time.Time
	observations        int
	ejectedUntil        time.Time
	consecutiveFailures int
	failureRate         float64
	ejections           int
}

// Detector detects outliers from the results of a node's calls. The zero value is
// ready to use. A Detector takes the time as an argument and is not safe for
// concurrent use.
type Detector struct {
	// MaxShare is the share of servers that may be ejected at once. Zero means
	// DefaultMaxShare.
	MaxShare float64

	servers map[string]*serverState
}

// Observe records the result of a call and may eject the server. serverCount is
// the number of servers of the service.
func (d *Detector) Observe(now time.Time, server string, failed bool, serverCount int) {
	s := d.stateOf(server)
	s.failureRate = s.decayedFailureRate(now)
	s.updatedAt = now
	s.observations++
	if !failed {
		s.consecutiveFailures = 0
		s.failureRate -= failureWeight * s.failureRate
		if s.failureRate < ejectionFailureRate/2 {
			s.ejections = 0
		}
		return
	}
	s.consecutiveFailures++
	s.failureRate += failureWeight * (1 - s.failureRate)
	outlier := s.consecutiveFailures >= maxConsecutiveFailures || (s.observations >= minObservations && s.failureRate > ejectionFailureRate)
	if outlier && !now.Before(s.ejectedUntil) && d.mayEject(now, serverCount) {
		s.ejections++
		s.ejectedUntil = now.Add(min(baseEjection<<min(s.ejections-1, 8), maxEjection))
		s.consecutiveFailures = 0
	}
}

// Ejected reports whether server is ejected at now.
func (d *Detector) Ejected(now time.Time, server string) bool {
	s, ok := d.servers[server]
	return ok && now.Before(s.ejectedUntil)
}

// FailureRate returns the moving average of the failures of server, from 0 to 1.
// A server that fails fast has few calls in flight; with the rate, callers can
// tell it from an idle one.
func (d *Detector) FailureRate(now time.Time, server string) float64 {
	if s, ok := d.servers[server]; ok {
		return s.decayedFailureRate(now)
	}
	return 0
}

// Retain drops the servers for which keep returns false.
func (d *Detector) Retain(keep func(server string) bool) {
	for id := range d.servers {
		if !keep(id) {
			delete(d.servers, id)
		}
	}
}

func (d *Detector) stateOf(server string) *serverState {
	s, ok := d.servers[server]
	if !ok {
		if d.servers == nil {
			d.servers = make(map[string]*serverState)
		}
		s = &serverState{}
		d.servers[server] = s
	}
	return s
}

// mayEject reports whether one more of serverCount servers may be ejected.
func (d *Detector) mayEject(now time.Time, serverCount int) bool {
	share := d.MaxShare
	if share == 0 {
		share = DefaultMaxShare
	}
	ejected := 0
	for _, s := range d.servers {
		if now.Before(s.ejectedUntil) {
			ejected++
		}
	}
	return float64(ejected+1) <= share*float64(serverCount)
}

func (s *serverState) decayedFailureRate(now time.Time) float64 {
	return s.failureRate * math.Exp(-max(0, now.Sub(s.updatedAt).Seconds())/failureDecay.Seconds())
}
