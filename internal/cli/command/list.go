package command

import (
	"context"

	"github.com/spf13/cobra"
)

// action runs a command after its flags have been parsed.
type action func(ctx context.Context, s *session, args []string) error

// command is one command of the program.
type command struct {
	// use is the name and the synopsis of the arguments.
	use string
	// help is a one-line description.
	help string
	// example shows command lines, one per line.
	example string
	// args checks the positional arguments; nil means that none are accepted.
	args cobra.PositionalArgs
	// remote commands call a node and have --json, --addr and --token.
	remote bool
	// setup registers the flags and returns the action.
	setup func(c *cobra.Command) action
}

// commands lists all commands but bench. cobra adds help and completion.
var commands = []command{
	cmdServe, cmdGateway, cmdCheck, cmdDemo,
	cmdApply, cmdGet, cmdList, cmdDelete, cmdHistory, cmdStatus,
	cmdHealth, cmdQuery, cmdRecord, cmdTimeline, cmdExplain, cmdVersion,
}
