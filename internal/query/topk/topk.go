// Package topk merges the records of several shards and keeps the k greatest.
//
// Records have a fixed size and are compared byte by byte. Duplicates are
// kept.
//
// # Usage
//
//	body := topk.Merge(parts, 50)
package topk

import (
	"bytes"
	"encoding/binary"
	"slices"
)

// RecordSize is the size of a record, in bytes.
const RecordSize = 16

// record holds a record as two big-endian numbers, so that comparing records
// orders them byte by byte.
type record struct{ hi, lo uint64 }

// Merge returns the k greatest records of all parts in descending order. An
// incomplete record at the end of a part is ignored.
func Merge(parts [][]byte, k int) []byte {
	n := 0
	for _, p := range parts {
		n += len(p) / RecordSize
	}
	rs := make([]record, 0, n)
	for _, p := range parts {
		for ; len(p) >= RecordSize; p = p[RecordSize:] {
			rs = append(rs, record{binary.BigEndian.Uint64(p), binary.BigEndian.Uint64(p[8:])})
		}
	}
	slices.SortFunc(rs, func(a, b record) int {
		switch {
		case a.hi > b.hi || a.hi == b.hi && a.lo > b.lo:
			return -1
		case a == b:
			return 0
		}
		return 1
	})
	rs = rs[:min(max(k, 0), len(rs))]
	out := bytes.NewBuffer(make([]byte, 0, len(rs)*RecordSize))
	for _, r := range rs {
		out.Write(binary.BigEndian.AppendUint64(binary.BigEndian.AppendUint64(out.AvailableBuffer(), r.hi), r.lo))
	}
	return out.Bytes()
}
