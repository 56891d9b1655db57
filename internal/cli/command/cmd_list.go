package command

import (
	"context"
	"fmt"
	"strconv"

	"github.com/juju/errors"
	"github.com/spf13/cobra"

	"egrethaven/internal/front/operator"
)

var cmdList = command{
	use:    "list",
	help:   "List the searches",
	remote: true,
	setup:  func(*cobra.Command) action { return list },
}

// list prints one line per search.
func list(ctx context.Context, s *session, _ []string) error {
	var r operator.Searches
	if err := s.client().Get(ctx, "/searches", nil, &r); err != nil {
		return errors.Trace(err)
	}
	if s.json {
		return printJSON(s.out, r)
	}
	fmt.Fprintf(s.out, "revision %d, %d searches\n", r.Revision, len(r.Searches))
	t := newTable(s.out, "SEARCH", "SERVICE", "PREFER", "DEADLINE", "EXTRA LOAD", "SCHEMA VERSIONS", "WRITES")
	for _, d := range r.Searches {
		t.row(d.Name, d.Service, string(d.Prefer), d.Deadline.String(), fmt.Sprint(d.ExtraLoad), fmt.Sprint(d.SchemaVersions), strconv.FormatBool(d.Writes))
	}
	return t.flush()
}
