// Package scatterrpc holds the messages of the second level of the fan-out,
// generated from scatter.proto.
//
// # Usage
//
//	err := scatterrpc.DRPCRegisterScatter(server.Mux(), holder)
//	r, err := scatterrpc.NewDRPCScatterClient(conn).Part(ctx, &scatterrpc.PartRequest{...})
package scatterrpc
