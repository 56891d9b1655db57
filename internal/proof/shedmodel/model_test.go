package shedmodel_test

import (
	"flag"
	"testing"
	"time"

	"egrethaven/internal/proof/shedmodel"
)

const ms = time.Millisecond

// seeds is 3 for the table of docs/design/overload.md.
var seeds = flag.Uint64("seeds", 1, "number of runs of each scenario")

// fraserline returns the mix of requests of Fraserline with one VM in each failure domain.
// Five times the rates use the connections of so few VMs to about 60 %.
func fraserline() shedmodel.Config {
	return shedmodel.Config{VMs: 3, Domains: 3, Shards: 10, Replicas: 3, Conns: 1, MinCoverage: 0.9,
		Routes: []shedmodel.Route{
			{Name: "rank", Rate: 62.9 * 5.3, FanOut: true, Service: 11 * ms, Objective: 150 * ms, Deadline: 600 * ms, Priority: 1},
			{Name: "lookup", Rate: 36.4 * 5.3, FanOut: true, Service: 3800 * time.Microsecond, Objective: 50 * ms, Deadline: 300 * ms},
			{Name: "document", Rate: 21 * 5.3, Service: 90 * ms, Objective: 800 * ms, Deadline: 2000 * ms, Priority: 2},
		},
		Accounts: map[string]float64{"a": 0.4, "b": 0.3, "c": 0.2, "d": 0.1},
		Pause:    120 * ms, PauseEvery: 3 * time.Second, Length: 9 * time.Second}
}

// kerlann is like fraserline for Kerlann, whose routes have the same priority.
func kerlann() shedmodel.Config {
	c := fraserline()
	c.Routes = []shedmodel.Route{
		{Name: "rank", Rate: 79.3 * 3, FanOut: true, Service: 15 * ms, Objective: 150 * ms, Deadline: 1200 * ms},
		{Name: "lookup", Rate: 26.4 * 3, FanOut: true, Service: 5 * ms, Objective: 60 * ms, Deadline: 600 * ms},
		{Name: "document", Rate: 26.4 * 3, Service: 120 * ms, Objective: 500 * ms, Deadline: 5000 * ms},
	}
	c.Accounts = map[string]float64{"": 1}
	c.Pause, c.PauseEvery = 150*ms, 3600*ms
	return c
}

// play adds up the results of some seeds, none of which the constants were chosen with.
func play(c shedmodel.Config, o shedmodel.Order, f shedmodel.Fault) shedmodel.Result {
	sum := shedmodel.Result{}
	for seed := range *seeds {
		c.Order, c.Faults, c.Seed = o, []shedmodel.Fault{f}, 11+seed
		sum.Add(shedmodel.Run(c))
	}
	return sum
}

// TestOrders plays the load scenarios with each order, and checks for the order in use what
// callers get by route, account and failure domain: it is worth more than with the others except strict
// priority, which starves the lowest priority, and nobody is starved. -v -seeds 3
// prints the table of docs/design/overload.md.
func TestOrders(t *testing.T) {
	for site, config := range map[string]shedmodel.Config{"Fraserline": fraserline(), "Kerlann": kerlann()} {
		for name, f := range map[string]shedmodel.Fault{
			"calm":                               {},
			"1.7 times the load":                 {From: 2 * time.Second, To: 5 * time.Second, Load: 1.7},
			"one account at 7.5 times":           {From: 2 * time.Second, To: 8500 * ms, Load: 7.5, Account: "c"},
			"a tenth of the shards 9 times slow": {From: 2 * time.Second, To: 6 * time.Second, Shards: 1, Slow: 9},
			"connections of a shard gone":        {From: 2 * time.Second, To: 4 * time.Second, Shards: 1, Gone: true},
			"a failure domain partitioned":       {From: 2 * time.Second, To: 5 * time.Second, Domain: 1},
		} {
			if config.Accounts[f.Account] == 0 && f.Account != "" {
				continue
			}
			t.Run(site+"/"+name, func(t *testing.T) {
				values := map[shedmodel.Order]float64{}
				for o := shedmodel.FirstCome; o <= shedmodel.ValuePerWork; o++ {
					r := play(config, o, f)
					values[o] = r.Value(config.Routes)
					t.Logf("%s: value %.0f, %+v", o, values[o], r.Total(nil))
					for _, route := range config.Routes {
						c := r.Total(func(k shedmodel.Key) bool { return k.Route == route.Name })
						t.Logf("%s %s: in time %.2f, served %.2f", o, route.Name, float64(c.InTime)/float64(c.Asked), c.Served())
					}
					if o == shedmodel.ValuePerWork {
						checkFairness(t, config, r)
					}
				}
				own := values[shedmodel.ValuePerWork]
				if own < values[shedmodel.FirstCome] || own < 0.99*values[shedmodel.EarliestDeadline] || own < 0.97*values[shedmodel.StrictPriority] {
					t.Errorf("value per work is worth less than others: %v", values)
				}
			})
		}
	}
}

// checkFairness checks that no account and no failure domain is served less than 0.8 times as
// often as all, no route less than 0.8 times as often as those of its priority, and none less than a quarter
// of the mean.
func checkFairness(t *testing.T, c shedmodel.Config, r shedmodel.Result) {
	all := r.Total(nil).Served()
	for a := range c.Accounts {
		if s := r.Total(func(k shedmodel.Key) bool { return k.Account == a }).Served(); s < 0.8*all {
			t.Errorf("account %q is served %.2f, all %.2f", a, s, all)
		}
	}
	for d := 1; d <= c.Domains; d++ {
		if s := r.Total(func(k shedmodel.Key) bool { return k.Domain == d }).Served(); s < 0.8*all {
			t.Errorf("domain %d is served %.2f, all %.2f", d, s, all)
		}
	}
	priority := map[string]int{}
	for _, route := range c.Routes {
		priority[route.Name] = route.Priority
	}
	for _, route := range c.Routes {
		s := r.Total(func(k shedmodel.Key) bool { return k.Route == route.Name }).Served()
		peers := r.Total(func(k shedmodel.Key) bool { return priority[k.Route] == route.Priority }).Served()
		if s < 0.8*peers || s < all/4 {
			t.Errorf("route %s is served %.2f, its priority %.2f, all %.2f", route.Name, s, peers, all)
		}
	}
}
