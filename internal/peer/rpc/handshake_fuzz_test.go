package rpc

import "testing"

func FuzzParseHello(f *testing.F) {
	f.Add([]byte("EGR1aaaaaaaaaaaaaaaa"))
	f.Add([]byte("EGR2"))
	f.Fuzz(func(t *testing.T, b []byte) {
		n, err := parseHello(b)
		if err == nil && (len(b) != helloSize || !verifyProof("k", n, proof("k", n)) || verifyProof("k", n, b)) {
			t.Errorf("invalid hello %x was accepted, or its proof does not verify", b)
		}
	})
}
