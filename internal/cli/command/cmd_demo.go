package command

import (
	"context"
	"os/signal"
	"syscall"

	"github.com/spf13/cobra"

	"egrethaven/internal/cli/demo"
)

var cmdDemo = command{
	use:  "demo",
	help: "Run both deployments in this process with stand-ins and sample records",
	example: "  egrethaven demo\n" +
		"  egrethaven demo --once",
	setup: func(c *cobra.Command) action {
		once := c.Flags().Bool("once", false, "ask each search once, print one JSON object a line, and end")
		seed := c.Flags().Uint64("seed", 1, "seed of all random choices")
		return func(ctx context.Context, s *session, _ []string) error {
			ctx, stop := signal.NotifyContext(ctx, syscall.SIGTERM, syscall.SIGINT)
			defer stop()
			code := demo.Run(ctx, demo.Config{Once: *once, Seed: *seed, Out: s.out, ErrOut: s.errOut})
			if code != exitOK {
				return &exitError{code: code}
			}
			return nil
		}
	},
}
