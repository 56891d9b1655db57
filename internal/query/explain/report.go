// Package explain defines how a gateway tells what it would do with a request.
//
// A Report is computed by the functions that decide on requests, on the current snapshot.
// Nothing is sent, and nothing is taken from a limit. Neither type holds what a client keeps
// secret but Query, which has the key of a client account and must not be logged.
//
// # Usage
//
//	r := engine.Explain(explain.Query{Method: "GET", Host: "search.example", Path: "/all/x"})
//	if !r.Admitted { fmt.Println(r.Status, r.Why) }
package explain

// Query describes a request.
type Query struct {
	Method string `json:"method"`
	Host   string `json:"host"`
	// Path is the path and query.
	Path string `json:"path"`
	// Key is the key of a client account; empty for none.
	Key string `json:"key,omitempty"`
	// BodyBytes is the size of the body.
	BodyBytes int64 `json:"body_bytes,omitempty"`
	// Fingerprint is the hash by which a request that crashes searchers is known, computed from
	// its body among others, so that the body itself is not sent; empty if it is not known.
	Fingerprint string `json:"fingerprint,omitempty"`
}

// Report is what a gateway would do with a request. Times are in milliseconds.
type Report struct {
	// VM is the gateway that made the report.
	VM            string  `json:"vm"`
	ConfigVersion int64   `json:"config_version"`
	ConfigAgeMS   float64 `json:"config_age_ms"`
	Route         string  `json:"route,omitempty"`
	// Account is the name of the client account; empty if the request has none.
	Account string `json:"account,omitempty"`
	// QuotaPerSecond and QuotaBurst are the account's quota over all VMs; 0 if it has none.
	QuotaPerSecond float64 `json:"quota_per_s,omitempty"`
	QuotaBurst     float64 `json:"quota_burst,omitempty"`
	// QuotaPermits are the permits of the quota that the gateway holds, and QuotaNext tells
	// whether the next request gets one.
	QuotaPermits []Permits `json:"quota_permits,omitempty"`
	QuotaNext    Permit    `json:"quota_next,omitempty"`
	// Priority is the request's priority; 0 is the highest.
	Priority int `json:"priority"`
	// RouteRegions and AccountRegions are the regions that the route and the account permit; empty
	// means all.
	RouteRegions   []string `json:"route_regions,omitempty"`
	AccountRegions []string `json:"account_regions,omitempty"`
	// ObjectiveMS and DeadlineMS are the times after the request's arrival at which a
	// fan-out is answered with the shards that it has, and at which a request fails.
	ObjectiveMS float64 `json:"objective_ms,omitempty"`
	DeadlineMS  float64 `json:"deadline_ms,omitempty"`
	Admitted    bool    `json:"admitted"`
	// Status, Reason and RetryAfterMS are the answer to a request that is not admitted, and
	// Why says in words why it is or is not.
	Status       int     `json:"status,omitempty"`
	Reason       string  `json:"reason,omitempty"`
	RetryAfterMS float64 `json:"retry_after_ms,omitempty"`
	Why          string  `json:"why"`
	// Fingerprint is the hash by which the request is known in logs; empty if its body is not
	// known. Suspicion is what is known of it; empty if that was not looked up. TrialRunning
	// reports whether a suspect has to wait for another one like it.
	Fingerprint  string    `json:"fingerprint,omitempty"`
	Suspicion    Suspicion `json:"suspicion,omitempty"`
	TrialRunning bool      `json:"trial_running,omitempty"`
	// NeededShards is the number of shards that have to answer.
	NeededShards int     `json:"needed_shards,omitempty"`
	Shards       []Shard `json:"shards,omitempty"`
}

// Permits is a number of permits of an account's quota that expire together.
type Permits struct {
	Count  int     `json:"count"`
	LeftMS float64 `json:"left_ms"`
}

// Permit tells whether a request gets a permit of its account's quota.
type Permit string

// The values of Permit.
const (
	// PermitHeld means that the gateway holds one.
	PermitHeld Permit = "held"
	// PermitAsked means that the request waits until the VM that coordinates the quota was
	// asked for one.
	PermitAsked Permit = "asked"
	// PermitRefused means that there is none for a while.
	PermitRefused Permit = "refused"
)

// Suspicion tells whether a request is known to crash searchers.
type Suspicion string

// The values of Suspicion.
const (
	NotSuspected Suspicion = "none"
	// Suspected requests run on one searcher at a time.
	Suspected Suspicion = "suspected"
	// Quarantined requests are refused.
	Quarantined Suspicion = "quarantined"
)

// Shard is what would happen with the part of a request that goes to one service.
type Shard struct {
	Service string `json:"service"`
	// Why says why nothing would be sent; empty if something would be.
	Why       string     `json:"why,omitempty"`
	Searchers []Searcher `json:"searchers,omitempty"`
	Hedge     Hedge      `json:"hedge"`
}

// Searcher is a searcher of a service.
type Searcher struct {
	ID     string `json:"id"`
	Domain string `json:"domain"`
	// Chosen reports whether the request would be sent to the searcher; Why says why not.
	Chosen bool   `json:"chosen"`
	Why    string `json:"why,omitempty"`
	// EstimateMS is the expected time to an answer with all penalties, by which searchers
	// are chosen; 0 if the searcher is not considered.
	EstimateMS float64 `json:"estimate_ms,omitempty"`
	// WaitMS is the part of it before the request is sent.
	WaitMS float64 `json:"wait_ms,omitempty"`
	// Later tells why EstimateMS is higher than that of the best searcher, the greatest
	// difference first. What the searcher is better at is left out.
	Later    []Delay `json:"later,omitempty"`
	InFlight int     `json:"in_flight,omitempty"`
	Cold     bool    `json:"cold,omitempty"`
	Limited  bool    `json:"limited,omitempty"`
	// ExcludedBy tells whose permitted regions do not include that of the searcher.
	ExcludedBy []Owner `json:"excluded_by,omitempty"`
}

// Delay is a part of the difference between two estimates.
type Delay struct {
	Cause Cause   `json:"cause"`
	MS    float64 `json:"ms"`
}

// Cause is why a searcher is expected to answer later than another one.
type Cause string

// The causes.
const (
	// Slower searchers take longer, also because they are cold.
	Slower Cause = "slower"
	// Waits means that a request waits for a connection or a limit.
	Waits Cause = "waits"
	// Busier searchers have more requests.
	Busier Cause = "busier"
	// Stalled searchers have an answer that is overdue.
	Stalled Cause = "stalled"
	// Failing searchers have failed requests lately.
	Failing Cause = "failing"
	// NearLimit means that the searcher's limit has less to spare.
	NearLimit Cause = "near_limit"
	// OtherDomain means that the searcher is in another failure domain than the gateway.
	OtherDomain Cause = "other_domain"
)

// Owner is what has a list of permitted regions.
type Owner string

// The owners.
const (
	Route   Owner = "route"
	Account Owner = "account"
)

// Hedge is the second send that would be made if the first one had no answer in time.
type Hedge struct {
	// AfterMS is how long after the arrival it would be made.
	AfterMS float64 `json:"after_ms,omitempty"`
	// Searcher is where it would go; empty if there is none. Why says why.
	Searcher string `json:"searcher,omitempty"`
	Why      string `json:"why,omitempty"`
}
