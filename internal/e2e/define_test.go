package e2e

import (
	"context"
	"fmt"
	"os"
	"strings"
	"sync"
)

// definition of a search in scripts, unless NAME=VALUE says otherwise.
var defaults = []struct{ key, value string }{
	{"schema_versions", "1, 2"}, {"reconcile", "newest_revision"}, {"prefer", "coverage"},
	{"deadline", "3s"}, {"extra_load", "0.5"}, {"max_limit", "1000"}, {"writes", "false"},
}

// cmdDefine writes the definition of a search and applies it.
func (w *world) cmdDefine(c *call) {
	var b strings.Builder
	fmt.Fprintf(&b, "[search %q]\nservice = %s\n", c.arg(1), c.arg(2))
	for _, d := range defaults {
		fmt.Fprintf(&b, "%s = %s\n", d.key, c.value(d.key, d.value))
	}
	file := c.arg(1) + ".ini"
	c.Check(os.WriteFile(w.file(file), []byte(b.String()), 0o600))
	args := []string{c.arg(0), "apply", "-f", file, "--wait"}
	w.cmdCLI(&call{TestScript: c.TestScript, args: args})
	w.mu.Lock()
	delete(w.defs, c.arg(1))
	w.mu.Unlock()
	for name := range w.nodes {
		w.cmdAsk(&call{TestScript: c.TestScript, args: []string{name, c.arg(1), "poll"}})
	}
}

// cmdCrashes wants at most so many crashes of a service's searchers.
func (w *world) cmdCrashes(c *call) {
	n := 0
	for _, s := range w.service(c, c.arg(0)).Searchers {
		n += s.Stats().Crashes
	}
	if most := c.number("most", 0); n > most || n < c.number("least", 0) {
		c.Fatalf("%d crashes", n)
	}
}

// cmdStopDuring stops a node while queries are in progress on it: each has to
// get its whole answer.
func (w *world) cmdStopDuring(c *call) {
	const queries = 8
	n, s := w.node(c, c.arg(0)), w.service(c, c.arg(2))
	ran := func() (sum int) {
		for _, x := range s.Searchers {
			sum += x.Stats().Ran
		}
		return sum
	}
	before := ran()
	errs := make([]error, queries)
	var wg sync.WaitGroup
	for i := range errs {
		wg.Go(func() {
			a, err := w.ask(context.Background(), n, question{search: c.arg(1), text: fmt.Sprint(i), limit: 20})
			if err == nil && a.want() != "complete" {
				err = fmt.Errorf("%s", a.Outcome)
			}
			errs[i] = err
		})
	}
	c.until(func() string {
		if ran() < before+queries {
			return "not all queries have begun to run"
		}
		return ""
	})
	w.cmdStop(c)
	wg.Wait()
	for _, err := range errs {
		if err != nil {
			c.Fatalf("query in progress: %v", err)
		}
	}
}
