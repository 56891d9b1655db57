// Package routing holds the configuration that maps requests to services: the
// routes, the services behind them and the limits on what callers may send.
//
// A Config is immutable. Each request uses a single Config throughout, so that
// all parts of an answer belong to one version.
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

	"egrethaven/internal/state/account"
)

// Version is the version number of a configuration, increasing with each change;
// 0 means no configuration.
type Version int64

// Idempotency determines whether a request may be retried.
type Idempotency int

// The values of Idempotency.
const (
	// AtMostOnce means that at most one searcher may start to run the request.
	AtMostOnce Idempotency = iota
	// Idempotent means that several searchers may run the request.
	Idempotent
)

// WeightedService is a destination of a weighted traffic split.
type WeightedService struct {
	Service string
	// Weight is relative to the other services of the split; above 0.
	Weight float64
}

// Route configures the handling of requests with one host and path prefix.
type Route struct {
	Name        string
	Host        string
	Prefix      string
	Idempotency Idempotency
	// Timeout limits the time until a request is answered; 0 means no limit.
	Timeout time.Duration
	// LatencyObjective is the target latency of an answer; 0 means none.
	LatencyObjective time.Duration
	// Priority is the priority of requests; 0 is the highest.
	Priority int
	// MaxAttempts limits the number of searchers of a service that one request is
	// sent to.
	MaxAttempts int
	// WeightedServices are the services among which requests are split. It is
	// empty for a fan-out route.
	WeightedServices []WeightedService
	// Shards are the services of a fan-out route, one for each shard of the index.
	Shards []string
	// TopK is the number of records that a fan-out returns.
	TopK int
	// MinCoverage is the minimum fraction of the shards, 0 to 1, that a fan-out
	// answer must include.
	MinCoverage float64
	// Public reports whether requests need no key of a client account, and have none.
	Public bool
	// Regions are the regions whose searchers may run requests; empty means all.
	Regions []string
}

// IsFanOut reports whether requests are sent to all shards of an index.
func (r *Route) IsFanOut() bool { return len(r.Shards) > 0 }

// Service is a set of interchangeable searchers.
type Service struct {
	Name string
	// MaxConns is the number of connections that each searcher accepts from all
	// VMs together.
	MaxConns int
	// ColdPerSecond is the number of requests a second that a cold searcher accepts from
	// all VMs together; 0 means no limit.
	ColdPerSecond float64
}

// Limits limits what callers may send.
type Limits struct {
	// MaxHeaderBytes and MaxBodyBytes limit the size of a request; 0 means no
	// limit.
	MaxHeaderBytes int
	MaxBodyBytes   int64
	// HeaderTimeout limits the time for receiving a request's header.
	HeaderTimeout time.Duration
	// IdleTimeout is the time after which an idle connection is closed.
	IdleTimeout time.Duration
}

// Config is one version of the routing configuration.
type Config struct {
	Version  Version
	Routes   []Route
	Services map[string]Service
	Limits   Limits
	// Accounts holds the client accounts; nil if requests need no key.
	Accounts *account.Index

	hosts map[string][]*Route
}

// New returns a configuration, or an error if a route is not valid.
func New(v Version, routes []Route, services []Service, l Limits) (*Config, error) {
	c := &Config{Version: v, Routes: routes, Limits: l, Services: map[string]Service{}, hosts: map[string][]*Route{}}
	for _, s := range services {
		c.Services[s.Name] = s
	}
	for i := range routes {
		r := &routes[i]
		if err := r.validate(); err != nil {
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

// validate returns an error if the route cannot be served.
func (r *Route) validate() error {
	switch {
	case !strings.HasPrefix(r.Prefix, "/") || !strings.HasSuffix(r.Prefix, "/"):
		return errors.Errorf("prefix %q does not begin and end with a slash", r.Prefix)
	case len(r.WeightedServices) == 0 && len(r.Shards) == 0:
		return errors.New("neither a service nor shards are configured")
	case len(r.WeightedServices) > 0 && len(r.Shards) > 0:
		return errors.New("both a service and shards are configured")
	case r.IsFanOut() && r.Idempotency != Idempotent:
		return errors.New("a fan-out route must be idempotent")
	}
	for _, s := range r.WeightedServices {
		if s.Weight <= 0 {
			return errors.Errorf("service %q: weight %g is not above 0", s.Service, s.Weight)
		}
	}
	return nil
}

// Lookup returns the route of host with the longest matching path prefix. It
// ignores a port in host and the case of host.
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
