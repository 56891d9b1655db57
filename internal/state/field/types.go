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

// NamePattern matches names of VMs, searches, services and callers.
const NamePattern = `[a-z0-9][a-z0-9_.-]{0,62}`

var nameRegexp = regexp.MustCompile(`^` + NamePattern + `$`)

// Name returns a field for a name that matches NamePattern.
func Name[T any](spec Spec, ptr func(*T) *string) Field[T] {
	spec.Allowed = "1 to 63 of a-z 0-9 _ . -, first a letter or digit"
	return text(spec, ptr, func(v string) bool { return nameRegexp.MatchString(v) })
}

// IsName returns true if s matches NamePattern.
func IsName(s string) bool { return nameRegexp.MatchString(s) }

// Text returns a field for text of at most maxBytes bytes, which may be empty.
func Text[T any](spec Spec, maxBytes int, ptr func(*T) *string) Field[T] {
	spec.Allowed = fmt.Sprintf("at most %d bytes", maxBytes)
	return text(spec, ptr, func(v string) bool { return len(v) <= maxBytes })
}

// Secret returns a field for a secret of minBytes to 256 bytes, which may be
// empty.
func Secret[T any](spec Spec, minBytes int, ptr func(*T) *string) Field[T] {
	spec.Secret = true
	spec.Allowed = fmt.Sprintf("%d to 256 printable ASCII characters without spaces, or not given", minBytes)
	return text(spec, ptr, func(v string) bool {
		invalid := strings.ContainsFunc(v, func(r rune) bool { return r <= ' ' || r > '~' })
		return v == "" || len(v) >= minBytes && len(v) <= 256 && !invalid
	})
}

// Addr returns a field for an IP address and a port above 0.
func Addr[T any](spec Spec, ptr func(*T) *string) Field[T] {
	spec.Allowed = "IP:port with a port from 1 to 65535"
	return text(spec, ptr, func(v string) bool {
		ap, err := netip.ParseAddrPort(v)
		return err == nil && ap.Port() > 0
	})
}

// OneOf returns a field that accepts only the given values.
func OneOf[T any, S ~string](spec Spec, values []S, ptr func(*T) *S) Field[T] {
	words := make([]string, len(values))
	for i, v := range values {
		words[i] = string(v)
	}
	spec.Allowed = strings.Join(words, ", ")
	return text(spec, ptr, func(v S) bool { return slices.Contains(values, v) })
}

// text returns a field of a string type. isValid returns true if a value is
// allowed.
func text[T any, S ~string](spec Spec, ptr func(*T) *S, isValid func(S) bool) Field[T] {
	return Field[T]{
		Spec:  spec,
		parse: func(t *T, s string) bool { *ptr(t) = S(s); return true },
		valid: func(t *T) bool { return isValid(*ptr(t)) },
	}
}

// Int returns a field for an integer from minimum to maximum.
func Int[T any](spec Spec, minimum, maximum int, ptr func(*T) *int) Field[T] {
	spec.Allowed = fmt.Sprintf("a whole number from %d to %d", minimum, maximum)
	return Field[T]{
		Spec: spec,
		parse: func(t *T, s string) bool {
			v, err := strconv.Atoi(s)
			*ptr(t) = v
			return err == nil
		},
		valid: func(t *T) bool { v := *ptr(t); return minimum <= v && v <= maximum },
	}
}

// Float returns a field for a number from minimum to maximum.
func Float[T any](spec Spec, minimum, maximum float64, ptr func(*T) *float64) Field[T] {
	spec.Allowed = fmt.Sprintf("a number from %g to %g", minimum, maximum)
	return Field[T]{
		Spec: spec,
		parse: func(t *T, s string) bool {
			v, err := strconv.ParseFloat(s, 64)
			*ptr(t) = v
			return err == nil && !math.IsNaN(v)
		},
		valid: func(t *T) bool { v := *ptr(t); return minimum <= v && v <= maximum },
	}
}

// Bool returns a field for true or false.
func Bool[T any](spec Spec, ptr func(*T) *bool) Field[T] {
	spec.Allowed = "true or false"
	return Field[T]{
		Spec:  spec,
		parse: func(t *T, s string) bool { *ptr(t) = s == "true"; return s == "true" || s == "false" },
		valid: func(*T) bool { return true },
	}
}

// Duration returns a field for a duration from minimum to maximum.
func Duration[T any](spec Spec, minimum, maximum time.Duration, ptr func(*T) *time.Duration) Field[T] {
	spec.Unit = "duration"
	spec.Allowed = fmt.Sprintf("a time such as 250ms or 2s, from %s to %s", minimum, maximum)
	return Field[T]{
		Spec: spec,
		parse: func(t *T, s string) bool {
			v, err := time.ParseDuration(s)
			*ptr(t) = v
			return err == nil
		},
		valid: func(t *T) bool { v := *ptr(t); return minimum <= v && v <= maximum },
	}
}

// Custom returns a field with its own parser and validation. allowed describes
// the allowed values.
func Custom[T any](spec Spec, allowed string, parse func(*T, string) bool, valid func(*T) bool) Field[T] {
	spec.Allowed = allowed
	return Field[T]{Spec: spec, parse: parse, valid: valid}
}
