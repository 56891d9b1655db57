// Package observerpc defines the service by which entry VMs query each other's
// events, health and configuration revision. The code is generated from
// observe.proto.
//
// # Usage
//
//	c := observerpc.NewDRPCObserveClient(conn)
//	r, err := c.Health(ctx, &observerpc.HealthRequest{})
package observerpc
