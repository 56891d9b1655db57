// Package quarantine stops requests that crash searchers from running again.
//
// Requests are identified by a fingerprint, a hash of their content. A request
// that was in flight when the connection to a searcher was lost becomes a
// suspect. It then runs as a trial: alone, without hedges and without retries on
// other replicas. After Config.MinIncidents incidents, two by default, the request is
// quarantined for some time and refused as not_run.
//
// A searcher that crashes for another reason also has requests in flight. Three
// rules keep these out of quarantine. Losses close in time count as one
// incident, because a request that crashes searchers does so one after the other,
// each time it is sent again. Outside of a trial, the weight of a loss is divided
// by the number of requests in flight. A suspect that is answered twice after its
// last incident is cleared.
//
// A gateway sends a request to many shards at once, so its incidents name the service, and
// an answer by a service (RecordServiceAnswer) voids what that one has lost, whenever it is
// heard of. Config.MinIncidents is higher there, as more requests run beside one that
// crashes searchers, and Config.TrustAnswered spares requests that are asked often.
//
// Suspicions and quarantines are sent to the other nodes. AwaitPropagation
// delays the response to a lost request until they have arrived, so that a
// caller who repeats the request, through any node, reaches one that knows of
// the suspicion.
//
// # Usage
//
//	q := quarantine.New(quarantine.Config{OnSuspect: sendIncident, OnQuarantine: sendQuarantine})
//	switch q.Classify(fingerprint) { ... }
//	q.RecordLoss(fingerprint, "s-17", inFlight)
//	q.AwaitPropagation(ctx, fingerprint)
package quarantine
