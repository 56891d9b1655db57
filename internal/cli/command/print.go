package command

import (
	"encoding/json"
	"fmt"
	"io"
	"strings"
	"text/tabwriter"
	"time"

	"github.com/juju/errors"
)

// printJSON writes v as indented JSON.
func printJSON(w io.Writer, v any) error {
	e := json.NewEncoder(w)
	e.SetIndent("", "  ")
	return errors.Trace(e.Encode(v))
}

// table writes rows with aligned columns.
type table struct {
	t *tabwriter.Writer
}

// newTable returns a table that starts with a row of headings.
func newTable(w io.Writer, headings ...string) *table {
	t := &table{t: tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)}
	t.row(headings...)
	return t
}

// row adds one row. It replaces control characters, so that cells with external
// text cannot break the table or control the terminal.
func (t *table) row(cells ...string) {
	for i, c := range cells {
		cells[i] = printable(c)
	}
	fmt.Fprintln(t.t, strings.Join(cells, "\t"))
}

// flush writes the buffered rows.
func (t *table) flush() error {
	return errors.Trace(t.t.Flush())
}

// printable replaces each control character in s with a question mark.
func printable(s string) string {
	return strings.Map(func(r rune) rune {
		if r < ' ' || r == 0x7f {
			return '?'
		}
		return r
	}, s)
}

// formatElapsed returns the time from t to now, or "-" if t is zero.
func formatElapsed(t, now time.Time) string {
	if t.IsZero() {
		return "-"
	}
	return now.Sub(t).Round(time.Second).String()
}

// formatMillis formats n milliseconds, or a negative n as "none".
func formatMillis(n int64) string {
	if n < 0 {
		return "none"
	}
	return (time.Duration(n) * time.Millisecond).String()
}
