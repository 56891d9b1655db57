// Package catalog lists the scenarios of the bench tool.
//
// # Usage
//
//	for _, s := range catalog.All() { fmt.Println(s.Name, s.Help) }
package catalog

import (
	"egrethaven/internal/bench/configspread"
	"egrethaven/internal/bench/control"
	"egrethaven/internal/bench/crash"
	"egrethaven/internal/bench/drain"
	"egrethaven/internal/bench/healthbench"
	"egrethaven/internal/bench/overload"
	"egrethaven/internal/bench/partition"
	"egrethaven/internal/bench/poison"
	"egrethaven/internal/bench/repartition"
	"egrethaven/internal/bench/scenario"
	"egrethaven/internal/bench/silent"
	"egrethaven/internal/bench/steady"
	"egrethaven/internal/bench/straggler"
	"egrethaven/internal/bench/writes"
)

// All returns every scenario.
func All() []scenario.Scenario {
	return []scenario.Scenario{
		steady.Scenario,
		straggler.Scenario,
		overload.Scenario,
		repartition.Scenario,
		crash.Scenario,
		silent.Scenario,
		drain.Scenario,
		partition.Scenario,
		poison.Scenario,
		writes.Scenario,
		healthbench.Scenario,
		configspread.Scenario,
		control.Scenario,
	}
}

// Find returns the scenario with the given name; false if there is none.
func Find(name string) (scenario.Scenario, bool) {
	for _, s := range All() {
		if s.Name == name {
			return s, true
		}
	}
	return scenario.Scenario{}, false
}
