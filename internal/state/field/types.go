package field

import (
	"fmt"
	"math"
	"net/netip"
	"regexp"
	"slices"
	"strconv"
	"strings"
	"time"
)

// NamePattern is the form of names of VMs, searches, services and callers.
const NamePattern = `[a-z0-9][a-z0-9_.-]{0,62}`

var name = regexp.MustCompile(`^` + NamePattern + `$`)

// Name is text of the form NamePattern.
func Name[T any](a Spec, at func(*T) *string) Field[T] {
	a.Allowed = "1 to 63 of a-z 0-9 _ . -, first a letter or digit"
	return text(a, at, func(v string) bool { return name.MatchString(v) })
}

// IsName tells whether s has the form NamePattern.
func IsName(s string) bool { return name.MatchString(s) }

// Text is text of at most longest bytes, possibly empty.
func Text[T any](a Spec, longest int, at func(*T) *string) Field[T] {
	a.Allowed = fmt.Sprintf("at most %d bytes", longest)
	return text(a, at, func(v string) bool { return len(v) <= longest })
}

// Secret is empty, or text of at least shortest bytes.
func Secret[T any](a Spec, shortest int, at func(*T) *string) Field[T] {
	a.Secret = true
	a.Allowed = fmt.Sprintf("%d to 256 printable ASCII characters without spaces, or not given", shortest)
	return text(a, at, func(v string) bool {
		odd := strings.ContainsFunc(v, func(r rune) bool { return r <= ' ' || r > '~' })
		return v == "" || len(v) >= shortest && len(v) <= 256 && !odd
	})
}

// Addr is an IP address and a port above 0.
func Addr[T any](a Spec, at func(*T) *string) Field[T] {
	a.Allowed = "IP:port with a port from 1 to 65535"
	return text(a, at, func(v string) bool {
		ap, err := netip.ParseAddrPort(v)
		return err == nil && ap.Port() > 0
	})
}

// OneOf is one of the values.
func OneOf[T any, S ~string](a Spec, values []S, at func(*T) *S) Field[T] {
	words := make([]string, len(values))
	for i, v := range values {
		words[i] = string(v)
	}
	a.Allowed = strings.Join(words, ", ")
	return text(a, at, func(v S) bool { return slices.Contains(values, v) })
}

// text is any string type with a test.
func text[T any, S ~string](a Spec, at func(*T) *S, ok func(S) bool) Field[T] {
	return Field[T]{
		Spec: a,
		parse: func(t *T, s string) bool { *at(t) = S(s); return true },
		valid: func(t *T) bool { return ok(*at(t)) },
	}
}

// Int is a whole number between least and most.
func Int[T any](a Spec, least, most int, at func(*T) *int) Field[T] {
	a.Allowed = fmt.Sprintf("a whole number from %d to %d", least, most)
	return Field[T]{
		Spec: a,
		parse: func(t *T, s string) bool {
			v, err := strconv.Atoi(s)
			*at(t) = v
			return err == nil
		},
		valid: func(t *T) bool { v := *at(t); return least <= v && v <= most },
	}
}

// Float is a number between least and most.
func Float[T any](a Spec, least, most float64, at func(*T) *float64) Field[T] {
	a.Allowed = fmt.Sprintf("a number from %g to %g", least, most)
	return Field[T]{
		Spec: a,
		parse: func(t *T, s string) bool {
			v, err := strconv.ParseFloat(s, 64)
			*at(t) = v
			return err == nil && !math.IsNaN(v)
		},
		valid: func(t *T) bool { v := *at(t); return least <= v && v <= most },
	}
}

// Bool is true or false.
func Bool[T any](a Spec, at func(*T) *bool) Field[T] {
	a.Allowed = "true or false"
	return Field[T]{
		Spec: a,
		parse: func(t *T, s string) bool { *at(t) = s == "true"; return s == "true" || s == "false" },
		valid: func(*T) bool { return true },
	}
}

// Duration is a time with its unit, between least and most.
func Duration[T any](a Spec, least, most time.Duration, at func(*T) *time.Duration) Field[T] {
	a.Unit = "duration"
	a.Allowed = fmt.Sprintf("a time such as 250ms or 2s, from %s to %s", least, most)
	return Field[T]{
		Spec: a,
		parse: func(t *T, s string) bool {
			v, err := time.ParseDuration(s)
			*at(t) = v
			return err == nil
		},
		valid: func(t *T) bool { v := *at(t); return least <= v && v <= most },
	}
}

// Custom is a value of any type with its own parser and test. allowed is the
// range in words.
func Custom[T any](a Spec, allowed string, parse func(*T, string) bool, valid func(*T) bool) Field[T] {
	a.Allowed = allowed
	return Field[T]{Spec: a, parse: parse, valid: valid}
}
