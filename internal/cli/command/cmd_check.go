package command

import (
	"context"
	"fmt"

	"github.com/spf13/cobra"

	"egrethaven/internal/state/accountfile"
	"egrethaven/internal/state/gatewaysettings"
)

var cmdCheck = command{
	use:  "check [-c FILE] [--gateway FILE] [--accounts FILE] [-f FILE]...",
	help: "Check settings (-c, --gateway), client accounts (--accounts) and search definitions (-f) without using them",
	example: "  egrethaven check -c node.ini\n" +
		"  egrethaven check --gateway gateway.ini\n" +
		"  egrethaven check -c node.ini -f searches.ini",
	setup: func(c *cobra.Command) action {
		file := c.Flags().StringP("config", "c", "", "settings file of a node")
		gatewayFile := c.Flags().String("gateway", "", "settings file of a gateway")
		accounts := c.Flags().String("accounts", "", "file of client accounts")
		defs := c.Flags().StringArrayP("file", "f", nil, "file of search definitions, - for the standard input")
		return func(_ context.Context, s *session, _ []string) error {
			return check(s, *file, *gatewayFile, *accounts, *defs)
		}
	},
}

// check validates all files and reports the problems of all of them together.
func check(s *session, file, gatewayFile, accounts string, defs []string) error {
	if file == "" && gatewayFile == "" && accounts == "" && len(defs) == 0 {
		return usageError("give -c FILE, --gateway FILE, --accounts FILE, -f FILE, or several", "there is nothing to check")
	}
	_, problems, err := s.readDefinitions(defs)
	if err != nil {
		return err
	}
	if file != "" {
		_, more, err := s.readSettings(file)
		if err != nil {
			return err
		}
		problems = append(more, problems...)
	}
	if accounts != "" {
		b, err := s.readFile(accounts)
		if err != nil {
			return err
		}
		_, more := accountfile.Parse(accounts, b)
		problems = append(more, problems...)
	}
	if gatewayFile != "" {
		b, err := s.readFile(gatewayFile)
		if err != nil {
			return err
		}
		_, more := gatewaysettings.Parse(gatewayFile, b)
		problems = append(more, problems...)
	}
	if len(problems) > 0 {
		return problemsError(problems)
	}
	fmt.Fprintln(s.out, "ok")
	return nil
}
