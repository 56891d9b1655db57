package command

import (
	"github.com/juju/errors"
	"github.com/spf13/cobra"

	"egrethaven/internal/bench/benchcmd"
)

// benchCommand is the bench command with the exit codes of the other commands.
func benchCommand() *cobra.Command {
	c := benchcmd.Command()
	runE := c.RunE
	c.RunE = func(c *cobra.Command, args []string) error { return benchError(runE(c, args)) }
	return c
}

// benchError converts the error of a scenario to an exit error.
func benchError(err error) error {
	switch {
	case err == nil:
		return nil
	case errors.Is(err, errors.NotFound):
		return usageError("see egrethaven bench --help for the scenarios", "%v", err)
	}
	return &exitError{code: exitDegraded, message: err.Error()}
}
