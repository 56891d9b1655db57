// Package fixedseed gives property tests the same inputs in every run, so
// that a commit has one verdict. The flag -rapid.seed still chooses others.
//
// # Usage
//
//	import _ "egrethaven/internal/proof/fixedseed"
package fixedseed

import (
	"flag"

	_ "pgregory.net/rapid" // registers the flag
)

// seed is the seed of all property tests.
const seed = "20261204"

func init() {
	if err := flag.Set("rapid.seed", seed); err != nil {
		panic("fixedseed: " + err.Error())
	}
	if err := flag.Set("rapid.nofailfile", "true"); err != nil {
		panic("fixedseed: " + err.Error())
	}
}
