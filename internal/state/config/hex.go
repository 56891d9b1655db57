package config

import (
	"encoding/hex"

	"github.com/juju/errors"
)

func appendHex(dst, src []byte) []byte { return hex.AppendEncode(dst, src) }

func parseHex(dst, src []byte) error {
	if hex.DecodedLen(len(src)) != len(dst) {
		return errors.NotValidf("hash length")
	}
	_, err := hex.Decode(dst, src)
	return errors.Trace(err)
}
