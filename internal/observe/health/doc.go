// Package health answers "is search down?" for each search and failure
// domain, from evidence alone.
//
// Evidence is how a real or canary query of a node in that failure domain
// ended, a short time ago. A verdict is ok only when fresh evidence is of complete
// answers, but for one in a hundred. Evidence older than a stated age, and a failure domain of
// which no node answers, make the verdict unknown, never ok.
//
// A Collector keeps the evidence of its own node. Judge turns the evidence of
// one search into a State; Merge turns the states that the nodes of one
// failure domain report into the domain's State. Both are pure.
//
// # Usage
//
//	c := health.New(health.Config{Node: id, Domain: d, Searches: names, MaxAge: 4 * time.Second, Ask: engine.Ask, ...})
//	c.Start()
//	defer c.Close()
//	c.Observe("warranty", answer)
//	r := c.Fleet(ctx)
package health
