// Package benchcmd implements the command egrethaven bench.
//
// # Usage
//
//	root.AddCommand(benchcmd.Command())
//	err := root.Execute() // benchcmd.ErrTargetMissed with --strict, if a target was missed
package benchcmd

import (
	"encoding/json"
	"fmt"
	"io"
	"os"
	"strings"
	"text/tabwriter"
	"time"

	"egrethaven/internal/bench/catalog"
	"egrethaven/internal/bench/figure"
	"egrethaven/internal/bench/htmlreport"
	"egrethaven/internal/bench/scenario"

	"github.com/juju/errors"
	"github.com/spf13/cobra"
)

// ErrTargetMissed is returned with --strict if a figure missed its target or an
// answer was wrong.
const ErrTargetMissed = errors.ConstError("a target was missed")

// defaultDuration is the default measured time of each arm.
const defaultDuration = 10 * time.Second

// options are the flags of the command.
type options struct {
	scenario.Options
	json       bool
	reportFile string
	strict     bool
}

// Command returns the bench command.
func Command() *cobra.Command {
	var o options
	c := &cobra.Command{
		Use:   "bench SCENARIO",
		Short: "Measure a scenario on stand-ins",
		Long:  "Measure a scenario on stand-ins over loopback TCP.\n\nScenarios:\n" + scenarioList(),
		Example: "  egrethaven bench straggler --baseline naive --json\n" +
			"  egrethaven bench crash --duration 5s --report crash.html",
		Args: cobra.ExactArgs(1),
		RunE: func(c *cobra.Command, args []string) error { return o.run(c, args[0]) },
	}
	for _, s := range catalog.All() {
		c.ValidArgs = append(c.ValidArgs, s.Name)
	}
	f := c.Flags()
	f.Uint64Var(&o.Seed, "seed", 1, "seed of all random choices")
	f.DurationVar(&o.Duration, "duration", defaultDuration, "measured time of each arm")
	f.IntVar(&o.Nodes, "nodes", 0, "number of nodes (0: the scenario's own)")
	f.IntVar(&o.Replicas, "replicas", 0, "replicas a shard (0: the scenario's own)")
	f.Float64Var(&o.Rate, "rate", 0, "arrivals a second (0: the scenario's own)")
	f.StringVar(&o.Baseline, "baseline", "", "policy to run against the current one: naive")
	f.BoolVar(&o.json, "json", false, "print the report as JSON")
	f.StringVar(&o.reportFile, "report", "", "write a page of plots to this file")
	f.BoolVar(&o.strict, "strict", false, "fail when a figure misses its target")
	return c
}

// run runs one scenario, prints its report and writes the page of plots.
func (o *options) run(c *cobra.Command, name string) error {
	s, ok := catalog.Find(name)
	if !ok {
		return errors.NotFoundf("scenario %q", name)
	}
	r, err := s.Run(c.Context(), o.Options)
	if err != nil {
		return errors.Annotatef(err, "scenario %s", name)
	}
	if err := o.print(c.OutOrStdout(), r); err != nil {
		return errors.Trace(err)
	}
	if o.reportFile != "" {
		if err := o.writeHTMLReport(r); err != nil {
			return errors.Trace(err)
		}
	}
	if o.strict && targetMissed(r) {
		return ErrTargetMissed
	}
	return nil
}

// print writes the report as JSON or as a table.
func (o *options) print(w io.Writer, r scenario.Report) error {
	if o.json {
		e := json.NewEncoder(w)
		e.SetIndent("", "  ")
		return errors.Trace(e.Encode(r))
	}
	return errors.Trace(printTable(w, r))
}

// writeHTMLReport writes the report with its plots to the file named by --report.
func (o *options) writeHTMLReport(r scenario.Report) error {
	f, err := os.Create(o.reportFile)
	if err != nil {
		return errors.Trace(err)
	}
	defer f.Close()
	return errors.Trace(htmlreport.Write(f, r))
}

// printTable writes the report as a table.
func printTable(w io.Writer, r scenario.Report) error {
	t := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	row := func(arm string, f scenario.Figure) {
		fmt.Fprintf(t, "%s\t%s\t%.4g\t%s\n", arm, f.Name, f.Value, formatTarget(f))
	}
	fmt.Fprintf(t, "ARM\tFIGURE\tVALUE\tTARGET\n")
	for _, a := range r.Arms {
		for _, f := range a.Figures {
			row(a.Name, f)
		}
		fmt.Fprintf(t, "%s\twrong\t%d\t\n", a.Name, a.Wrong.Total())
	}
	for _, f := range r.Ratios {
		row("ratio", f)
	}
	for _, n := range r.Notes {
		fmt.Fprintf(t, "# %s\n", n)
	}
	return t.Flush()
}

// formatTarget returns the target of a figure and whether it was met, such as
// "<= 0.02 met"; empty without a target.
func formatTarget(f scenario.Figure) string {
	if f.Target == nil {
		return ""
	}
	sign, status := "<=", "met"
	if f.AtLeast {
		sign = ">="
	}
	if !figure.Met(f) {
		status = "missed"
	}
	return fmt.Sprintf("%s %.4g %s", sign, *f.Target, status)
}

// targetMissed reports whether a figure missed its target or an answer was wrong.
func targetMissed(r scenario.Report) bool {
	for _, f := range r.Ratios {
		if !figure.Met(f) {
			return true
		}
	}
	for _, a := range r.Arms {
		if a.Wrong.Total() > 0 {
			return true
		}
		for _, f := range a.Figures {
			if !figure.Met(f) {
				return true
			}
		}
	}
	return false
}

// scenarioList returns the names and descriptions of all scenarios, one per line.
func scenarioList() string {
	var b strings.Builder
	for _, s := range catalog.All() {
		fmt.Fprintf(&b, "  %-12s %s\n", s.Name, s.Help)
	}
	return b.String()
}
