package e2e

import (
	"context"
	"fmt"
	"os"
	"strings"
	"sync"
)

// definitionDefaults are the settings of a definition unless define has KEY=VALUE.
var definitionDefaults = []struct{ key, value string }{
	{"schema_versions", "1, 2"}, {"reconcile", "newest_revision"}, {"prefer", "coverage"},
	{"deadline", "3s"}, {"extra_load", "0.5"}, {"max_limit", "1000"}, {"writes", "false"},
}

// cmdDefine applies a search definition and waits until all nodes answer.
func (e *testEnv) cmdDefine(c *scriptCmd) {
	var b strings.Builder
	fmt.Fprintf(&b, "[search %q]\nservice = %s\n", c.arg(1), c.arg(2))
	for _, d := range definitionDefaults {
		fmt.Fprintf(&b, "%s = %s\n", d.key, c.value(d.key, d.value))
	}
	file := c.arg(1) + ".ini"
	c.Check(os.WriteFile(e.file(file), []byte(b.String()), 0o600))
	args := []string{c.arg(0), "apply", "-f", file, "--wait"}
	e.cmdCLI(&scriptCmd{TestScript: c.TestScript, args: args})
	e.mu.Lock()
	delete(e.defs, c.arg(1))
	e.mu.Unlock()
	for name := range e.nodes {
		e.cmdAsk(&scriptCmd{TestScript: c.TestScript, args: []string{name, c.arg(1), "poll"}})
	}
}

// cmdCrashes checks that a service's searchers crashed least to most times.
func (e *testEnv) cmdCrashes(c *scriptCmd) {
	n := 0
	for _, s := range e.service(c, c.arg(0)).Searchers {
		n += s.Stats().Crashes
	}
	if most := c.intValue("most", 0); n > most || n < c.intValue("least", 0) {
		c.Fatalf("%d searcher crashes, not between least and most", n)
	}
}

// cmdStopDuring stops a node gracefully while queries are in flight on it. Each
// query must get a complete answer.
func (e *testEnv) cmdStopDuring(c *scriptCmd) {
	const queries = 8
	n, s := e.node(c, c.arg(0)), e.service(c, c.arg(2))
	countRuns := func() (sum int) {
		for _, searcher := range s.Searchers {
			sum += searcher.Stats().Ran
		}
		return sum
	}
	before := countRuns()
	errs := make([]error, queries)
	var wg sync.WaitGroup
	for i := range errs {
		wg.Go(func() {
			a, err := e.ask(context.Background(), n, testQuery{search: c.arg(1), text: fmt.Sprint(i), limit: 20})
			if err == nil && a.class() != "complete" {
				err = fmt.Errorf("%s", a.Outcome)
			}
			errs[i] = err
		})
	}
	c.waitFor(func() string {
		if countRuns() < before+queries {
			return "not all queries have started"
		}
		return ""
	})
	e.cmdStop(c)
	wg.Wait()
	for _, err := range errs {
		if err != nil {
			c.Fatalf("query in flight during the stop: %v", err)
		}
	}
}
