// Package health determines the health of each search in each failure domain.
//
// A verdict is based on evidence only: the recent outcomes of callers' queries and
// canary queries on the nodes of the failure domain. The verdict is ok only if
// complete answers outnumber incomplete ones at least 100 to 1. The verdict is
// unknown, never ok, if the evidence is older than the maximum age or no node of the
// failure domain answers.
//
// A Collector collects the evidence of its own node. Evaluate computes the State of one
// search from the evidence of one node, and Merge combines the States that the nodes
// of one failure domain report. Both are pure functions.
//
// # Usage
//
//	c := health.New(health.Config{Node: id, Domain: d, Definitions: defs, MaxAge: 4 * time.Second, RunCanary: engine.Ask, ...})
//	c.Start()
//	defer c.Close()
//	c.RecordAnswer("warranty", answer)
//	r := c.FleetReport(ctx)
package health
