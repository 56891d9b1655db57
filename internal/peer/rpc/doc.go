// Package rpc is the transport between entry VMs: drpc over TCP.
//
// A connection begins with a fixed-size exchange. The server sends a random
// nonce; the dialer answers with a proof, the HMAC-SHA256 of the nonce under
// the shared key. Where a shared key is set, the proof is required. Where none
// is set, the address of the other end has to be one of a known VM. Both ends
// bound the size of a message and count bytes in each direction.
//
// A drpc connection carries one call at a time, so a Dialer keeps idle
// connections per address and opens another when all are in use. A call that
// ends by its context while nothing was read closes its connection: the other
// end, or something in between, may have lost track of it.
//
// # Usage
//
//	s, err := rpc.NewServer(rpc.ServerConfig{Listen: "10.0.0.7:7400", SharedKey: key, Events: sink})
//	err = pb.DRPCRegisterThing(s.Mux(), thing)
//	s.Serve()
//	defer s.Close()
//
//	d := rpc.NewDialer(rpc.DialerConfig{SharedKey: key})
//	defer d.Close()
//	c, err := d.Conn(ctx, "10.0.0.8:7400")
//	out, err := pb.NewDRPCThingClient(c).Method(ctx, in)
package rpc
