package command

import (
	"context"
	"fmt"

	"github.com/juju/errors"
	"github.com/spf13/cobra"

	"egrethaven/internal/front/operator"
)

var cmdGet = command{
	use:     "get NAME",
	help:    "Show the definition of a search in the form that apply takes",
	example: "  egrethaven get warranty > warranty.ini",
	args:    cobra.ExactArgs(1),
	remote:  true,
	setup: func(*cobra.Command) action {
		return func(ctx context.Context, s *session, args []string) error { return get(ctx, s, args[0]) }
	},
}

// get prints the definition of one search.
func get(ctx context.Context, s *session, name string) error {
	var r operator.Searches
	if err := s.client().Get(ctx, "/searches/"+name, nil, &r); err != nil {
		return errors.Trace(err)
	}
	if s.json {
		return printJSON(s.out, r)
	}
	fmt.Fprintf(s.out, "# revision %d\n", r.Revision)
	for _, d := range r.Searches {
		fmt.Fprint(s.out, d.Format())
	}
	return nil
}
