// Package configrpc holds the messages by which entry VMs pass the
// configuration on and tell which one they have in force, generated from
// config.proto.
//
// # Usage
//
//	err := configrpc.DRPCRegisterConfig(mux, server)
//	out, err := configrpc.NewDRPCConfigClient(conn).Delta(ctx, in)
package configrpc
