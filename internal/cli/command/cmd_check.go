package command

import (
	"context"
	"fmt"

	"github.com/spf13/cobra"
)

var cmdCheck = command{
	use:  "check [-c FILE] [-f FILE]...",
	help: "Check settings (-c) and search definitions (-f) without using them",
	example: "  egrethaven check -c node.ini\n" +
		"  egrethaven check -c node.ini -f searches.ini",
	setup: func(c *cobra.Command) action {
		file := c.Flags().StringP("config", "c", "", "settings file of a node")
		defs := c.Flags().StringArrayP("file", "f", nil, "file of search definitions, - for the standard input")
		return func(_ context.Context, s *session, _ []string) error { return check(s, *file, *defs) }
	},
}

// check names every problem of all files at once.
func check(s *session, file string, defs []string) error {
	if file == "" && len(defs) == 0 {
		return usage("give -c FILE, -f FILE, or both", "there is nothing to check")
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
	if len(ps) > 0 {
		return refuse(ps)
	}
	fmt.Fprintln(s.out, "ok")
	return nil
}
