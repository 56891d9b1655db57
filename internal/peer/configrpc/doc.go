// Package configrpc defines the service by which entry VMs distribute the
// configuration and report the revision in force. The code is generated from
// config.proto.
//
// # Usage
//
//	err := configrpc.DRPCRegisterConfig(mux, server)
//	out, err := configrpc.NewDRPCConfigClient(conn).Delta(ctx, in)
package configrpc
