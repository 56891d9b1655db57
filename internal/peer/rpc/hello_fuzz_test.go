package rpc

import "testing"

func FuzzParseHello(f *testing.F) {
	f.Add([]byte("EGR1aaaaaaaaaaaaaaaa"))
	f.Add([]byte("EGR2"))
	f.Fuzz(func(t *testing.T, b []byte) {
		n, err := parseHello(b)
		if err == nil && (len(b) != helloSize || !provenBy("k", n, proof("k", n)) || provenBy("k", n, b)) {
			t.Errorf("accepted %x", b)
		}
	})
}
