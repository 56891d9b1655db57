package config

import (
	"encoding/hex"

	"github.com/juju/errors"
)

func appendHex(b, h []byte) []byte { return hex.AppendEncode(b, h) }

func parseHex(h, b []byte) error {
	if hex.DecodedLen(len(b)) != len(h) {
		return errors.NotValidf("length of a hash")
	}
	_, err := hex.Decode(h, b)
	return errors.Trace(err)
}
