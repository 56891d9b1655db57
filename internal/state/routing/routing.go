// Package routing holds the configuration that maps requests to services: the
// routes, the services behind them and the limits on what callers may send.
//
// A Config is immutable once it is built. Each request uses one Config from
// its first decision to its last, so that all parts of an answer belong to
// one version.
//
// # Usage
//
//	c, err := routing.New(routing.Version(7), routes, services, limits)
//	r, ok := c.Lookup("search.example", "/claims/2f")
package routing

import (
	"slices"
	"strings"
	"time"

	"github.com/juju/errors"
)

// Version numbers configurations; a higher one is newer. 0 is none.
type Version int64

// Idempotency tells how often a request may run.
type Idempotency int

// The values of Repeat.
const (
	// AtMostOnce: one searcher at most may begin to run the request.
	AtMostOnce Idempotency = iota
	// Idempotent: the request may run on several searchers.
	Idempotent
)

// WeightedService is one service of a weighted split.
type WeightedService struct {
	Service string
	// Weight relative to the other shares; above 0.
	Weight float64
}

// Route tells what to do with the requests of one host and path prefix.
type Route struct {
	Name        string
	Host        string
	Prefix      string
	Idempotency Idempotency
	// Timeout bounds how long a request is kept waiting; 0 is unbounded.
	Timeout time.Duration
	// LatencyObjective is the latency within which an answer is worth most; 0 if
	// there is none.
	LatencyObjective time.Duration
	// Priority ranks the route; 0 is the most urgent.
	Priority int
	// MaxAttempts is how many searchers of a service one request may reach.
	MaxAttempts int
	// WeightedServices are the services among which requests are divided. It is empty
	// for a fan-out.
	WeightedServices []WeightedService
	// Shards are the services that each hold one shard of the index. It is
	// empty unless the route fans out.
	Shards []string
	// TopK is how many records a fan-out returns.
	TopK int
	// MinCoverage is the least share of the shards that an answer needs.
	MinCoverage float64
}

// IsFanOut tells whether requests go to all shards of an index.
func (r *Route) IsFanOut() bool { return len(r.Shards) > 0 }

// Service is a set of interchangeable searchers.
type Service struct {
	Name string
	// MaxConns is how many connections a searcher accepts from all VMs.
	MaxConns int
}

// Limits bound what callers may send.
type Limits struct {
	// MaxHeaderBytes and BodyBytes bound one request; 0 is unbounded.
	MaxHeaderBytes int
	MaxBodyBytes   int64
	// HeaderTimeout bounds the time for a request's header.
	HeaderTimeout time.Duration
	// IdleTimeout closes connections without a request.
	IdleTimeout time.Duration
}

// Config is one version of the routing configuration.
type Config struct {
	Version  Version
	Routes   []Route
	Services map[string]Service
	Limits   Limits

	hosts map[string][]*Route
}

// New checks a configuration and builds its index of hosts.
func New(v Version, routes []Route, services []Service, l Limits) (*Config, error) {
	c := &Config{Version: v, Routes: routes, Limits: l, Services: map[string]Service{}, hosts: map[string][]*Route{}}
	for _, s := range services {
		c.Services[s.Name] = s
	}
	for i := range routes {
		r := &routes[i]
		if err := r.check(); err != nil {
			return nil, errors.Annotatef(err, "route %q", r.Name)
		}
		h := strings.ToLower(r.Host)
		c.hosts[h] = append(c.hosts[h], r)
	}
	for _, rs := range c.hosts {
		slices.SortStableFunc(rs, func(a, b *Route) int { return len(b.Prefix) - len(a.Prefix) })
	}
	return c, nil
}

// check reports a route that cannot be served.
func (r *Route) check() error {
	switch {
	case !strings.HasPrefix(r.Prefix, "/") || !strings.HasSuffix(r.Prefix, "/"):
		return errors.Errorf("prefix %q does not begin and end with a slash", r.Prefix)
	case len(r.WeightedServices) == 0 && len(r.Shards) == 0:
		return errors.New("names no service")
	case len(r.WeightedServices) > 0 && len(r.Shards) > 0:
		return errors.New("names both a service and shards")
	case r.IsFanOut() && r.Idempotency != Idempotent:
		return errors.New("fans out but is not idempotent")
	}
	for _, s := range r.WeightedServices {
		if s.Weight <= 0 {
			return errors.Errorf("service %q has weight %g", s.Service, s.Weight)
		}
	}
	return nil
}

// Lookup returns the route of a host with the longest prefix that begins
// path. The port of a host is ignored.
func (c *Config) Lookup(host, path string) (*Route, bool) {
	if i := strings.LastIndexByte(host, ':'); i >= 0 {
		host = host[:i]
	}
	for _, r := range c.hosts[strings.ToLower(host)] {
		if strings.HasPrefix(path, r.Prefix) {
			return r, true
		}
	}
	return nil, false
}
