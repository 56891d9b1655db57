// Package memberrpc holds the messages of the membership between entry VMs,
// generated from member.proto.
//
// # Usage
//
//	err := memberrpc.DRPCRegisterMember(mux, server)
//	out, err := memberrpc.NewDRPCMemberClient(conn).Beat(ctx, in)
package memberrpc
