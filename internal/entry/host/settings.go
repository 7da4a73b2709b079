// Package host assembles an entry host that stores all durable state in the key-value
// service, and runs it from start to graceful shutdown.
package host

import (
	"cmp"
	"errors"
	"net"
	"time"

	"github.com/zeebo/errs"
)

var classError = errs.Class("host")

const (
	// DefaultGrace is the time that a process has to exit after the signal to stop.
	DefaultGrace = 8 * time.Second
	// defaultAddressTTL is how long callers may keep an answer with addresses. Some keep
	// it three times as long, which is still shorter than DefaultGrace.
	defaultAddressTTL = 1500 * time.Millisecond
	// leaveTTLMultiple is how long a leaving host accepts requests, as a multiple of the
	// address TTL. Within that time all callers ask for addresses again, except the few
	// that keep an answer for three times the TTL.
	leaveTTLMultiple = 2
	// defaultConfigBound, defaultDrainBound and defaultEndBound apply if the settings leave
	// them zero.
	defaultConfigBound = 2 * time.Second
	defaultDrainBound  = 2 * time.Second
	defaultEndBound    = 3 * time.Second
	// watchShare is the longest time of one watch of the store, as a share of the bound
	// within which its changes have to be known. A compaction of the store's history may
	// stay unnoticed until the watch ends.
	watchShare = 0.7
	// maxAgeShare is the age up to which other hosts rely on this host's copy, as a share of
	// the same bound. It exceeds watchShare by the pause after a change, so that an answer
	// to each watch is enough. The rest of the bound is for a read of the store by the
	// host that relied on this one.
	maxAgeShare = 0.85
	// coalesceDelayShare is the pause after a change of servers or hosts before the next
	// change is read, as a share of the drain bound. Changes in quick succession are then
	// read together. If a host reads from another host, which reads from the store, both
	// hosts pause, so the delays add up.
	coalesceDelayShare = 0.15
)

// Settings are the checked settings of one process.
type Settings struct {
	// CallerAddress is where callers connect. It is empty for a host that serves none.
	CallerAddress string
	// ConfigBound is the time within which an accepted configuration is in force on
	// all hosts. Zero means two seconds.
	ConfigBound time.Duration
	// DirectoryAddress is where callers ask for the addresses of hosts. If it is empty,
	// the host does not answer such requests.
	DirectoryAddress string
	// DrainBound is the time within which new requests to a leaving server stop. Zero
	// means two seconds.
	DrainBound time.Duration
	// DutyAddress is the address of the platform's interface for duties, which one host at a
	// time performs. If empty, the host has no duties.
	DutyAddress string
	// DutyRate is the number of calls a second that the platform's interface for duties
	// accepts from all hosts together. Zero leaves it unbounded.
	DutyRate float64
	// EndBound is the time within which items of an ended batch stop reaching servers.
	// Zero means three seconds.
	EndBound time.Duration
	// Grace is the time that a process has to exit after the signal to stop. Zero
	// means DefaultGrace.
	Grace time.Duration
	ID    string
	// MaxAddressTTL bounds the time for which callers may keep an answer with addresses.
	// If it is zero or above 1.5 s, that time is 1.5 s.
	MaxAddressTTL time.Duration
	// MaxDescriptors is the number of file descriptors that the process may open. Zero
	// leaves callers' connections unbounded.
	MaxDescriptors int
	// MemoryBytes is the memory that the process may use. Zero means that it isn't known.
	MemoryBytes int64
	// MetricsAddress is where metrics are served. If empty, they aren't served.
	MetricsAddress string
	// OrdersServers is set if the hosts order the servers of services whose configuration
	// lets them.
	OrdersServers bool
	// OrderSpacing is the shortest time between two load orders to one engine that come
	// from different hosts.
	OrderSpacing time.Duration
	// PeerAddress is where other hosts connect. If empty, hosts communicate through
	// the store only.
	PeerAddress string
	// Cores is the number of the host's cores, which may be a fraction, or zero if it
	// isn't known.
	Cores float64
	// ReadyAddress is where the platform asks whether the host is ready.
	ReadyAddress string
	// ResultRetention is how long results are kept after the batch was submitted.
	ResultRetention time.Duration
	// RevocationBound is the time within which requests with a key that was taken away stop
	// reaching servers, also from a host that can't reach the store. Zero leaves keys in
	// force until the host learns that they were taken away.
	RevocationBound time.Duration
	StoreAddress    string
	// UsageDelay is the time after the end of a window by which its usage is due.
	UsageDelay time.Duration
	// UsageWindow is the length of the windows for which usage is reported. Zero means that
	// none is.
	UsageWindow time.Duration
	Zone        string
}

