// Package settings reads and checks the settings file of an entry host.
package settings

import (
	"log/slog"
	"os"
	"strings"
	"time"

	"github.com/nutmegway/nutmegway/internal/base/inifile"
	"github.com/nutmegway/nutmegway/internal/base/kind"
)

// Settings is the settings file of an entry host.
type Settings struct {
	Listen   Listen
	Log      Log
	Node     Node
	PeerTLS  PeerTLS
	Platform Platform
	Shutdown Shutdown
	TLS      TLS
	// Teams maps a team to the SHA-256 of its bearer token in hexadecimal.
	Teams map[string]string
	Trace Trace
}

// Listen is the section [listen]. Each address is an IP address and port.
type Listen struct {
	Admin   string
	Caller  string
	Metrics string
	Peer    string
}

// Log is the section [log].
type Log struct {
	Level slog.Level
}

// Node is the section [node].
type Node struct {
	AvailabilityZone string
	// DataFolder is the path of the folder for bulk data. It is empty on a host without a
	// disk.
	DataFolder string
	// Deployment is the name of the deployment. Nodes refuse calls from other deployments.
	Deployment string
	ID         string
	Region     string
}

// Platform is the section [platform]. KeyValue holds the addresses of the key-value
// service.
type Platform struct {
	// HostList and WeightStore are base URLs without a trailing slash.
	HostList    string
	KeyValue    []string
	WeightStore string
}

// Shutdown is the section [shutdown].
type Shutdown struct {
	// Grace is the longest time that requests in flight have to finish after the
	// addresses that callers keep have expired.
	Grace time.Duration
}

// TLS is the section [tls] and a part of [peer-tls]. Its fields are paths of PEM files.
// Without a certificate, connections aren't encrypted.
type TLS struct {
	Authority   string
	Certificate string
	Key         string
}

// PeerTLS is the section [peer-tls].
type PeerTLS struct {
	TLS
	// DatagramKeys is the path of the file with the keys that seal datagrams.
	DatagramKeys string
}

// Trace is the section [trace].
type Trace struct {
	Endpoint string
	Exporter string
	File     string
	// Ratio is the fraction of requests that are traced, from 0 to 1.
	Ratio float64
}

// The values of the key exporter in section [trace].
const (
	ExporterFile = "file"
	ExporterNone = "none"
	ExporterOTLP = "otlp"
)

const (
	defaultGrace      = 30 * time.Second
	maxGrace          = time.Hour
	defaultTraceRatio = 0.01
	// tokenHashLength is the length of a SHA-256 in hexadecimal digits.
	tokenHashLength = 64
)

// Load reads the file at path. Its error is of kind invalid-settings and lists all
// mistakes in the file, one per line.
func Load(path string) (Settings, error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return Settings{}, kind.Wrap(kind.InvalidSettings, err)
	}
	settings, mistakes := Parse(path, text)
	if len(mistakes) > 0 {
		return Settings{}, kind.New(kind.InvalidSettings, "%s", joinMistakes(mistakes))
	}
	return settings, nil
}

// Parse returns the settings in text and all mistakes in it. Mistakes contain name as the
// file's name.
func Parse(name string, text []byte) (Settings, []inifile.Mistake) {
	r := inifile.New(name, text)
	settings := readSettings(r)
	return settings, r.Mistakes()
}

// Keys returns the names of all keys, as section.key, sorted. The section of a team
// named TEAM represents the sections of all teams.
func Keys() []string {
	r := inifile.New("", []byte("[team \"TEAM\"]\n"))
	readSettings(r)
	return r.RequestedKeys()
}

