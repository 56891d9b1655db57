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

// recordRequest is the JSON body of a write, documented in docs/API.md.
type recordRequest struct {
	Key           string        `json:"key"`
	SchemaVersion int           `json:"schema_version"`
	Source        string        `json:"source,omitempty"`
	Fields        record.Fields `json:"fields"`
}

// recordFlags are the flags of the record command.
type recordFlags struct {
	key            string
	schemaVersion  int
	source         string
	fields         []string
	idempotencyKey string
	caller         string
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
		c.Flags().IntVar(&f.schemaVersion, "schema", 1, "schema version of the record")
		c.Flags().StringVar(&f.source, "source", "", "system that the record comes from")
		c.Flags().StringArrayVar(&f.fields, "field", nil, "NAME=VALUE of the record")
		c.Flags().StringVar(&f.idempotencyKey, "idempotency-key", "", "UUIDv7 of the request; repeat it to repeat the request (default a new one)")
		c.Flags().StringVar(&f.caller, "caller", "", "name to ask as")
		return func(ctx context.Context, s *session, args []string) error { return f.run(ctx, s, args[0]) }
	},
}

// run sends the record, with a new idempotency key if none is given.
func (f recordFlags) run(ctx context.Context, s *session, search string) error {
	if f.idempotencyKey == "" {
		id, err := uuid.NewV7()
		if err != nil {
			return errors.Trace(err)
		}
		f.idempotencyKey = id.String()
		fmt.Fprintf(s.errOut, "egrethaven: repeat this request only with --idempotency-key %s\n", f.idempotencyKey)
	}
	r := recordRequest{Key: f.key, SchemaVersion: f.schemaVersion, Source: f.source, Fields: record.Fields{}}
	for _, field := range f.fields {
		name, value, ok := strings.Cut(field, "=")
		if !ok {
			return usageError("write --field NAME=VALUE", "the field %q has no =", field)
		}
		r.Fields[name] = value
	}
	h := http.Header{}
	h.Set("Idempotency-Key", f.idempotencyKey)
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
	suffix := ""
	if res.Repeated {
		suffix = " (recorded outcome of an earlier request)"
	}
	fmt.Fprintf(s.out, "%s%s: revision %d, %.1f ms\n", res.Outcome, suffix, res.Revision, res.ElapsedMS)
	return nil
}
