package accountfile

import (
	"slices"
	"strconv"
	"strings"

	"github.com/juju/errors"

	"egrethaven/internal/state/account"
	"egrethaven/internal/state/field"
	"egrethaven/internal/state/inifile"
	"egrethaven/internal/state/problem"
)

// sectionKind is the first word of the header of an account's section.
const sectionKind = "account"

const (
	// minKeyBytes makes keys too long to be guessed.
	minKeyBytes = 16
	maxKeyBytes = 256
	maxKeys     = 100
	maxPriority = 100
	// maxRate and maxBurst are far above what VMs serve.
	maxRate  = 1e6
	maxBurst = 1e6
)

// keyChars are the characters of a key, those of a bearer token (RFC 6750). None of them has a
// meaning in INI files or in lists.
const keyChars = "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789-._~+/="

// fields defines all keys of an account's section.
var fields = []field.Field[account.Entry]{
	field.Custom(field.Spec{Section: sectionKind, Key: "api_keys", Required: true, Secret: true,
		Help: "keys of the account, one of which a request has to bear"},
		"1 to 100 different keys of 16 to 256 of A-Z a-z 0-9 - . _ ~ + / =, parted by commas", parseKeys, validKeys),
	field.Custom(field.Spec{Section: sectionKind, Key: "priority",
		Help: "priority of the account's queries while some have to wait; 0, the highest, if not given"},
		"a whole number from 0 to 100", parsePriority,
		func(e *account.Entry) bool { return e.Account.Priority >= 0 && e.Account.Priority <= maxPriority }),
	field.Float(field.Spec{Section: sectionKind, Key: "rate_per_s", Unit: "requests/s",
		Help: "queries and records of the account that all VMs together run in a second; no limit if 0 or not given"},
		0, maxRate, func(e *account.Entry) *float64 { return &e.Account.RatePerSecond }),
	field.Float(field.Spec{Section: sectionKind, Key: "burst", Unit: "requests",
		Help: "queries and records beyond the rate that all VMs together run in a burst; needs rate_per_s"},
		0, maxBurst, func(e *account.Entry) *float64 { return &e.Account.Burst }),
}

// Reference returns the definitions of all keys, in the order of the table.
func Reference() []field.Spec { return field.Reference(fields) }

func parseKeys(e *account.Entry, v string) bool {
	e.Keys = nil
	for k := range strings.SplitSeq(v, ",") {
		e.Keys = append(e.Keys, strings.TrimSpace(k))
	}
	return true
}

func validKeys(e *account.Entry) bool {
	if len(e.Keys) > maxKeys || len(slices.Compact(slices.Sorted(slices.Values(e.Keys)))) < len(e.Keys) {
		return false
	}
	return !slices.ContainsFunc(e.Keys, func(k string) bool {
		return len(k) < minKeyBytes || len(k) > maxKeyBytes || strings.Trim(k, keyChars) != ""
	})
}

func parsePriority(e *account.Entry, v string) bool {
	n, err := strconv.Atoi(v)
	e.Account.Priority, e.Account.HasPriority = n, true
	return err == nil
}

// Parse parses the accounts in b, one per [account "name"] section. file is the file name in
// problems, which contain no text that may be a key. The index is valid only if there are none.
//
// A file without accounts is a problem: it may be one that is being written, and its use would
// mean that no key is valid.
func Parse(file string, b []byte) (*account.Index, []problem.Problem) {
	f, ps := inifile.ParseSecret(file, b)
	builder := account.NewBuilder()
	for _, s := range f.Sections {
		if s.Kind != sectionKind || !field.IsName(s.Name) {
			ps = append(ps, problem.Problem{File: file, Line: s.Line, Message: "section is not known",
				Allowed: `[account "name"], the name 1 to 63 of a-z 0-9 _ . -`})
			continue
		}
		e := account.Entry{Account: account.Account{Name: s.Name}}
		if more := field.Read(fields, file, s, &e); len(more) > 0 {
			ps = append(ps, more...)
			continue
		}
		if e.Account.Burst > 0 && !e.Account.Limited() {
			ps = append(ps, problem.Problem{File: file, Line: s.Line, Section: s.Header, Key: "burst", Message: "burst has no effect without rate_per_s"})
			continue
		}
		if err := builder.Add(e); err != nil {
			ps = append(ps, problem.Problem{File: file, Line: s.Line, Message: errors.Cause(err).Error()})
		}
	}
	if len(f.Sections) == 0 && len(ps) == 0 {
		ps = append(ps, problem.Problem{File: file, Message: "no account is defined", Allowed: `at least one [account "name"] section`})
	}
	for i := range ps {
		hideText(&ps[i])
	}
	problem.Sort(ps)
	return builder.Index(), ps
}

// hideText removes the names of a section and a key from a problem if they are not known ones: a
// key of an account that stands on a line of its own is read as one of these.
func hideText(p *problem.Problem) {
	kind, name, _ := strings.Cut(p.Section, " ")
	if unquoted, err := strconv.Unquote(name); err != nil || kind != sectionKind || !field.IsName(unquoted) {
		p.Section = ""
	}
	if !slices.ContainsFunc(fields, func(f field.Field[account.Entry]) bool { return f.Key == p.Key }) {
		p.Key = ""
	}
}
