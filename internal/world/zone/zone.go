// Package zone names failure domains: the parts of a deployment that fail,
// and are cut off, together.
//
// # Usage
//
//	d := zone.Domain("sapporo")
package zone

// Domain is the name of a failure domain.
type Domain string
