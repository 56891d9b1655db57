package problemdetail

import "egrethaven/internal/query/outcome"

// defaultDetails describes each reason and what the caller can do, for problems
// without a more specific detail.
var defaultDetails = map[outcome.Reason]string{
	outcome.Timeout:            "the time was over before an answer came; give more time, or look at the search's health",
	outcome.Shed:               "there is no capacity for the request now; send it again later, or to another node",
	outcome.NoReplica:          "no backend server can take the request now; look at the search's health",
	outcome.VersionGone:        "the index changed and no complete version can be reached; send the request again",
	outcome.Quarantined:        "the same request has crashed backend servers and is refused for a time; don't send it again as it is",
	outcome.UnreachableDomain:  "a failure domain that is needed cannot be reached",
	outcome.Draining:           "the backend server is leaving; send the request again",
	outcome.Canceled:           "the caller went away",
	outcome.DeadlinePast:       "the deadline was over before anything was dispatched",
	outcome.ConnectionRefused:  "backend servers refused the connection; send the request again later",
	outcome.ConnectionLost:     "a backend server broke off",
	outcome.ConnectionSilent:   "a connection to a backend server went silent",
	outcome.BadAnswer:          "a backend server's answer could not be used",
	outcome.OverShare:          "the caller has used its share while others wait; send fewer requests at a time",
	outcome.ShuttingDown:       "the node is shutting down; send the request to another",
	outcome.StoreDown:          "the platform's store does not answer, and without it the request could run twice; send it again later",
	outcome.InProgress:         "an earlier request with this key has not ended; send it again later with the same key",
	outcome.KeyExpired:         "the key is too old; make a new key for a new request",
	outcome.KeyReused:          "the key was used for another request; make a new key",
	outcome.BucketFull:         "too many keys of one moment; make a new key and send the request again",
	outcome.NotReady:           "the node is not ready; send the request to another",
	outcome.Rejected:           "the backend server ran the request and turned the record down",
	outcome.IncompleteCoverage: "parts of the key space could not be reached",
	outcome.OverQuota:          "the client account has used its quota; send the request again after the time in Retry-After",
	outcome.UnknownKey:         "the request bears no known key of a client account; send exactly one X-Api-Key header with a key of yours",
}
