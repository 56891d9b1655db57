package rpc

import (
	"crypto/hmac"
	"crypto/rand"
	"crypto/sha256"
	"io"
	"net"
	"time"

	"github.com/juju/errors"
)

const (
	// magic begins every connection and names the version of the exchange.
	magic = "EGR1"
	// nonceSize is the length of the server's challenge, in bytes.
	nonceSize = 16
	// helloSize is the length of what the server sends first, in bytes.
	helloSize = len(magic) + nonceSize
	// proofSize is the length of the dialer's answer, in bytes.
	proofSize = len(magic) + sha256.Size
	// accepted is the byte that the server sends when it takes the connection.
	accepted = 1
)

// nonce is the challenge of one connection.
type nonce [nonceSize]byte

// parseHello reads the server's first bytes.
func parseHello(b []byte) (nonce, error) {
	var n nonce
	if len(b) != helloSize || string(b[:len(magic)]) != magic {
		return n, errors.NotValidf("hello")
	}
	copy(n[:], b[len(magic):])
	return n, nil
}

// proof is the dialer's answer to a challenge.
func proof(key string, n nonce) []byte {
	m := hmac.New(sha256.New, []byte(key))
	m.Write([]byte(magic))
	m.Write(n[:])
	return m.Sum([]byte(magic))
}

// provenBy tells whether b is the proof for n under key, in constant time.
func provenBy(key string, n nonce, b []byte) bool {
	return hmac.Equal(b, proof(key, n))
}

// challenge runs the server's side of the exchange. known tells whether the
// other end may connect without a key.
func challenge(c net.Conn, key string, known bool, timeout time.Duration) error {
	if err := c.SetDeadline(time.Now().Add(timeout)); err != nil {
		return errors.Trace(err)
	}
	var n nonce
	if _, err := rand.Read(n[:]); err != nil {
		return errors.Trace(err)
	}
	if _, err := c.Write(append([]byte(magic), n[:]...)); err != nil {
		return errors.Trace(err)
	}
	b := make([]byte, proofSize)
	if _, err := io.ReadFull(c, b); err != nil {
		return errors.Trace(err)
	}
	if key == "" && !known {
		return errors.Unauthorizedf("address of no known VM")
	}
	if key != "" && !provenBy(key, n, b) {
		return errors.Unauthorizedf("proof of the shared key")
	}
	if _, err := c.Write([]byte{accepted}); err != nil {
		return errors.Trace(err)
	}
	return errors.Trace(c.SetDeadline(time.Time{}))
}

// answer runs the dialer's side of the exchange.
func answer(c net.Conn, key string, timeout time.Duration) error {
	if err := c.SetDeadline(time.Now().Add(timeout)); err != nil {
		return errors.Trace(err)
	}
	b := make([]byte, helloSize)
	if _, err := io.ReadFull(c, b); err != nil {
		return errors.Trace(err)
	}
	n, err := parseHello(b)
	if err != nil {
		return err
	}
	if _, err := c.Write(proof(key, n)); err != nil {
		return errors.Trace(err)
	}
	if _, err := io.ReadFull(c, b[:1]); err != nil {
		return errors.Annotate(err, "refused by peer")
	}
	if b[0] != accepted {
		return errors.NotValidf("hello")
	}
	return errors.Trace(c.SetDeadline(time.Time{}))
}
