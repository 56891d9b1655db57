package command

import (
	"context"
	"fmt"

	"github.com/spf13/cobra"

	"egrethaven/internal/state/gatewaysettings"
)

var cmdCheck = command{
	use:  "check [-c FILE] [--gateway FILE] [-f FILE]...",
	help: "Check settings (-c, --gateway) and search definitions (-f) without using them",
	example: "  egrethaven check -c node.ini\n" +
		"  egrethaven check --gateway gateway.ini\n" +
		"  egrethaven check -c node.ini -f searches.ini",
	setup: func(c *cobra.Command) action {
		file := c.Flags().StringP("config", "c", "", "settings file of a node")
		gate := c.Flags().String("gateway", "", "settings file of a gateway")
		defs := c.Flags().StringArrayP("file", "f", nil, "file of search definitions, - for the standard input")
		return func(_ context.Context, s *session, _ []string) error { return check(s, *file, *gate, *defs) }
	},
}

// check names every problem of all files at once.
func check(s *session, file, gate string, defs []string) error {
	if file == "" && gate == "" && len(defs) == 0 {
		return usage("give -c FILE, --gateway FILE, -f FILE, or several", "there is nothing to check")
	}
	_, ps, err := s.definitions(defs)
	if err != nil {
		return err
	}
	if file != "" {
		_, more, err := s.settings(file)
		if err != nil {
			return err
		}
		ps = append(more, ps...)
	}
	if gate != "" {
		b, err := s.readFile(gate)
		if err != nil {
			return err
		}
		_, more := gatewaysettings.Parse(gate, b)
		ps = append(more, ps...)
	}
	if len(ps) > 0 {
		return refuse(ps)
	}
	fmt.Fprintln(s.out, "ok")
	return nil
}
