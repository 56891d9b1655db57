package e2e

import (
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/rogpeppe/go-internal/testscript"
)

const (
	// giveUp bounds the wait for an event; it is never the verdict.
	giveUp = 30 * time.Second
	// pause is the time between two looks.
	pause = 20 * time.Millisecond
)

// call is one command of a script.
type call struct {
	*testscript.TestScript
	neg  bool
	args []string
}

// arg returns a positional argument.
func (c *call) arg(i int) string {
	if i >= len(c.args) {
		c.Fatalf("argument %d is missing", i+1)
	}
	return c.args[i]
}

// has tells whether a bare word is among the arguments.
func (c *call) has(word string) bool { return slices.Contains(c.args, word) }

// value returns the value of NAME=VALUE, or otherwise.
func (c *call) value(name, otherwise string) string {
	for _, a := range c.args {
		if v, ok := strings.CutPrefix(a, name+"="); ok {
			return v
		}
	}
	return otherwise
}

// number returns the value of NAME=N, or otherwise.
func (c *call) number(name string, otherwise int) int {
	v := c.value(name, "")
	if v == "" {
		return otherwise
	}
	n, err := strconv.Atoi(v)
	c.Check(err)
	return n
}

// duration returns the value of NAME=D, or otherwise.
func (c *call) duration(name string, otherwise time.Duration) time.Duration {
	v := c.value(name, "")
	if v == "" {
		return otherwise
	}
	d, err := time.ParseDuration(v)
	c.Check(err)
	return d
}

// until polls f until it returns no complaint.
func (c *call) until(f func() string) {
	for end := time.Now().Add(giveUp); ; time.Sleep(pause) {
		why := f()
		if why == "" {
			return
		}
		if time.Now().After(end) {
			c.Fatalf("gave up: %s", why)
		}
	}
}
