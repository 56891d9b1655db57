// Package idempotency lets a non-idempotent request run at most once.
//
// Each request carries an idempotency key, a UUIDv7. Before the request is
// dispatched, its key is claimed by a compare-and-swap in the platform's
// key-value service. Each call of Claim stores a new attempt ID with its
// claim, so only the call that generated the ID can be granted the dispatch.
// There are no leases, and no node takes over the claim of another. A node
// that resumes after a pause of any length finds either its own attempt ID in
// the bucket or that of another attempt.
//
// Keys are grouped in buckets. A bucket is one value that holds all keys with
// the same hash and with timestamps in the same time slice. Its owner, chosen
// by rendezvous hashing over the live entry VMs, collects the claims and
// outcomes of all nodes for some milliseconds and writes them with one swap.
// Ownership only saves calls and conflicts: any node may swap any bucket, and
// does so when the owner does not answer.
//
// If the answer to a swap is lost, the bucket is read back to look for the
// attempt ID. If that fails until the deadline, the claim is refused: the
// request is not dispatched, and the claim is marked abandoned later.
//
// A refusal is about the refused request only. An earlier request with the
// same key whose outcome is unknown may still have run.
//
// A service that is restored from a backup loses claims. Keys that may have been claimed
// before are refused then, unless the bucket still tells their outcome: those whose
// timestamp is at most a minute, the most that a key may be ahead, after the restore was
// noticed. A VM that starts after the restore does not know of it.
//
// Keys older than the retention are refused. Their buckets are deleted after a
// further margin, which must exceed the difference between the wall clocks of
// any two nodes.
//
// # Usage
//
//	s := idempotency.New(idempotency.Config{Store: client, Self: "e-1", Members: members, Dialer: dialer})
//	defer s.Close()
//	claimrpc.DRPCRegisterClaims(server.Mux(), s)
//
//	c := s.Claim(ctx, idempotency.Request{Key: w.IdempotencyKey, Fingerprint: idempotency.Fingerprint(w)})
//	if c.Status != idempotency.Claimed {
//		return c.Result(w)
//	}
//	// Dispatch the request once, then record its outcome.
//	s.Record(c, idempotency.Record{Outcome: o, Revision: revision})
package idempotency
