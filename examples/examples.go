// Package examples embeds the example search definitions, which the demo uses.
// They and the example settings of nodes are starting points for deployments.
//
// # Usage
//
//	ds, ps := search.Parse("takasago.ini", examples.Takasago)
package examples

import _ "embed"

// Takasago holds the search definitions of Takasago Sealant Works.
//
//go:embed takasago.ini
var Takasago []byte

// Moisi holds the search definitions of Moisi Metering.
//
//go:embed moisi.ini
var Moisi []byte
