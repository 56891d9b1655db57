package quarantine

import (
	"encoding/binary"

	"github.com/cespare/xxhash/v2"

	"egrethaven/internal/query/ask"
)

// Fingerprint identifies what a request asks, without its ids and times.
func Fingerprint(search, text string, filters []ask.Filter, limit int) uint64 {
	d := xxhash.New()
	part := func(s string) {
		_, _ = d.Write(binary.AppendUvarint(nil, uint64(len(s))))
		_, _ = d.WriteString(s)
	}
	part(search)
	part(text)
	for _, f := range filters {
		part(f.Field)
		part(f.Value)
	}
	_, _ = d.Write(binary.AppendVarint(nil, int64(limit)))
	return d.Sum64()
}
