// Package handoverrpc defines the service by which a VM that cannot reach the searchers
// of a request hands the request over to another VM. The code is generated from
// handover.proto.
//
// # Usage
//
//	err := handoverrpc.DRPCRegisterHandover(mux, server)
//	out, err := handoverrpc.NewDRPCHandoverClient(conn).Answer(ctx, in)
package handoverrpc
