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
	// magic starts every handshake message and identifies its version.
	magic = "EGR1"
	// nonceSize is the length of the server's nonce in bytes.
	nonceSize = 16
	// helloSize is the length of the server's hello in bytes.
	helloSize = len(magic) + nonceSize
	// proofSize is the length of the dialer's proof in bytes.
	proofSize = len(magic) + sha256.Size
	// accepted is the byte that the server sends to accept the connection.
	accepted = 1
)

// nonce is the random challenge of one connection.
type nonce [nonceSize]byte

// parseHello returns the nonce of the server's hello.
func parseHello(b []byte) (nonce, error) {
	var n nonce
	if len(b) != helloSize || string(b[:len(magic)]) != magic {
		return n, errors.NotValidf("server hello of %d bytes", len(b))
	}
	copy(n[:], b[len(magic):])
	return n, nil
}

// proof returns the dialer's answer to a nonce: magic and the HMAC-SHA256 of
// magic and the nonce under key.
func proof(key string, n nonce) []byte {
	m := hmac.New(sha256.New, []byte(key))
	m.Write([]byte(magic))
	m.Write(n[:])
	return m.Sum([]byte(magic))
}

// verifyProof reports in constant time whether b is the proof for n under key.
func verifyProof(key string, n nonce, b []byte) bool {
	return hmac.Equal(b, proof(key, n))
}

// serverHandshake runs the server's side of the handshake. isKnown reports
// whether the dialer's address may connect when there is no shared key.
func serverHandshake(c net.Conn, key string, isKnown bool, timeout time.Duration) error {
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
	if key == "" && !isKnown {
		return errors.Unauthorizedf("address belongs to no known VM, and no shared key is set")
	}
	if key != "" && !verifyProof(key, n, b) {
		return errors.Unauthorizedf("invalid proof of the shared key")
	}
	if _, err := c.Write([]byte{accepted}); err != nil {
		return errors.Trace(err)
	}
	return errors.Trace(c.SetDeadline(time.Time{}))
}

// clientHandshake runs the dialer's side of the handshake.
func clientHandshake(c net.Conn, key string, timeout time.Duration) error {
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
	_, err = io.ReadFull(c, b[:1])
	if err == io.EOF {
		err = errors.WithType(err, ErrRefused)
	}
	if err != nil {
		return errors.Annotate(err, "no acceptance from peer")
	}
	if b[0] != accepted {
		return errors.NotValidf("handshake reply %d", b[0])
	}
	return errors.Trace(c.SetDeadline(time.Time{}))
}
