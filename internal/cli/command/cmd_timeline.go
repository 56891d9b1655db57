package command

import (
	"context"
	"net/url"
	"os"
	"strconv"
	"time"

	"github.com/juju/errors"
	"github.com/spf13/cobra"

	"egrethaven/internal/observe/timeline"
)

// timelineFlags are the flags of the timeline command.
type timelineFlags struct {
	last  time.Duration
	limit int
	html  string
}

var cmdTimeline = command{
	use:  "timeline",
	help: "Show the events of all nodes in one order; exit code 1 if a node did not answer",
	example: "  egrethaven timeline --last 10m\n" +
		"  egrethaven timeline --html incident.html",
	remote: true,
	setup: func(c *cobra.Command) action {
		var f timelineFlags
		c.Flags().DurationVar(&f.last, "last", 0, "only events of this time back from now (0: all that is kept)")
		c.Flags().IntVar(&f.limit, "limit", 1000, "most events of each node")
		c.Flags().StringVar(&f.html, "html", "", "write a picture to this file (HTML with SVG)")
		return func(ctx context.Context, s *session, _ []string) error { return f.run(ctx, s) }
	},
}

// run fetches and prints the timeline. The result is degraded if a node did not
// answer.
func (f timelineFlags) run(ctx context.Context, s *session) error {
	q := url.Values{}
	q.Set("limit", strconv.Itoa(f.limit))
	if f.last > 0 {
		q.Set("after_ms", strconv.FormatInt(time.Now().Add(-f.last).UnixMilli(), 10))
	}
	var l timeline.Timeline
	if err := s.client().Get(ctx, "/timeline", q, &l); err != nil {
		return errors.Trace(err)
	}
	if err := f.write(s, l); err != nil {
		return err
	}
	for _, p := range l.Nodes {
		if !p.Reached {
			return degradedError()
		}
	}
	return nil
}

// write writes the timeline as HTML, JSON or text, as the flags say.
func (f timelineFlags) write(s *session, l timeline.Timeline) error {
	if f.html != "" {
		return writeHTML(f.html, l)
	}
	if s.json {
		return l.WriteJSON(s.out)
	}
	return l.WriteText(s.out)
}

// writeHTML writes the timeline as HTML to the file name.
func writeHTML(name string, l timeline.Timeline) error {
	w, err := os.Create(name)
	if err != nil {
		return usageError("give a path that can be written", "%v", err)
	}
	if err := l.WriteHTML(w); err != nil {
		w.Close()
		return err
	}
	return errors.Trace(w.Close())
}
