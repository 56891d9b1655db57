// Package examples holds the search definitions and the node settings that
// the repository ships, as files to start from and for the demo.
//
// # Usage
//
//	ds, ps := search.Parse("takasago.ini", examples.Takasago)
package examples

import _ "embed"

// Takasago are the searches of Takasago Sealant Works.
//
//go:embed takasago.ini
var Takasago []byte

// Moisi are the searches of Moisi Metering.
//
//go:embed moisi.ini
var Moisi []byte
