// Package scatterrpc defines the service for the second level of the fan-out.
// The code is generated from scatter.proto.
//
// # Usage
//
//	err := scatterrpc.DRPCRegisterScatter(server.Mux(), holder)
//	r, err := scatterrpc.NewDRPCScatterClient(conn).Part(ctx, &scatterrpc.PartRequest{...})
package scatterrpc
