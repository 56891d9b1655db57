package command

import (
	"context"

	"github.com/spf13/cobra"
)

// action runs a command once its flags are read.
type action func(ctx context.Context, s *session, args []string) error

// command is one command of the program.
type command struct {
	// use is the name, with the arguments in words.
	use string
	// help is one line.
	help string
	// example shows how to use it.
	example string
	args    cobra.PositionalArgs
	// remote commands ask a node, and have --addr and --token.
	remote bool
	// setup declares flags and returns the action.
	setup func(c *cobra.Command) action
}

// all lists the commands. cobra adds help and completion.
var all = []command{
	cmdServe, cmdGateway, cmdCheck, cmdDemo,
	cmdApply, cmdGet, cmdList, cmdDelete, cmdHistory, cmdStatus,
	cmdHealth, cmdQuery, cmdRecord, cmdTimeline, cmdVersion,
}
