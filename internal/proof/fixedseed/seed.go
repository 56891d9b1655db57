// Package fixedseed gives property tests the same seed in every run, so that all
// runs of a commit have the same result. The flag -rapid.seed overrides it.
//
// # Usage
//
//	import _ "egrethaven/internal/proof/fixedseed"
package fixedseed

import (
	"flag"

	_ "pgregory.net/rapid" // registers the -rapid flags
)

// seed is the default seed of all property tests.
const seed = "20261204"

func init() {
	if err := flag.Set("rapid.seed", seed); err != nil {
		panic("fixedseed: set -rapid.seed: " + err.Error())
	}
	if err := flag.Set("rapid.nofailfile", "true"); err != nil {
		panic("fixedseed: set -rapid.nofailfile: " + err.Error())
	}
}
