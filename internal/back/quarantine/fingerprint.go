package quarantine

import (
	"encoding/binary"

	"github.com/cespare/xxhash/v2"

	"egrethaven/internal/query/ask"
)

// Fingerprint returns a hash of the content of a request, without ids and times.
func Fingerprint(search, text string, filters []ask.Filter, limit int) uint64 {
	d := xxhash.New()
	write := func(s string) {
		_, _ = d.Write(binary.AppendUvarint(nil, uint64(len(s))))
		_, _ = d.WriteString(s)
	}
	write(search)
	write(text)
	for _, f := range filters {
		write(f.Field)
		write(f.Value)
	}
	_, _ = d.Write(binary.AppendVarint(nil, int64(limit)))
	return d.Sum64()
}
