package command

import (
	"context"
	"strconv"
	"strings"
	"time"

	"github.com/juju/errors"
	"github.com/spf13/cobra"

	"egrethaven/internal/state/config"
)

var cmdHistory = command{
	use:    "history",
	help:   "List accepted changes: who changed what, and when",
	remote: true,
	setup:  func(*cobra.Command) action { return history },
}

// history prints one line per accepted change.
func history(ctx context.Context, s *session, _ []string) error {
	var entries []config.HistoryEntry
	if err := s.client().Get(ctx, "/history", nil, &entries); err != nil {
		return errors.Trace(err)
	}
	if s.json {
		return printJSON(s.out, entries)
	}
	t := newTable(s.out, "REVISION", "AT", "AUTHOR", "PUT", "DELETED", "CHANGE ID")
	for _, e := range entries {
		t.row(strconv.FormatUint(e.Revision, 10), e.At.UTC().Format(time.RFC3339), e.Author, strings.Join(e.Put, " "), strings.Join(e.Deleted, " "), e.ChangeID)
	}
	return t.flush()
}
