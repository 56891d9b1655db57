package quarantine

import (
	"encoding/binary"
	"fmt"
	"strconv"

	"github.com/cespare/xxhash/v2"
	"github.com/juju/errors"

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

// FingerprintHTTP returns a hash of an HTTP request as a searcher sees it, without the
// headers that differ between two attempts at the same request. credentials are those of
// Credentials.
func FingerprintHTTP(method, host, target, credentials string, body []byte) uint64 {
	d := xxhash.New()
	var size [binary.MaxVarintLen64]byte
	for _, s := range []string{method, host, target, credentials} {
		_, _ = d.Write(binary.AppendUvarint(size[:0], uint64(len(s))))
		_, _ = d.WriteString(s)
	}
	_, _ = d.Write(body)
	return d.Sum64()
}

// Credentials returns what FingerprintHTTP takes of the sender of a request: its Authorization
// header and the name of its client account; empty if it has none.
func Credentials(authorization, account string) string {
	if account == "" {
		return authorization
	}
	return authorization + "\x00" + account
}

// FormatFingerprint returns a fingerprint in hexadecimal, as in logs.
func FormatFingerprint(fingerprint uint64) string { return fmt.Sprintf("%016x", fingerprint) }

// ParseFingerprint is the inverse of FormatFingerprint.
func ParseFingerprint(s string) (uint64, error) {
	f, err := strconv.ParseUint(s, 16, 64)
	if err != nil || FormatFingerprint(f) != s {
		return 0, errors.Errorf("fingerprint %q is not 16 hexadecimal digits", s)
	}
	return f, nil
}
