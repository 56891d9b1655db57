// Package memberrpc defines the membership protocol between entry VMs. The code
// is generated from member.proto.
//
// # Usage
//
//	err := memberrpc.DRPCRegisterMember(mux, server)
//	out, err := memberrpc.NewDRPCMemberClient(conn).Beat(ctx, in)
package memberrpc
