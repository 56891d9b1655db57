// Package shedmodel plays load scenarios on a model of VMs and searchers, to compare the
// orders in which waiting requests may be sent.
//
// Each VM has a number of connections to each searcher, and a queue of sends that wait for
// one. A send occupies its connection for the service time, longer if the searcher is slow
// or pauses meanwhile. A fan-out is answered when all shards have answered, or at its
// objective or later when enough have. The model has no network and no clock of its own:
// equal configurations give equal results.
//
// # Usage
//
//	r := shedmodel.Run(shedmodel.Config{Order: shedmodel.ValuePerWork, Routes: routes, Length: 9 * time.Second, ...})
//	fmt.Println(r.Total(func(k shedmodel.Key) bool { return k.Route == "lookup" }))
package shedmodel

import (
	"math"
	"math/rand/v2"
	"time"

	"egrethaven/internal/query/shedding"
)

// Order is the rule by which the next waiting send is chosen.
type Order int

// The orders.
const (
	FirstCome Order = iota
	StrictPriority
	EarliestDeadline
	// ValuePerWork is the order of package shedding, with its admission.
	ValuePerWork
)

// String returns the name of an order.
func (o Order) String() string {
	return [...]string{"first come", "strict priority", "earliest deadline", "value per work"}[o]
}

// Route describes the requests of one route.
type Route struct {
	Name string
	// Rate is the number of requests a second over all VMs.
	Rate float64
	// FanOut tells that a request needs all shards instead of one.
	FanOut                       bool
	Service, Objective, Deadline time.Duration
	Priority                     int
}

// Fault is a disturbance between two times.
type Fault struct {
	From, To time.Duration
	// Load multiplies the requests, of one account if Account is set; 0 means 1.
	Load    float64
	Account string
	// Slow multiplies the service times of the first Shards shards; 0 means 1. Gone tells
	// that their connections are closed and none can be opened.
	Shards int
	Slow   float64
	Gone   bool
	// Domain is the failure domain that is cut off from the others, counted from 1.
	Domain int
}

// Config describes a deployment and its load.
type Config struct {
	Order Order
	// VMs and the replicas of each shard are spread over the failure domains in turn.
	VMs, Domains, Shards, Replicas int
	// Conns is the number of connections from a VM to a searcher.
	Conns int
	// MinCoverage is the share of the shards that a fan-out needs.
	MinCoverage float64
	Routes      []Route
	// Accounts holds the share of each client account in the requests.
	Accounts map[string]float64
	// Pause and PauseEvery describe the pauses of searchers.
	Pause, PauseEvery time.Duration
	Faults            []Fault
	Length            time.Duration
	Seed              uint64
}

// Key identifies a group of callers.
type Key struct {
	Route, Account string
	// Domain is the failure domain of the VM that got the request, counted from 1.
	Domain int
}

// Count counts the requests of a group by what their callers got.
type Count struct {
	Asked, InTime, Late, Refused, Failed int
}

// Served returns the share of requests that were answered, in time or late.
func (c Count) Served() float64 { return float64(c.InTime+c.Late) / float64(max(c.Asked, 1)) }

// lateWorth is the worth of an answer after the objective in Result.Value.
const lateWorth = 0.4

// Value returns the worth of all answers: that of a request of the highest priority in time
// is 1, each lower priority is worth half, and a late answer lateWorth.
func (r Result) Value(routes []Route) float64 {
	v := 0.0
	for _, route := range routes {
		c := r.Total(func(k Key) bool { return k.Route == route.Name })
		v += math.Pow(0.5, float64(route.Priority)) * (float64(c.InTime) + lateWorth*float64(c.Late))
	}
	return v
}

// add adds another count.
func (c *Count) add(o Count) {
	c.Asked += o.Asked
	c.InTime += o.InTime
	c.Late += o.Late
	c.Refused += o.Refused
	c.Failed += o.Failed
}

// Result holds the counts of all groups of callers.
type Result map[Key]*Count

// Total adds up the groups that match; nil matches all.
func (r Result) Total(match func(Key) bool) Count {
	var t Count
	for k, c := range r {
		if match == nil || match(k) {
			t.add(*c)
		}
	}
	return t
}

// Add adds the counts of another run.
func (r Result) Add(o Result) {
	for k, c := range o {
		if r[k] == nil {
			r[k] = &Count{}
		}
		r[k].add(*c)
	}
}

// request is a request at one VM.
type request struct {
	vm      int
	route   *Route
	class   shedding.Class
	shed    shedding.Request
	count   *Count
	needed  int
	pending int
	got     int
	arrived time.Duration
	done    bool
}

// send is a part of a request for one searcher.
type send struct {
	request *request
	service time.Duration
}

// link is the connections of one VM to one searcher.
type link struct {
	shard, domain int
	busy          int
	queue         []*send
	// running is the service time of the last send.
	running time.Duration
	picker  shedding.Picker
	// pausePhase shifts the pauses of the searcher.
	pausePhase time.Duration
}

// vm is one process of the tier.
type vm struct {
	domain int
	links  []*link
	policy *shedding.Policy
}

// model is the state of a run.
type model struct {
	c      Config
	rng    *rand.Rand
	now    time.Duration
	events events
	vms    []*vm
	result Result
	// accounts holds the names in a fixed order.
	accounts []string
}

// epoch is the time of the start of a run.
var epoch = time.Unix(0, 0)

// at returns a time of the run as the policy takes it.
func at(d time.Duration) time.Time { return epoch.Add(d) }
