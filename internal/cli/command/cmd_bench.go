package command

import (
	"github.com/juju/errors"
	"github.com/spf13/cobra"

	"egrethaven/internal/bench/benchcmd"
)

// bench is the measuring tool, with the exit codes of the other commands.
func bench() *cobra.Command {
	c := benchcmd.Command()
	run := c.RunE
	c.RunE = func(c *cobra.Command, args []string) error { return benchFailure(run(c, args)) }
	return c
}

// benchFailure sorts how a scenario ended.
func benchFailure(err error) error {
	switch {
	case err == nil:
		return nil
	case errors.Is(err, errors.NotFound):
		return usage("see egrethaven bench --help for the scenarios", "%v", err)
	}
	return &failure{code: exitDegraded, what: err.Error()}
}
