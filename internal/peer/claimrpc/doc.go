// Package claimrpc defines the protocol by which entry VMs send claims of
// idempotency keys to the owner of their bucket, and the encoding of a bucket
// in the platform's key-value service. The code is generated from claim.proto.
//
// # Usage
//
//	s, err := claimrpc.NewDRPCClaimsClient(conn).Apply(ctx, batch)
//	for {
//		p, err := s.Recv()
//		if err != nil || len(p.Results) > 0 { ... }
//	}
package claimrpc
