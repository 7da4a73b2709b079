// Package config holds the configuration that operators write as one document
// for all services: routes, services and limits on what callers send.
package config

import (
	"strings"
	"time"
)

// Repeat says whether a request of a route may run more than once.
type Repeat string

// The values of Repeat. An unknown value is treated as RepeatNever.
const (
	// RepeatBatch marks a route that takes batches of rollouts.
	RepeatBatch Repeat = "batch"
	RepeatFree  Repeat = "free"
	RepeatNever Repeat = "never"
)

// Target is one service of a route with its share of the requests.
type Target struct {
	Service string
	Weight  float64
}

// Route says where requests go whose host is Host and whose path begins with
// Prefix.
type Route struct {
	Host string
	// ItemLimit is how long after a batch was submitted its items may be given up.
	ItemLimit time.Duration
	// MaxAttempts is the highest number of servers that one request may run on.
	MaxAttempts int
	Name        string
	// Objective is the time within which an answer has its full use.
	Objective time.Duration
	Prefix    string
	// Priority is the rank; 0 is the highest.
	Priority int
	Repeat   Repeat
	// ResultsDue is how long after its submission a batch is due.
	ResultsDue time.Duration
	// Resumable marks streams that another server can continue.
	Resumable bool
	// SingleVersion requires that each result is made by one weight version.
	SingleVersion bool
	Streaming     bool
	Targets       []Target
	// Timeout is the longest time that a request is kept waiting.
	Timeout time.Duration
}

// Service is a group of backend servers.
type Service struct {
	HealthPath string
	// MaxConns is the number of connections that one server accepts from all
	// hosts together.
	MaxConns int
	// Models are the models whose weights each server holds; empty for plain
	// services.
	Models []string
	Name   string
	// Slots is the number of requests that a model engine batches.
	Slots int
}

// Limits bound what callers may send.
type Limits struct {
	BodyBytes     int64
	HeaderBytes   int
	HeaderTimeout time.Duration
	IdleTimeout   time.Duration
}

// Config is one version of the configuration. It isn't changed once in use.
type Config struct {
	Limits   Limits
	Routes   []Route
	Services map[string]Service
	// Version grows with each change, in uneven steps.
	Version int64
}

// Match returns the route of host with the longest prefix of path.
func (c *Config) Match(host, path string) (Route, bool) {
	best := -1
	for i, r := range c.Routes {
		if r.Host == host && strings.HasPrefix(path, r.Prefix) && (best < 0 || len(r.Prefix) > len(c.Routes[best].Prefix)) {
			best = i
		}
	}
	if best < 0 {
		return Route{}, false
	}
	return c.Routes[best], true
}

// PickService chooses the service of one request by weight. draw lies in [0, 1).
func (r Route) PickService(draw float64) string {
	var total float64
	for _, t := range r.Targets {
		total += t.Weight
	}
	at := draw * total
	for _, t := range r.Targets {
		if at -= t.Weight; at < 0 {
			return t.Service
		}
	}
	if len(r.Targets) == 0 {
		return ""
	}
	return r.Targets[len(r.Targets)-1].Service
}
