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

// defaultWait is how long --wait waits when it has no value.
const defaultWait = "10s"

// changeFlags are the flags of commands that change the configuration.
type changeFlags struct {
	wait   time.Duration
	expect uint64
	id     string
	author string
}

// declare adds the flags.
func (f *changeFlags) declare(c *cobra.Command) {
	c.Flags().DurationVar(&f.wait, "wait", 0, "wait until all live nodes have the change in force, and name those that have not")
	c.Flags().Lookup("wait").NoOptDefVal = defaultWait
	c.Flags().Uint64Var(&f.expect, "expect-revision", 0, "make the change only on this revision (0: any)")
	c.Flags().StringVar(&f.id, "change-id", "", "id of the change; repeat it to repeat the same change (default a new one)")
	c.Flags().StringVar(&f.author, "author", fallback("USER", "operator"), "who makes the change")
}

// change returns a change with the choices of the flags.
func (f *changeFlags) change() config.Change {
	if f.id == "" {
		f.id = uuid.NewString()
	}
	return config.Change{ID: f.id, Author: f.author, ExpectedRevision: f.expect}
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
		flags.declare(c)
		files := c.Flags().StringArrayP("file", "f", nil, "file of search definitions, - for the standard input")
		dry := c.Flags().Bool("dry-run", false, "show what would change, and change nothing")
		return func(ctx context.Context, s *session, _ []string) error { return apply(ctx, s, *files, flags, *dry) }
	},
}

// apply checks the files and sends their definitions as one change.
func apply(ctx context.Context, s *session, files []string, flags changeFlags, dry bool) error {
	if len(files) == 0 {
		return usage("give -f FILE", "no file of definitions is given")
	}
	ds, ps, err := s.definitions(files)
	if err != nil {
		return err
	}
	if len(ps) > 0 {
		return refuse(ps)
	}
	c := flags.change()
	c.Put = ds
	if dry {
		return dryRun(ctx, s, c)
	}
	return send(ctx, s, c, flags.wait)
}

// dryRun shows how the searches in force differ from those of the change.
func dryRun(ctx context.Context, s *session, c config.Change) error {
	var now operator.Searches
	if err := s.client().Get(ctx, "/searches", nil, &now); err != nil {
		return errors.Trace(err)
	}
	have := make(map[string]search.Definition, len(now.Searches))
	for _, d := range now.Searches {
		have[d.Name] = d
	}
	diff := config.Diff(&config.Snapshot{Revision: now.Revision, Searches: have}, c)
	if s.json {
		return printJSON(s.out, config.Result{Verdict: "dry_run", Revision: now.Revision, Diff: diff})
	}
	for _, l := range diff {
		fmt.Fprintln(s.out, printable(l))
	}
	fmt.Fprintf(s.out, "dry run: %d differences from revision %d; nothing was changed\n", len(diff), now.Revision)
	return nil
}

// send makes a change and shows how it ended.
func send(ctx context.Context, s *session, c config.Change, wait time.Duration) error {
	q := url.Values{}
	if wait > 0 {
		q.Set("wait", wait.String())
	}
	var a operator.ChangeResponse
	err := s.client().Post(ctx, "/changes", q, nil, c, &a)
	var p *adminclient.Problem
	if errors.As(err, &p) && p.Result.Verdict != "" {
		return refused(s, p)
	}
	if errors.Is(err, adminclient.ErrUnreachable) {
		fmt.Fprintf(s.errs, "egrethaven: it is not known whether the change was made; repeat with --change-id %s\n", c.ID)
	}
	if err != nil {
		return errors.Trace(err)
	}
	if s.json {
		err = printJSON(s.out, a)
	} else {
		err = printApplied(s, a)
	}
	if err == nil && len(a.Behind) > 0 {
		return degraded()
	}
	return err
}

// refused shows a change that was not accepted.
func refused(s *session, p *adminclient.Problem) error {
	if s.json {
		if err := printJSON(s.out, p.Result); err != nil {
			return err
		}
	}
	for _, l := range p.Result.Problems {
		fmt.Fprintln(s.errs, "egrethaven: "+printable(l))
	}
	for _, l := range p.Result.Diff {
		fmt.Fprintln(s.errs, "egrethaven: in force: "+printable(l))
	}
	f := classifyProblem(p)
	f.what = fmt.Sprintf("%s: %s (revision %d, change id %s)", p.Result.Verdict, p.Detail.Detail, p.Result.Revision, p.Result.ChangeID)
	return f
}

// printApplied shows an accepted change.
func printApplied(s *session, a operator.ChangeResponse) error {
	fmt.Fprintf(s.out, "%s: revision %d, change id %s\n", a.Verdict, a.Revision, a.ChangeID)
	if a.Waited && len(a.Behind) == 0 {
		fmt.Fprintln(s.out, "in force on all live nodes")
	}
	if len(a.Behind) == 0 {
		return nil
	}
	fmt.Fprintf(s.out, "not seen in force on %d nodes:\n", len(a.Behind))
	return printStatus(s, a.Behind)
}

// printStatus lists nodes with the revision in force on each.
func printStatus(s *session, ss []config.NodeStatus) error {
	t := newTable(s.out, "NODE", "FAILURE DOMAIN", "REVISION", "REACHED")
	for _, n := range ss {
		revision := strconv.FormatUint(n.Revision, 10)
		if !n.Reached {
			revision = "-"
		}
		t.row(n.Node, n.Domain, revision, strconv.FormatBool(n.Reached))
	}
	return t.end()
}
