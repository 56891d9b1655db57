// Package quota limits the requests of client accounts over all VMs.
//
// Each of N VMs owns the fraction 1/N of every account's quota and delegates it to one
// coordinator at a time, for the time of a lease. A coordinator's Pool holds one token bucket
// per account, which fills at the account's rate times the sum of the fractions delegated to
// it, and grants permits that expire by themselves. The sum of all fractions is at most 1,
// whichever VMs coordinate for which, so that the quota holds without agreement. A Member
// is the VM's side: it holds permits in advance and reports how many it has used. A VM is a
// member of its own Pool if it reaches no other.
//
// # Leases
//
// A VM's call echoes the coordinator's clock of an earlier reply. The lease ends a fixed
// time T after that clock value. The VM takes its fraction back T after it received that
// reply, which is later, however late the call was read. Permits expire T after the VM sent
// the call; the coordinator counts them as outstanding until T after its reply. Level and
// outstanding permits of a bucket are at most burst + M/2, where M is the rule's tolerance less
// a tenth, and M/2 in the first T of a lease, as the fraction's previous coordinator may have
// granted burst + M/2 before. So all unused permits are at most burst + M at any time.
//
// # Lost VMs
//
// The keys of lost VMs stay in the store for some time, and the fractions of the others add up to
// less than 1. A pool then fills its buckets faster than by the sum of its fractions, by at most
// half of the tolerated overage and up to the account's whole rate. Only fractions that were
// delegated to it for W + T, where W is the rule's window, count for this. In a window in which
// such a fraction f is used, the fraction had no other coordinator in the T before the window, so
// that its unused permits were at most f x (burst + M/2) when it began. The other M/2 of the
// tolerance is for what is added, which is at most f x M/4 in a window.
//
// # New coordinators
//
// A VM that begins to delegate to another coordinator gives it an allowance once, of f x M/4, with
// which buckets start instead of 0. It does so only if it did not begin to delegate in the W + 3T
// before, nor did its process start. A call may be read up to T after it was sent, and a suspended
// coordinator's bucket may count it up to T later. So there is at most one allowance of a VM in any
// window, and the fraction had no other coordinator in the T before the window. The allowance is the
// other M/4 of the M/2 that is not used then.
//
// # Calls
//
// A VM has one call under way. A call states what the VM holds after all replies that it will
// ever use, so that lost and late messages need no repair: the coordinator ignores calls that
// are older than one it has read, and the VM ignores replies to calls other than its last.
//
// # Usage
//
//	p := quota.NewPool(quota.PoolConfig{Incarnation: id, Rule: rule, Start: now, Limit: limit})
//	m := quota.NewMember(quota.MemberConfig{VM: "front-1", Session: id, Start: now, Window: rule.Window})
//	m.SetVMs(68)
//	ok, retryAfter := m.Take(now, account, limit)
//	c := m.Begin(now, "10.1.0.39:7740") // when m.Next says so
//	r, ok := p.Serve(now, c)
//	m.End(now, c, r)
package quota

import (
	"time"

	"github.com/cespare/xxhash/v2"

	"egrethaven/internal/infra/boottime"
)

const (
	// marginShare is the share of the tolerated excess that is used. The rest covers VMs that
	// count different numbers of VMs for a moment.
	marginShare = 0.9
	// boostShare is the share of the tolerated overage by which buckets may fill faster while VMs
	// are missing, and boostMargin the share of the margin that this adds in a window at most.
	boostShare  = 0.5
	boostMargin = 0.25
	// allowanceMargin is the share of the margin with which the buckets of a new coordinator start.
	allowanceMargin = 0.25
	// A VM gives an allowance if it has not begun to delegate for a window and allowanceLeases leases.
	allowanceLeases = 3
	// maxPermitWait limits the wait of a request for a permit from another VM, and permitWaitShare
	// is the share of the request's time that it may take.
	maxPermitWait   = 20 * time.Millisecond
	permitWaitShare = 0.25
	// minInterval is the time between two calls of a VM, and intervalPerVM times the number of
	// VMs if that is more, so that a coordinator serves at most 500 calls a second.
	minInterval   = 400 * time.Millisecond
	intervalPerVM = 2 * time.Millisecond
	// minLease is the shortest lease, and leaseIntervals its length in calls.
	minLease       = 1600 * time.Millisecond
	leaseIntervals = 4
	// maxLease limits leases that calls name.
	maxLease = time.Minute
)

