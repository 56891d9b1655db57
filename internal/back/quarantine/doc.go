// Package quarantine keeps requests that crash searchers from running again.
//
// A request is known by its fingerprint, a hash of what it asks. One that was
// in flight when the connection to a searcher died becomes a suspect: it then
// runs alone, and is neither hedged nor retried elsewhere. When a second
// searcher dies under it, it is quarantined for a time and refused as
// not_run.
//
// A searcher that dies for another reason has innocent requests in flight.
// Three rules keep these out of quarantine. Deaths close to each other count
// as one incident, since a request that is sent again causes them one after
// the other. Outside of a trial a death counts less the more requests were in
// flight. And a suspect that is answered twice after its incident is
// acquitted.
//
// Suspicions and quarantines are told to the other nodes. AwaitPropagation holds the
// answer to a request that was lost until they know, so that a caller who
// sends it again, through whichever node, meets one that is aware.
//
// # Usage
//
//	q := quarantine.New(quarantine.Config{OnSuspect: spread, OnQuarantine: spreadQuarantine})
//	switch q.Classify(fingerprint) { ... }
//	q.RecordLoss(fingerprint, "s-17", inFlight)
//	q.AwaitPropagation(ctx, fingerprint)
package quarantine
