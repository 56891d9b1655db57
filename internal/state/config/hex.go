package config

import (
	"encoding/hex"

	"github.com/juju/errors"
)

// appendHex appends src to dst in hexadecimal.
func appendHex(dst, src []byte) []byte { return hex.AppendEncode(dst, src) }

// parseHex decodes the hexadecimal text src, which must fill dst.
func parseHex(dst, src []byte) error {
	if hex.DecodedLen(len(src)) != len(dst) {
		return errors.NotValidf("hash length")
	}
	_, err := hex.Decode(dst, src)
	return errors.Trace(err)
}
