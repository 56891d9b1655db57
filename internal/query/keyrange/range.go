// Package keyrange describes the contiguous ranges into which shards divide the
// key space.
//
// A record's key is hashed to a 64-bit point with Point. A shard holds the
// records whose points lie in its Range. Both ends are inclusive, so that a
// Range can represent the whole key space. The text form of a range is two
// groups of sixteen hexadecimal digits joined by a dash.
//
// # Usage
//
//	r := keyrange.Range{First: 0, Last: math.MaxUint64 / 2}
//	if r.Contains(keyrange.Point("S-1042")) { ... }
//	ok := keyrange.Tile([]keyrange.Range{r, {First: r.Last + 1, Last: math.MaxUint64}})
package keyrange

import (
	"cmp"
	"math"
	"slices"

	"github.com/cespare/xxhash/v2"
	"github.com/juju/errors"
)

// textLength is the length of the text form of a range, in bytes.
const textLength = 33

// Whole is the complete key space.
var Whole = Range{First: 0, Last: math.MaxUint64}

// Range is a contiguous part of the key space, both ends inclusive.
type Range struct {
	First uint64
	Last  uint64
}

// Point returns the point of a record key in the key space, which is its hash.
func Point(key string) uint64 {
	return xxhash.Sum64String(key)
}

// Contains reports whether p lies in r.
func (r Range) Contains(p uint64) bool {
	return r.First <= p && p <= r.Last
}

// Overlaps reports whether r and o share a point.
func (r Range) Overlaps(o Range) bool {
	return r.First <= o.Last && o.First <= r.Last
}

// Covers reports whether every point of o lies in r.
func (r Range) Covers(o Range) bool {
	return r.First <= o.First && o.Last <= r.Last
}

// Valid reports whether First is not above Last.
func (r Range) Valid() bool {
	return r.First <= r.Last
}

// Compare orders ranges by First, then by Last, and returns -1, 0 or 1.
func (r Range) Compare(o Range) int {
	if c := cmp.Compare(r.First, o.First); c != 0 {
		return c
	}
	return cmp.Compare(r.Last, o.Last)
}

// String returns the text form of r.
func (r Range) String() string {
	return string(r.appendText(make([]byte, 0, textLength)))
}

// MarshalText returns the text form of r.
func (r Range) MarshalText() ([]byte, error) {
	return r.appendText(make([]byte, 0, textLength)), nil
}

// appendText appends the text form of r to b.
func (r Range) appendText(b []byte) []byte {
	b = appendHex(b, r.First)
	b = append(b, '-')
	return appendHex(b, r.Last)
}

// appendHex appends v to b as sixteen hexadecimal digits.
func appendHex(b []byte, v uint64) []byte {
	const digits = "0123456789abcdef"
	for shift := 60; shift >= 0; shift -= 4 {
		b = append(b, digits[v>>uint(shift)&15])
	}
	return b
}

// UnmarshalText parses the text form of a range. It returns an error if b has
// another form or the range is not valid.
func (r *Range) UnmarshalText(b []byte) error {
	var v Range
	if len(b) != textLength || b[16] != '-' {
		return errors.NotValidf("key range %q", b)
	}
	if !parseHex(b[:16], &v.First) || !parseHex(b[17:], &v.Last) || !v.Valid() {
		return errors.NotValidf("key range %q", b)
	}
	*r = v
	return nil
}

// parseHex parses lower-case hexadecimal digits into v. It returns false on any
// other character.
func parseHex(b []byte, v *uint64) bool {
	var n uint64
	for _, c := range b {
		switch {
		case '0' <= c && c <= '9':
			n = n<<4 | uint64(c-'0')
		case 'a' <= c && c <= 'f':
			n = n<<4 | uint64(c-'a'+10)
		default:
			return false
		}
	}
	*v = n
	return true
}

// Split divides the key space into n ranges of nearly equal size. n must not be
// less than 1.
func Split(n int) []Range {
	rs := make([]Range, n)
	step := math.MaxUint64/uint64(n) + 1
	for i := range rs {
		rs[i].First = uint64(i) * step
		rs[i].Last = rs[i].First + step - 1
	}
	rs[n-1].Last = math.MaxUint64
	return rs
}

// Tile reports whether rs cover the whole key space without gaps or overlaps, in
// any order.
func Tile(rs []Range) bool {
	if len(rs) == 0 {
		return false
	}
	s := slices.SortedFunc(slices.Values(rs), Range.Compare)
	if s[0].First != 0 || s[len(s)-1].Last != math.MaxUint64 {
		return false
	}
	for i := 1; i < len(s); i++ {
		if s[i-1].Last == math.MaxUint64 || s[i].First != s[i-1].Last+1 {
			return false
		}
	}
	return s[0].Valid()
}

// Gaps returns the parts of the key space that no range of rs covers, in order.
// The ranges may overlap and have any order.
func Gaps(rs []Range) []Range {
	s := slices.SortedFunc(slices.Values(rs), Range.Compare)
	var gs []Range
	next := uint64(0)
	for _, r := range s {
		if r.First > next {
			gs = append(gs, Range{First: next, Last: r.First - 1})
		}
		if r.Last == math.MaxUint64 {
			return gs
		}
		next = max(next, r.Last+1)
	}
	return append(gs, Range{First: next, Last: math.MaxUint64})
}