// Rule is the bound on an account's requests in any window: (rate x Window + burst) x
// (1 + Overage) + Slack.
type Rule struct {
	Window  time.Duration
	Overage float64
	// Slack is a number of requests.
	Slack float64
}

// Limit is the limit of one account over all VMs.
type Limit struct {
	// Rate is in requests per second, Burst in requests.
	Rate, Burst float64
}

// Bound returns the largest number of requests that may run in a window.
func (r Rule) Bound(l Limit) float64 {
	return (l.Rate*r.Window.Seconds()+l.Burst)*(1+r.Overage) + r.Slack
}

// margin returns the number of requests that may run in a window beyond the rate and the burst.
func (r Rule) margin(l Limit) float64 {
	return marginShare * (r.Bound(l) - l.Rate*r.Window.Seconds() - l.Burst)
}

// boost returns the share of the pool's boost that an account gets: less than 1 if the whole of
// it would add more than boostMargin of the margin in a window.
func (r Rule) boost(l Limit) float64 {
	whole := boostShare * r.Overage * l.Rate * r.Window.Seconds()
	return min(1, boostMargin*r.margin(l)/max(whole, 1e-9))
}

// income returns what the integrals of a pool add to an account's bucket.
func (r Rule) income(l Limit, i integrals) float64 {
	return l.Rate*(i.filled+r.boost(l)*i.boosted) + allowanceMargin*r.margin(l)*i.allowed
}

// Key returns the key of an account in messages. Two names of 10,000 have the same key with a
// probability of 3e-12; their accounts would then share a bucket.
func Key(name string) uint64 { return xxhash.Sum64String(name) }

// MaxWait returns how long a request may wait for a permit from another VM, of the time in which
// it should be answered.
func MaxWait(left time.Duration) time.Duration {
	return min(maxPermitWait, time.Duration(permitWaitShare*float64(left)))
}

// Interval returns the time between two calls of a VM of a deployment of n VMs.
func Interval(n int) time.Duration { return max(minInterval, time.Duration(n)*intervalPerVM) }

// Lease returns how long delegations and permits last in a deployment of n VMs.
func Lease(n int) time.Duration { return max(minLease, leaseIntervals*Interval(n)) }

// Call is the message of a VM to its coordinator.
type Call struct {
	VM string
	// Session is the period of this VM's process in which it uses one coordinator, and Seq the
	// number of the call.
	Session, Seq uint64
	// Acked is the number of the last call whose reply was received, in this session.
	Acked uint64
	// Coordinator and Clock echo the last reply of the session; 0 if there was none.
	Coordinator uint64
	Clock       time.Duration
	// VMs is the number of VMs, of whose quota the VM delegates its part. It is 0 if the VM
	// delegates nothing, which also ends an earlier delegation.
	VMs int
	// Allowance reports that the delegation begins with an allowance.
	Allowance bool
	// Starting is the number of VMs if the VM's fraction does not count yet, as a coordinator
	// may still hold it of the process before; 0 otherwise. It is more than any number of VMs if
	// that is not known. In calls to another VM it is 0 if this VM's own pool cannot be kept empty.
	Starting int
	// Lease is how long the delegation lasts from Clock on, and permits from the reply on.
	Lease time.Duration
	// Reports has all accounts of which the VM holds permits or had requests lately.
	Reports []Report

	// sentAt and echoAt are when the call was sent and the echoed reply was received.
	sentAt, echoAt boottime.Instant
}

// Report is what a VM tells of one account.
type Report struct {
	Account uint64
	// Held is the number of permits that the VM holds of this coordinator.
	Held int
	// Used and Asked are the numbers of permits used and requests asked since the call Acked.
	// Used is less than 0 if more permits were returned.
	Used, Asked int
	// Waiting is the number of requests that wait for a permit.
	Waiting int
}

// Reply is the coordinator's answer to a Call.
type Reply struct {
	// Coordinator identifies the process, and Clock is its time.
	Coordinator uint64
	Clock       time.Duration
	// Free reports that no other coordinator holds the fraction of a VM that is starting.
	Free   bool
	Grants []Grant
}

// Grant is the answer to one Report.
type Grant struct {
	Account uint64
	// Permits is the number of permits that the VM holds from now on, instead of those that
	// it has reported.
	Permits int
	// Wait is the time after which another permit fits; 0 if one can be granted at once.
	Wait time.Duration
}
