package command

import (
	"context"
	"fmt"
	"net/http"
	"strings"

	"github.com/google/uuid"
	"github.com/juju/errors"
	"github.com/spf13/cobra"

	"egrethaven/internal/query/record"
	"egrethaven/internal/query/write"
)

// newRecord is the body of a write, as docs/API.md describes it.
type newRecord struct {
	Key           string        `json:"key"`
	SchemaVersion int           `json:"schema_version"`
	Source        string        `json:"source,omitempty"`
	Fields        record.Fields `json:"fields"`
}

// recordFlags are the flags of the record command.
type recordFlags struct {
	key    string
	schema int
	source string
	fields []string
	once   string
	caller string
}

var cmdRecord = command{
	use:  "record SEARCH --key KEY --schema N --field NAME=VALUE...",
	help: "Register one record, at most once",
	example: "  egrethaven record returns --key M-17 --schema 1 --field state=returned\n" +
		"  egrethaven record returns --key M-17 --schema 1 --field state=returned --idempotency-key $KEY",
	args:   cobra.ExactArgs(1),
	remote: true,
	setup: func(c *cobra.Command) action {
		var f recordFlags
		c.Flags().StringVar(&f.key, "key", "", "key of the record")
		c.Flags().IntVar(&f.schema, "schema", 1, "schema version of the record")
		c.Flags().StringVar(&f.source, "source", "", "system that the record comes from")
		c.Flags().StringArrayVar(&f.fields, "field", nil, "NAME=VALUE of the record")
		c.Flags().StringVar(&f.once, "idempotency-key", "", "UUIDv7 of the request; repeat it to repeat the request (default a new one)")
		c.Flags().StringVar(&f.caller, "caller", "", "name to ask as")
		return func(ctx context.Context, s *session, args []string) error { return f.run(ctx, s, args[0]) }
	},
}

// run sends the record and shows how it ended.
func (f recordFlags) run(ctx context.Context, s *session, search string) error {
	if f.once == "" {
		id, err := uuid.NewV7()
		if err != nil {
			return errors.Trace(err)
		}
		f.once = id.String()
		fmt.Fprintf(s.errs, "egrethaven: repeat this request only with --idempotency-key %s\n", f.once)
	}
	r := newRecord{Key: f.key, SchemaVersion: f.schema, Source: f.source, Fields: record.Fields{}}
	for _, x := range f.fields {
		name, value, ok := strings.Cut(x, "=")
		if !ok {
			return usage("write --field NAME=VALUE", "the field %q has no =", x)
		}
		r.Fields[name] = value
	}
	h := http.Header{}
	h.Set("Idempotency-Key", f.once)
	if f.caller != "" {
		h.Set("X-Caller", f.caller)
	}
	var res write.Result
	if err := s.client().Post(ctx, "/searches/"+search+"/records", nil, h, r, &res); err != nil {
		return errors.Trace(err)
	}
	if s.json {
		return printJSON(s.out, res)
	}
	again := ""
	if res.Repeated {
		again = " (recorded outcome of an earlier request)"
	}
	fmt.Fprintf(s.out, "%s%s: revision %d, %.1f ms\n", res.Outcome, again, res.Revision, res.ElapsedMS)
	return nil
}