// Check returns all invalid settings as one joined error.
func (s Settings) Check() error {
	var problems []error
	if s.ID == "" {
		problems = append(problems, classError.New("the id of the host is missing"))
	}
	problems = append(problems, s.negative()...)
	addresses := map[string]string{
		"callers": s.CallerAddress, "directory": s.DirectoryAddress, "duties": s.DutyAddress, "metrics": s.MetricsAddress, "peers": s.PeerAddress, "ready": s.ReadyAddress,
	}
	for name, address := range addresses {
		if err := checkAddress(address); address != "" && err != nil {
			problems = append(problems, classError.New("address for %s: %v", name, err))
		}
	}
	if err := checkAddress(s.StoreAddress); err != nil {
		problems = append(problems, classError.New("address of the store: %v", err))
	}
	return errors.Join(problems...)
}

// negative returns an error for each duration and each limit below zero.
func (s Settings) negative() []error {
	var problems []error
	for _, d := range []struct {
		name  string
		value time.Duration
	}{
		{"config-bound", s.ConfigBound},
		{"drain-bound", s.DrainBound},
		{"end-bound", s.EndBound},
		{"grace", s.Grace},
		{"max-address-ttl", s.MaxAddressTTL},
		{"order-spacing", s.OrderSpacing},
		{"result-retention", s.ResultRetention},
		{"revocation-bound", s.RevocationBound},
		{"usage-delay", s.UsageDelay},
		{"usage-window", s.UsageWindow},
	} {
		if d.value < 0 {
			problems = append(problems, classError.New("a duration is negative: %s %s", d.name, d.value))
		}
	}
	if s.Cores < 0 || s.MaxDescriptors < 0 || s.MemoryBytes < 0 || s.DutyRate < 0 {
		problems = append(problems, classError.New("a limit of the process is negative: processor %g, max-descriptors %d, memory-bytes %d, duty-rate %g",
			s.Cores, s.MaxDescriptors, s.MemoryBytes, s.DutyRate))
	}
	return problems
}

// Changed returns the names of the settings in which s and other differ. Changed settings
// take effect only at the next start.
func (s Settings) Changed(other Settings) []string {
	var names []string
	for _, field := range []struct {
		name    string
		differs bool
	}{
		{"caller-address", s.CallerAddress != other.CallerAddress},
		{"config-bound", s.ConfigBound != other.ConfigBound},
		{"directory-address", s.DirectoryAddress != other.DirectoryAddress},
		{"drain-bound", s.DrainBound != other.DrainBound},
		{"duty-address", s.DutyAddress != other.DutyAddress},
		{"duty-rate", s.DutyRate != other.DutyRate},
		{"end-bound", s.EndBound != other.EndBound},
		{"grace", s.Grace != other.Grace},
		{"id", s.ID != other.ID},
		{"max-address-ttl", s.MaxAddressTTL != other.MaxAddressTTL},
		{"max-descriptors", s.MaxDescriptors != other.MaxDescriptors},
		{"memory-bytes", s.MemoryBytes != other.MemoryBytes},
		{"metrics-address", s.MetricsAddress != other.MetricsAddress},
		{"order-spacing", s.OrderSpacing != other.OrderSpacing},
		{"orders-servers", s.OrdersServers != other.OrdersServers},
		{"peer-address", s.PeerAddress != other.PeerAddress},
		{"processor", s.Cores != other.Cores},
		{"ready-address", s.ReadyAddress != other.ReadyAddress},
		{"result-retention", s.ResultRetention != other.ResultRetention},
		{"revocation-bound", s.RevocationBound != other.RevocationBound},
		{"store-address", s.StoreAddress != other.StoreAddress},
		{"usage-delay", s.UsageDelay != other.UsageDelay},
		{"usage-window", s.UsageWindow != other.UsageWindow},
		{"zone", s.Zone != other.Zone},
	} {
		if field.differs {
			names = append(names, field.name)
		}
	}
	return names
}

func checkAddress(address string) error {
	_, _, err := net.SplitHostPort(address)
	return err
}

func (s Settings) addressTTL() time.Duration {
	if s.MaxAddressTTL > 0 {
		return min(defaultAddressTTL, s.MaxAddressTTL)
	}
	return defaultAddressTTL
}

func (s Settings) grace() time.Duration {
	if s.Grace > 0 {
		return s.Grace
	}
	return DefaultGrace
}

// leaveWait returns how long a leaving host still accepts requests.
func (s Settings) leaveWait() time.Duration { return leaveTTLMultiple * s.addressTTL() }

func (s Settings) configBound() time.Duration { return cmp.Or(s.ConfigBound, defaultConfigBound) }

func (s Settings) drainBound() time.Duration { return cmp.Or(s.DrainBound, defaultDrainBound) }

func (s Settings) endBound() time.Duration { return cmp.Or(s.EndBound, defaultEndBound) }

// coalesceDelay returns the delay between two reads of changes of servers and hosts.
func (s Settings) coalesceDelay() time.Duration {
	return share(coalesceDelayShare, s.drainBound())
}

// share returns the given part of bound.
func share(part float64, bound time.Duration) time.Duration {
	return time.Duration(part * float64(bound))
}
