// Package rpc is the transport between entry VMs: drpc over TCP.
//
// A connection begins with a fixed-size handshake. The server sends a random
// nonce; the dialer answers with a proof, the HMAC-SHA256 of the nonce under
// the shared key. If the server has a shared key, it requires a valid proof;
// otherwise the dialer's address must belong to a known VM. Both ends limit the
// size of a message and count bytes in each direction.
//
// A drpc connection carries one call at a time, so a Dialer pools idle
// connections per address and opens another one when all are in use. A call
// whose context ends before any byte was read closes its connection, since the
// peer or a middlebox may have dropped the connection state.
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
