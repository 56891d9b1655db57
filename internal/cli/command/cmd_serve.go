package command

import (
	"context"
	"fmt"
	"os/signal"
	"syscall"

	"github.com/spf13/cobra"

	"egrethaven/internal/node/entry"
	"egrethaven/internal/observe/clock"
	"egrethaven/internal/observe/event"
	"egrethaven/internal/observe/logger"
	"egrethaven/internal/state/settings"
)

var cmdServe = command{
	use:     "serve -c FILE",
	help:    "Run one entry VM; SIGTERM begins a graceful shutdown",
	example: "  egrethaven serve -c examples/node-takasago.ini",
	setup: func(c *cobra.Command) action {
		file := c.Flags().StringP("config", "c", "", "settings file of the node")
		return func(ctx context.Context, s *session, _ []string) error { return serve(ctx, s, *file) }
	},
}

// serve runs a node until a signal, and then stops it gracefully.
func serve(ctx context.Context, s *session, file string) error {
	if file == "" {
		return usage("give -c FILE", "no settings file is given")
	}
	v, ps, err := s.settings(file)
	if err != nil {
		return err
	}
	if len(ps) > 0 {
		s.logRefused(file, len(ps))
		return refuse(ps)
	}
	ctx, stop := signal.NotifyContext(ctx, syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	// A second signal ends the process at once.
	context.AfterFunc(ctx, stop)
	n, err := entry.New(entry.Config{Settings: v, LogOutput: s.errs, Version: Version()})
	if err != nil {
		return &failure{code: exitDegraded, what: "the node did not start: " + err.Error(), next: "check the addresses in " + file}
	}
	if err := n.Run(ctx); err != nil {
		return &failure{code: exitDegraded, what: "the node stopped: " + err.Error()}
	}
	return nil
}

// logRefused logs the event of settings with problems.
func (s *session) logRefused(file string, n int) {
	l := logger.New(logger.Config{Out: s.errs, Level: string(settings.Info)})
	e := event.New(event.Config{Stamp: clock.New(clock.Config{}).Stamp, Capacity: 1, Logger: l})
	e.Emit(event.SettingsRefused, file, fmt.Sprintf("%d problems", n))
}
