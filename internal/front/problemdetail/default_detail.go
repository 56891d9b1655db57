package problemdetail

import "egrethaven/internal/query/outcome"

// defaultDetails describes each reason and what the caller can do, for problems
// without a more specific detail.
var defaultDetails = map[outcome.Reason]string{
	outcome.Timeout:            "the deadline passed before an answer arrived; allow more time, or check the search's health",
	outcome.Shed:               "the node has no capacity for the request now; retry later, or send it to another node",
	outcome.NoReplica:          "no backend server is available for the request; check the search's health",
	outcome.VersionGone:        "the index changed and no complete version is available; retry the request",
	outcome.Quarantined:        "the same request has crashed backend servers and is temporarily rejected; do not retry it unchanged",
	outcome.UnreachableDomain:  "a required failure domain cannot be reached",
	outcome.Draining:           "the backend server is shutting down; retry the request",
	outcome.Canceled:           "the caller went away",
	outcome.DeadlinePast:       "the deadline passed before anything was dispatched",
	outcome.ConnectionRefused:  "backend servers refused the connection; retry later",
	outcome.ConnectionLost:     "a backend server broke off",
	outcome.ConnectionSilent:   "a connection to a backend server stopped responding",
	outcome.BadAnswer:          "a backend server returned an invalid answer",
	outcome.OverShare:          "the caller has used up its share while other callers are waiting; send fewer concurrent requests",
	outcome.ShuttingDown:       "the node is shutting down; send the request to another node",
	outcome.StoreDown:          "the platform's store does not respond, and without it the request could run twice; retry later",
	outcome.InProgress:         "an earlier request with this key is still in progress; retry later with the same key",
	outcome.KeyExpired:         "the idempotency key has expired; use a new key for a new request",
	outcome.KeyReused:          "the idempotency key was already used for a different request; use a new key",
	outcome.BucketFull:         "too many idempotency keys were created at the same time; retry the request with a new key",
	outcome.NotReady:           "the node is not ready; send the request to another node",
	outcome.Rejected:           "the backend server ran the request and turned the record down",
	outcome.IncompleteCoverage: "parts of the key space could not be reached",
}
