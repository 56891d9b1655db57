package e2e

import (
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/rogpeppe/go-internal/testscript"
)

const (
	// waitTimeout limits the wait for a condition. No script expects it to elapse.
	waitTimeout = 30 * time.Second
	// pollInterval is the interval between two checks of a condition.
	pollInterval = 20 * time.Millisecond
)

// scriptCmd is one command of a script.
type scriptCmd struct {
	*testscript.TestScript
	neg  bool
	args []string
}

// arg returns the positional argument i, counted from 0.
func (c *scriptCmd) arg(i int) string {
	if i >= len(c.args) {
		c.Fatalf("argument %d is missing", i+1)
	}
	return c.args[i]
}

// has reports whether word is one of the arguments.
func (c *scriptCmd) has(word string) bool { return slices.Contains(c.args, word) }

// value returns the value of the argument NAME=VALUE, or defaultValue.
func (c *scriptCmd) value(name, defaultValue string) string {
	for _, a := range c.args {
		if v, ok := strings.CutPrefix(a, name+"="); ok {
			return v
		}
	}
	return defaultValue
}

// intValue returns the value of the argument NAME=N, or defaultValue.
func (c *scriptCmd) intValue(name string, defaultValue int) int {
	v := c.value(name, "")
	if v == "" {
		return defaultValue
	}
	n, err := strconv.Atoi(v)
	c.Check(err)
	return n
}

// durationValue returns the value of the argument NAME=D, or defaultValue.
func (c *scriptCmd) durationValue(name string, defaultValue time.Duration) time.Duration {
	v := c.value(name, "")
	if v == "" {
		return defaultValue
	}
	d, err := time.ParseDuration(v)
	c.Check(err)
	return d
}

// waitFor polls check until it returns "". Any other result says why to wait.
func (c *scriptCmd) waitFor(check func() string) {
	for deadline := time.Now().Add(waitTimeout); ; time.Sleep(pollInterval) {
		reason := check()
		if reason == "" {
			return
		}
		if time.Now().After(deadline) {
			c.Fatalf("timed out: %s", reason)
		}
	}
}