func readSettings(r *inifile.Reader) Settings {
	return Settings{
		Listen: Listen{
			Admin:   r.Address("listen", "admin", true),
			Caller:  r.Address("listen", "caller", true),
			Metrics: r.Address("listen", "metrics", false),
			Peer:    r.Address("listen", "peer", true),
		},
		Log: Log{Level: readLevel(r)},
		Node: Node{
			AvailabilityZone: r.Required("node", "availability-zone", "the name of an availability zone"),
			DataFolder:       r.Text("node", "data-folder", ""),
			Deployment:       r.Required("node", "deployment", "the name of the deployment"),
			ID:               r.Required("node", "id", "a name that no other entry host has"),
			Region:           r.Required("node", "region", "the name of a region"),
		},
		PeerTLS: readPeerTLS(r),
		Platform: Platform{
			HostList:    readBaseURL(r, "host-list"),
			KeyValue:    r.Addresses("platform", "key-value"),
			WeightStore: readBaseURL(r, "weight-store"),
		},
		Shutdown: Shutdown{
			Grace: r.Duration("shutdown", "grace", defaultGrace, time.Second, maxGrace),
		},
		TLS:   readTLS(r, "tls", false),
		Teams: readTeams(r),
		Trace: readTrace(r),
	}
}

func readLevel(r *inifile.Reader) slog.Level {
	var l slog.Level
	text := r.Choice("log", "level", "info", "debug", "error", "info", "warn")
	if err := l.UnmarshalText([]byte(text)); err != nil {
		r.Reject("log", "level", text, "debug, error, info or warn")
	}
	return l
}

// readBaseURL returns the base URL of a platform service without a trailing slash.
func readBaseURL(r *inifile.Reader, key string) string {
	const allowed = "a base URL, such as http://192.0.2.1:7000"
	value := r.Required("platform", key, allowed)
	if value != "" && !strings.HasPrefix(value, "http://") && !strings.HasPrefix(value, "https://") {
		r.Reject("platform", key, value, allowed)
	}
	return strings.TrimSuffix(value, "/")
}

func readTLS(r *inifile.Reader, section string, needsAuthority bool) TLS {
	t := TLS{
		Authority:   r.Text(section, "authority", ""),
		Certificate: r.Text(section, "certificate", ""),
		Key:         r.Text(section, "key", ""),
	}
	if (t.Certificate == "") != (t.Key == "") {
		r.Reject(section, "key", t.Key, "certificate and key together, or neither")
	}
	if needsAuthority && t.Certificate != "" && t.Authority == "" {
		r.Reject(section, "authority", "", "the file of the authority that signs the nodes' certificates")
	}
	return t
}

func readPeerTLS(r *inifile.Reader) PeerTLS {
	const section = "peer-tls"
	p := PeerTLS{
		DatagramKeys: r.Text(section, "datagram-keys", ""),
		TLS:          readTLS(r, section, true),
	}
	if p.Certificate != "" && p.DatagramKeys == "" {
		r.Reject(section, "datagram-keys", "", "the file of the keys that seal datagrams, when a certificate is set")
	}
	return p
}

// readTeams returns the token hash of each team.
func readTeams(r *inifile.Reader) map[string]string {
	teams := make(map[string]string)
	for _, team := range r.Sections("team") {
		section := inifile.SectionName("team", team)
		hash := r.Required(section, "token-sha256", "the SHA-256 of the token in hexadecimal")
		if hash != "" && len(hash) != tokenHashLength {
			r.Reject(section, "token-sha256", hash, "64 hexadecimal digits")
		}
		teams[team] = hash
	}
	return teams
}

func readTrace(r *inifile.Reader) Trace {
	trace := Trace{
		Endpoint: r.Text("trace", "endpoint", ""),
		Exporter: r.Choice("trace", "exporter", ExporterNone, ExporterFile, ExporterNone, ExporterOTLP),
		File:     r.Text("trace", "file", ""),
		Ratio:    r.Float("trace", "ratio", defaultTraceRatio, 0, 1),
	}
	if trace.Exporter == ExporterOTLP && trace.Endpoint == "" {
		r.Reject("trace", "endpoint", "", "the URL of the collector when exporter is otlp")
	}
	if trace.Exporter == ExporterFile && trace.File == "" {
		r.Reject("trace", "file", "", "a file name when exporter is file")
	}
	return trace
}

func joinMistakes(mistakes []inifile.Mistake) string {
	lines := make([]string, len(mistakes))
	for i, m := range mistakes {
		lines[i] = m.String()
	}
	return strings.Join(lines, "\n")
}
