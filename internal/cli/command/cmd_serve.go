package command

import (
	"context"
	"fmt"
	"os/signal"
	"syscall"

	"github.com/spf13/cobra"

	"egrethaven/internal/infra/hangup"
	"egrethaven/internal/node/entry"
	"egrethaven/internal/observe/clock"
	"egrethaven/internal/observe/event"
	"egrethaven/internal/observe/logger"
	"egrethaven/internal/state/settings"
)

// serveCommand is the name of the command that handles SIGHUP if the settings name client accounts.
const serveCommand = "serve"

var cmdServe = command{
	use:     serveCommand + " -c FILE",
	help:    "Run one entry VM; SIGTERM begins a graceful shutdown",
	example: "  egrethaven serve -c examples/node-takasago.ini",
	setup: func(c *cobra.Command) action {
		file := c.Flags().StringP("config", "c", "", "settings file of the node")
		return func(ctx context.Context, s *session, _ []string) error { return serve(ctx, s, *file) }
	},
}

// serve runs a node until SIGTERM or SIGINT, then shuts it down gracefully.
func serve(ctx context.Context, s *session, file string) error {
	if file == "" {
		return usageError("give -c FILE", "no settings file is given")
	}
	v, problems, err := s.readSettings(file)
	if err != nil {
		return err
	}
	if len(problems) > 0 {
		s.logInvalidSettings(file, len(problems))
		return problemsError(problems)
	}
	ctx, stop := signal.NotifyContext(ctx, syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	// A second signal gets the default handling and ends the process immediately.
	context.AfterFunc(ctx, stop)
	c := entry.Config{Settings: v, LogOutput: s.errOut, Version: Version()}
	if v.Accounts.File == "" {
		hangup.Restore()
	} else {
		c.Hangup = hangup.C()
	}
	n, err := entry.New(c)
	if err != nil {
		return &exitError{code: exitDegraded, message: "the node did not start: " + err.Error(), hint: "check the addresses in " + file}
	}
	if err := n.Run(ctx); err != nil {
		return &exitError{code: exitDegraded, message: "the node stopped: " + err.Error()}
	}
	return nil
}

// logInvalidSettings logs a SettingsRefused event for a file with n problems.
func (s *session) logInvalidSettings(file string, n int) {
	l := logger.New(logger.Config{Out: s.errOut, Level: string(settings.Info)})
	e := event.New(event.Config{Stamp: clock.New(clock.Config{}).Stamp, Capacity: 1, Logger: l})
	e.Emit(event.SettingsRefused, file, fmt.Sprintf("%d problems", n))
}
