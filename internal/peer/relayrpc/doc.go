// Package relayrpc holds the messages by which one VM passes the changes of the
// platform's store on to others, generated from relay.proto.
//
// # Usage
//
//	err := relayrpc.DRPCRegisterRelay(mux, server)
//	out, err := relayrpc.NewDRPCRelayClient(conn).Follow(ctx, in)
package relayrpc
