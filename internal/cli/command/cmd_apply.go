package command

import (
	"context"
	"fmt"
	"net/url"
	"strconv"
	"time"

	"github.com/google/uuid"
	"github.com/juju/errors"
	"github.com/spf13/cobra"

	"egrethaven/internal/cli/adminclient"
	"egrethaven/internal/front/operator"
	"egrethaven/internal/state/config"
	"egrethaven/internal/state/search"
)

// defaultWaitTimeout is the timeout of --wait given without a value.
const defaultWaitTimeout = "10s"

// changeFlags are the flags of commands that change the configuration.
type changeFlags struct {
	wait             time.Duration
	expectedRevision uint64
	changeID         string
	author           string
}

// register adds the flags to c.
func (f *changeFlags) register(c *cobra.Command) {
	c.Flags().DurationVar(&f.wait, "wait", 0, "wait until all live nodes have the change in force, and name those that have not")
	c.Flags().Lookup("wait").NoOptDefVal = defaultWaitTimeout
	c.Flags().Uint64Var(&f.expectedRevision, "expect-revision", 0, "make the change only on this revision (0: any)")
	c.Flags().StringVar(&f.changeID, "change-id", "", "id of the change; repeat it to repeat the same change (default a new one)")
	c.Flags().StringVar(&f.author, "author", envOrDefault("USER", "operator"), "who makes the change")
}

// change returns a change with the flags' values, with a new ID if none is given.
func (f *changeFlags) change() config.Change {
	if f.changeID == "" {
		f.changeID = uuid.NewString()
	}
	return config.Change{ID: f.changeID, Author: f.author, ExpectedRevision: f.expectedRevision}
}

var cmdApply = command{
	use:  "apply -f FILE",
	help: "Create or replace the searches that a file defines",
	example: "  egrethaven apply -f examples/takasago.ini --wait\n" +
		"  egrethaven apply -f searches.ini --dry-run\n" +
		"  egrethaven get warranty | sed s/1s/2s/ | egrethaven apply -f -",
	remote: true,
	setup: func(c *cobra.Command) action {
		var flags changeFlags
		flags.register(c)
		files := c.Flags().StringArrayP("file", "f", nil, "file of search definitions, - for the standard input")
		dryRun := c.Flags().Bool("dry-run", false, "show what would change, and change nothing")
		return func(ctx context.Context, s *session, _ []string) error { return apply(ctx, s, *files, flags, *dryRun) }
	},
}

// apply validates the files and sends their definitions as one change.
func apply(ctx context.Context, s *session, files []string, flags changeFlags, dryRun bool) error {
	if len(files) == 0 {
		return usageError("give -f FILE", "no definition file is given")
	}
	defs, problems, err := s.readDefinitions(files)
	if err != nil {
		return err
	}
	if len(problems) > 0 {
		return problemsError(problems)
	}
	c := flags.change()
	c.Put = defs
	if dryRun {
		return printDiff(ctx, s, c)
	}
	return sendChange(ctx, s, c, flags.wait)
}

// printDiff prints how c would change the configuration in force.
func printDiff(ctx context.Context, s *session, c config.Change) error {
	var current operator.Searches
	if err := s.client().Get(ctx, "/searches", nil, &current); err != nil {
		return errors.Trace(err)
	}
	byName := make(map[string]search.Definition, len(current.Searches))
	for _, d := range current.Searches {
		byName[d.Name] = d
	}
	diff := config.Diff(&config.Snapshot{Revision: current.Revision, Searches: byName}, c)
	if s.json {
		return printJSON(s.out, config.Result{Verdict: "dry_run", Revision: current.Revision, Diff: diff})
	}
	for _, l := range diff {
		fmt.Fprintln(s.out, printable(l))
	}
	fmt.Fprintf(s.out, "dry run: %d differences from revision %d; nothing was changed\n", len(diff), current.Revision)
	return nil
}

// sendChange sends a change and prints its result. If wait is positive, the node
// waits up to that long for all live nodes to have it in force.
func sendChange(ctx context.Context, s *session, c config.Change, wait time.Duration) error {
	q := url.Values{}
	if wait > 0 {
		q.Set("wait", wait.String())
	}
	var applied operator.ChangeResponse
	err := s.client().Post(ctx, "/changes", q, nil, c, &applied)
	var respErr *adminclient.ResponseError
	if errors.As(err, &respErr) && respErr.Result.Verdict != "" {
		return printRejected(s, respErr)
	}
	if errors.Is(err, adminclient.ErrUnreachable) {
		fmt.Fprintf(s.errOut, "egrethaven: it is not known whether the change was made; repeat with --change-id %s\n", c.ID)
	}
	if err != nil {
		return errors.Trace(err)
	}
	if s.json {
		err = printJSON(s.out, applied)
	} else {
		err = printAccepted(s, applied)
	}
	if err == nil && len(applied.Behind) > 0 {
		return degradedError()
	}
	return err
}

// printRejected prints a change that was not accepted and returns its exit error.
func printRejected(s *session, respErr *adminclient.ResponseError) error {
	if s.json {
		if err := printJSON(s.out, respErr.Result); err != nil {
			return err
		}
	}
	for _, l := range respErr.Result.Problems {
		fmt.Fprintln(s.errOut, "egrethaven: "+printable(l))
	}
	for _, l := range respErr.Result.Diff {
		fmt.Fprintln(s.errOut, "egrethaven: in force: "+printable(l))
	}
	e := responseExitError(respErr)
	e.message = fmt.Sprintf("%s: %s (revision %d, change id %s)", respErr.Result.Verdict, respErr.Detail.Detail, respErr.Result.Revision, respErr.Result.ChangeID)
	return e
}

// printAccepted prints an accepted change and the nodes not seen to have it.
func printAccepted(s *session, a operator.ChangeResponse) error {
	fmt.Fprintf(s.out, "%s: revision %d, change id %s\n", a.Verdict, a.Revision, a.ChangeID)
	if a.Waited && len(a.Behind) == 0 {
		fmt.Fprintln(s.out, "in force on all live nodes")
	}
	if len(a.Behind) == 0 {
		return nil
	}
	fmt.Fprintf(s.out, "not seen in force on %d nodes:\n", len(a.Behind))
	return printNodes(s, a.Behind)
}

// printNodes prints a table of nodes with the revision in force on each.
func printNodes(s *session, nodes []config.NodeStatus) error {
	t := newTable(s.out, "NODE", "FAILURE DOMAIN", "REVISION", "REACHED")
	for _, n := range nodes {
		revision := strconv.FormatUint(n.Revision, 10)
		if !n.Reached {
			revision = "-"
		}
		t.row(n.Node, n.Domain, revision, strconv.FormatBool(n.Reached))
	}
	return t.flush()
}
