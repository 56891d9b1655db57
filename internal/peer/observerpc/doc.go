// Package observerpc holds the messages by which entry VMs ask each other for
// events, health and the configuration in force. The code is generated from
// observe.proto.
//
// # Usage
//
//	c := observerpc.NewDRPCObserveClient(conn)
//	r, err := c.Health(ctx, &observerpc.HealthRequest{})
package observerpc
