// Package host assembles an entry host that keeps everything that must last in
// the key-value service, and runs it from start to graceful shutdown.
package host

import (
	"errors"
	"net"
	"time"

	"github.com/zeebo/errs"
)

var classError = errs.Class("host")

const (
	// DefaultGrace is the time from the order to stop to the end of the process.
	DefaultGrace = 8 * time.Second
	// defaultAddressTTL is how long callers keep an answer with addresses. Some
	// keep it three times as long, which still ends within the grace.
	defaultAddressTTL = 1500 * time.Millisecond
	// leaveTTLs is how many times the time that callers keep addresses a leaving host
	// still takes requests. Callers have asked again by then, but for the few that
	// keep an answer three times as long.
	leaveTTLs = 2
	// defaultConfigBound and defaultDrainBound hold if the deployment names none.
	defaultConfigBound = 2 * time.Second
	defaultDrainBound  = 2 * time.Second
	// operatorsShare is the share of the configuration's bound for which a dropped
	// history of the store may stay unnoticed.
	operatorsShare = 0.75
	// gatherShare is the share of the bound on leaving servers that passes between
	// news of servers and hosts. Two such pauses follow each other where a host
	// follows a reader.
	gatherShare = 0.15
)

// Settings are the checked settings of one process.
type Settings struct {
	// CallerAddress is where callers connect; empty for a host that serves none.
	CallerAddress string
	// ConfigBound is within what time an accepted configuration is in force
	// everywhere; zero means two seconds.
	ConfigBound time.Duration
	// DirectoryAddress is where callers ask for addresses; empty if they don't.
	DirectoryAddress string
	// DrainBound is within what time a leaving server gets no new work; zero means
	// two seconds.
	DrainBound time.Duration
	// Grace is the time that a process has to end after it was told to.
	Grace time.Duration
	ID    string
	// MaxAddressTTL bounds the time that callers keep an answer with addresses.
	MaxAddressTTL time.Duration
	// MaxDescriptors is the number of descriptors that the process may open; zero
	// leaves callers' connections unbounded.
	MaxDescriptors int
	// MetricsAddress is where metrics are read; empty serves none.
	MetricsAddress string
	// OrderSpacing is the least time between orders of two hosts to one engine.
	OrderSpacing time.Duration
	// PeerAddress is where other hosts connect; empty leaves the store as the
	// only way between hosts.
	PeerAddress string
	// Processor is the host's share of a core, or its cores; zero if it isn't known.
	Processor float64
	// ReadyAddress is where the platform asks whether the host is ready.
	ReadyAddress string
	// ResultRetention is how long results are kept after a submission.
	ResultRetention time.Duration
	StoreAddress    string
	Zone            string
}

// Check returns all mistakes at once.
func (s Settings) Check() error {
	var mistakes []error
	if s.ID == "" {
		mistakes = append(mistakes, classError.New("the id of the host is missing"))
	}
	if s.ConfigBound < 0 || s.DrainBound < 0 || s.Grace < 0 || s.MaxAddressTTL < 0 || s.OrderSpacing < 0 || s.ResultRetention < 0 {
		mistakes = append(mistakes, classError.New("a duration is negative"))
	}
	if s.Processor < 0 || s.MaxDescriptors < 0 {
		mistakes = append(mistakes, classError.New("a limit of the process is negative"))
	}
	addresses := map[string]string{
		"callers": s.CallerAddress, "directory": s.DirectoryAddress, "metrics": s.MetricsAddress, "peers": s.PeerAddress, "ready": s.ReadyAddress,
	}
	for name, address := range addresses {
		if err := checkAddress(address); address != "" && err != nil {
			mistakes = append(mistakes, classError.New("address for %s: %v", name, err))
		}
	}
	if err := checkAddress(s.StoreAddress); err != nil {
		mistakes = append(mistakes, classError.New("address of the store: %v", err))
	}
	return errors.Join(mistakes...)
}

// Changed returns the names of the settings that differ. All of them take effect
// at the next start.
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
		{"grace", s.Grace != other.Grace},
		{"id", s.ID != other.ID},
		{"max-address-ttl", s.MaxAddressTTL != other.MaxAddressTTL},
		{"max-descriptors", s.MaxDescriptors != other.MaxDescriptors},
		{"metrics-address", s.MetricsAddress != other.MetricsAddress},
		{"order-spacing", s.OrderSpacing != other.OrderSpacing},
		{"peer-address", s.PeerAddress != other.PeerAddress},
		{"processor", s.Processor != other.Processor},
		{"ready-address", s.ReadyAddress != other.ReadyAddress},
		{"result-retention", s.ResultRetention != other.ResultRetention},
		{"store-address", s.StoreAddress != other.StoreAddress},
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

// leaveWait is how long a leaving host still takes requests.
func (s Settings) leaveWait() time.Duration { return leaveTTLs * s.addressTTL() }

// operatorsWait bounds how long one watch of the operators' keys waits at the store.
func (s Settings) operatorsWait() time.Duration {
	return share(operatorsShare, s.ConfigBound, defaultConfigBound)
}

// gatherChanges is the pause after news of servers and hosts.
func (s Settings) gatherChanges() time.Duration {
	return share(gatherShare, s.DrainBound, defaultDrainBound)
}

// share returns a share of bound, or of fallback if there is none.
func share(part float64, bound, fallback time.Duration) time.Duration {
	if bound <= 0 {
		bound = fallback
	}
	return time.Duration(part * float64(bound))
}
