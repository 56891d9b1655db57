package search

import (
	"math"
	"slices"
	"strconv"
	"strings"
	"time"

	"egrethaven/internal/state/field"
)

// sectionKind is the first word of a definition's section header.
const sectionKind = "search"

// The limits of the values in a definition.
const (
	maxSchemaVersions = 8       // number of accepted schema versions
	maxSchemaVersion  = 1 << 20 // largest schema version
	minDeadline       = 10 * time.Millisecond
	maxDeadline       = 60 * time.Second
	maxExtraLoad      = 0.5   // fraction of primary calls
	maxMaxLimit       = 10000 // hits
	maxShares         = 64    // callers
	maxCanaryBytes    = 200
)

// fields defines all keys of a definition.
var fields = []field.Field[Definition]{
	field.Name(field.Spec{Section: sectionKind, Key: "service", Required: true,
		Help: "service of backend servers that hold the index"},
		func(d *Definition) *string { return &d.Service }),
	field.Custom(field.Spec{Section: sectionKind, Key: "schema_versions", Required: true,
		Help: "schema versions of a record that are accepted, side by side"},
		"1 to 8 different whole numbers from 1 to 1048576, parted by commas", parseVersions, validVersions),
	field.OneOf(field.Spec{Section: sectionKind, Key: "reconcile", Default: string(ReconcileNewestRevision),
		Help: "which record is kept when one key is found in several accepted schema versions"},
		[]Reconcile{ReconcileNewestRevision, ReconcileNewestSchema}, func(d *Definition) *Reconcile { return &d.Reconcile }),
	field.OneOf(field.Spec{Section: sectionKind, Key: "prefer", Required: true,
		Help: "what wins when the deadline nears"},
		[]Preference{PreferCoverage, PreferLatency}, func(d *Definition) *Preference { return &d.Prefer }),
	field.Duration(field.Spec{Section: sectionKind, Key: "deadline", Required: true,
		Help: "longest time for an answer; callers may ask for less"},
		minDeadline, maxDeadline, func(d *Definition) *time.Duration { return &d.Deadline }),
	field.Float(field.Spec{Section: sectionKind, Key: "extra_load", Unit: "fraction", Default: "0.02",
		Help: "bound on hedges and retries as a fraction of primary calls"},
		0, maxExtraLoad, func(d *Definition) *float64 { return &d.ExtraLoad }),
	field.Int(field.Spec{Section: sectionKind, Key: "max_limit", Unit: "hits", Default: "100",
		Help: "largest number of hits that a caller may ask for"},
		1, maxMaxLimit, func(d *Definition) *int { return &d.MaxLimit }),
	field.Bool(field.Spec{Section: sectionKind, Key: "writes", Default: "false",
		Help: "whether records can be registered"},
		func(d *Definition) *bool { return &d.Writes }),
	field.Custom(field.Spec{Section: sectionKind, Key: "canary_text",
		Help: "text of the tier's own query when there is no traffic"},
		"at most 200 bytes on one line, without spaces at its ends, quotes, # or ;", parseCanary, validCanary),
	field.Custom(field.Spec{Section: sectionKind, Key: "shares", Unit: "fraction",
		Help: "part of the search's capacity that a caller may use when callers compete"},
		"caller:fraction, parted by commas; up to 64 different callers; fractions above 0, together at most 1",
		parseShares, validShares),
}

// Reference returns the definitions of all keys, in the order of the table.
func Reference() []field.Spec {
	out := make([]field.Spec, len(fields))
	for i, f := range fields {
		out[i] = f.Spec
	}
	return out
}

func parseVersions(d *Definition, s string) bool {
	d.SchemaVersions = nil
	for item := range strings.SplitSeq(s, ",") {
		n, err := strconv.Atoi(strings.TrimSpace(item))
		if err != nil {
			return false
		}
		d.SchemaVersions = append(d.SchemaVersions, n)
	}
	return true
}

func validVersions(d *Definition) bool {
	vs := slices.Sorted(slices.Values(d.SchemaVersions))
	if len(vs) == 0 || len(vs) > maxSchemaVersions || vs[0] < 1 || vs[len(vs)-1] > maxSchemaVersion {
		return false
	}
	return len(slices.Compact(vs)) == len(d.SchemaVersions)
}

func joinVersions(vs []int) string {
	items := make([]string, len(vs))
	for i, v := range vs {
		items[i] = strconv.Itoa(v)
	}
	return strings.Join(items, ", ")
}

func parseCanary(d *Definition, s string) bool {
	d.CanaryText = s
	return true
}

// validCanary returns true if the canary text is short enough and the INI format
// can represent it.
func validCanary(d *Definition) bool {
	s := d.CanaryText
	invalid := strings.ContainsFunc(s, func(r rune) bool {
		return r < ' ' || r == 0x7f || strings.ContainsRune("\"'`#;\\\u0085\u2028\u2029\ufeff", r)
	})
	return len(s) <= maxCanaryBytes && s == strings.TrimSpace(s) && !invalid && strings.ToValidUTF8(s, "") == s
}

func parseShares(d *Definition, s string) bool {
	d.Shares = nil
	for item := range strings.SplitSeq(s, ",") {
		caller, fraction, found := strings.Cut(strings.TrimSpace(item), ":")
		f, err := strconv.ParseFloat(fraction, 64)
		if !found || err != nil {
			return false
		}
		d.Shares = append(d.Shares, Share{Caller: caller, Fraction: f})
	}
	return true
}

func validShares(d *Definition) bool {
	if len(d.Shares) > maxShares {
		return false
	}
	sum := 0.0
	seen := make(map[string]bool, len(d.Shares))
	for _, s := range d.Shares {
		if !field.IsName(s.Caller) || seen[s.Caller] || math.IsNaN(s.Fraction) || s.Fraction <= 0 {
			return false
		}
		seen[s.Caller] = true
		sum += s.Fraction
	}
	return sum <= 1
}

func joinShares(ss []Share) string {
	items := make([]string, len(ss))
	for i, s := range ss {
		items[i] = s.Caller + ":" + strconv.FormatFloat(s.Fraction, 'g', -1, 64)
	}
	return strings.Join(items, ", ")
}
