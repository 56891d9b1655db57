// Package relayrpc defines the service by which a VM relays changes of the
// platform's store to others, and by which VMs share what they observed of
// searchers. The code is generated from relay.proto.
//
// # Usage
//
//	err := relayrpc.DRPCRegisterRelay(mux, server)
//	out, err := relayrpc.NewDRPCRelayClient(conn).Follow(ctx, in)
package relayrpc
