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

// table writes rows in columns.
type table struct {
	t *tabwriter.Writer
}

// newTable begins a table with a line of headings.
func newTable(w io.Writer, headings ...string) *table {
	t := &table{t: tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)}
	t.row(headings...)
	return t
}

// row adds one line. A cell that came from elsewhere cannot break the table
// or the terminal.
func (t *table) row(cells ...string) {
	for i, c := range cells {
		cells[i] = printable(c)
	}
	fmt.Fprintln(t.t, strings.Join(cells, "\t"))
}

// end writes the table.
func (t *table) end() error {
	return errors.Trace(t.t.Flush())
}

// printable replaces control characters.
func printable(s string) string {
	return strings.Map(func(r rune) rune {
		if r < ' ' || r == 0x7f {
			return '?'
		}
		return r
	}, s)
}

// ago is the time since t, in words.
func ago(t, now time.Time) string {
	if t.IsZero() {
		return "-"
	}
	return now.Sub(t).Round(time.Second).String()
}

// ms is a time in milliseconds, in words; negative is none.
func ms(n int64) string {
	if n < 0 {
		return "none"
	}
	return (time.Duration(n) * time.Millisecond).String()
}
