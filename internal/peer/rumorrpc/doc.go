// Package rumorrpc holds the generated messages and service by which gateways exchange
// rumors. rumor.proto is the source.
package rumorrpc
