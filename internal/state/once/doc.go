// Package once lets a non-idempotent request run at most once.
//
// Each request carries an idempotency key, a UUIDv7. Before it is dispatched
// its key is claimed by a compare-and-swap in the platform's key-value
// service. The claim names an attempt id that is made for it alone, so only
// the call of Claim that made the id can be told that it may dispatch; no
// lease is involved and nobody takes a claim over. A node that was paused for
// any time finds either its own attempt in the bucket or another's.
//
// Keys live in buckets: one value for all keys of one hash and of one slice
// of time, by the timestamp within the key. The owner of a bucket, by
// rendezvous hashing over the live entry VMs, gathers the claims and the
// outcomes of all nodes for some milliseconds and writes them by one swap.
// Ownership saves calls and conflicts only: any node may swap any bucket, and
// does so when the owner does not answer.
//
// A swap whose answer was lost is resolved by reading the bucket back and
// looking for the attempt id. Where that fails until the deadline, the claim
// is refused: no dispatch follows it, and the claim is marked abandoned later.
//
// A refusal speaks of the request that got it. When an earlier request with
// the same key ended unknown, that one may still have run.
//
// Keys older than the retention window are refused, and their buckets are
// deleted a margin later. The margin has to exceed the difference between the
// wall clocks of any two nodes.
//
// # Usage
//
//	s := once.New(once.Config{Store: client, Self: "e-1", Members: members, Dialer: dialer})
//	defer s.Close()
//	claimrpc.DRPCRegisterClaims(server.Mux(), s)
//
//	c := s.Claim(ctx, once.Request{Key: w.IdempotencyKey, Fingerprint: once.Fingerprint(w)})
//	if c.Status != once.Claimed {
//		return c.Result(w)
//	}
//	// dispatch, once
//	s.Record(c, once.Record{Outcome: o, Revision: revision})
package once
