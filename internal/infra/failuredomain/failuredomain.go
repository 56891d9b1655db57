// Package failuredomain defines the type of failure domain names. A failure domain is a
// part of a deployment whose VMs may fail or become unreachable together.
//
// # Usage
//
//	d := failuredomain.Domain("sapporo")
package failuredomain

// Domain is the name of a failure domain.
type Domain string
