// Package quotapool limits the requests of client accounts over all VMs. It makes the calls
// between a VM and the coordinator of the quotas; package quota makes the decisions.
//
// Each VM can coordinate. A VM calls its coordinator every half second or less often, and at
// once when a request finds no permit. If a call fails, it uses another VM, at last itself. A
// VM that should be preferred is asked first whether it answers, and the fraction is taken back
// from the previous coordinator before. There are no calls while no account has a limit.
//
// # Usage
//
//	l := quotapool.New(quotapool.Config{Self: self, Others: others, VMs: vms, Accounts: accounts, Conn: dialer.Conn, ...})
//	go l.Run(ctx)
//	ok, retryAfter := l.Take(ctx, account, until)
//	relay.New(relay.Config{Quota: l.Serve, ...})
//	l.Close()
package quotapool

import (
	"cmp"
	"context"
	"fmt"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"github.com/juju/errors"
	"storj.io/drpc"

	"egrethaven/internal/infra/boottime"
	"egrethaven/internal/observe/event"
	"egrethaven/internal/peer/relayrpc"
	"egrethaven/internal/query/forward"
	"egrethaven/internal/query/quota"
	"egrethaven/internal/state/account"
)

const (
	// callTimeout limits the duration of one call.
	callTimeout = 400 * time.Millisecond
	// idleWait is the time between two checks whether an account has a limit.
	idleWait = 250 * time.Millisecond
	// retryJitter is the share of a refusal's time by which it is longer at most, so that
	// refused clients do not return together, and minRetry is its mean length at least.
	retryJitter = 0.25
	minRetry    = 20 * time.Millisecond
	// maxHoldings is the number of accounts that are reported to operators.
	maxHoldings = 20
)

// Config configures a Limiter.
type Config struct {
	// Self is this VM.
	Self quota.Candidate
	// Others returns the other VMs that accept calls.
	Others func() []quota.Candidate
	// VMs returns the number of VMs that share the quotas; 0 if it is not known yet.
	VMs func() int
	// Counted reports whether the others have counted this VM since before its process started;
	// nil means that they have not.
	Counted func() bool
	Rule    quota.Rule
	// Accounts returns the accounts of the configuration in force; nil if there are none.
	Accounts func() *account.Index
	// Conn opens a connection to another VM.
	Conn func(ctx context.Context, addr string) (drpc.Conn, error)
	// Events receives the changes of the coordinator.
	Events event.Sink
}

// Holding is what a VM holds of an account, for operators.
type Holding struct {
	Account string
	quota.Holding
}

// Limiter limits requests. It is safe for concurrent use.
type Limiter struct {
	c       Config
	pool    *quota.Pool
	member  *quota.Member
	chooser *quota.Chooser
	// ctx ends with Close, which waits for wg.
	ctx  context.Context
	stop context.CancelFunc
	wg   sync.WaitGroup

	mu sync.Mutex
	// index is the index from which limited, the accounts with a limit by key, was made.
	index   *account.Index
	limited map[uint64]*account.Account
	// called is closed and replaced at the end of each call.
	called chan struct{}
	// current is the coordinator in use and proven one that answered a probe; empty if there
	// is none. probing reports whether a probe is under way.
	current quota.Candidate
	usable  bool
	proven  string
	probing bool
}

var _ forward.Quota = (*Limiter)(nil)

// New returns a Limiter without permits.
func New(c Config) *Limiter {
	if c.Events == nil {
		c.Events = event.Discard{}
	}
	now := boottime.Now()
	l := &Limiter{c: c, chooser: quota.NewChooser(c.Self), called: make(chan struct{})}
	l.member = quota.NewMember(quota.MemberConfig{VM: c.Self.ID, Session: rand.Uint64(), Start: now, Window: c.Rule.Window})
	l.pool = quota.NewPool(quota.PoolConfig{Incarnation: rand.Uint64() | 1, Rule: c.Rule, Start: now, Limit: l.limit})
	l.ctx, l.stop = context.WithCancel(context.Background())
	return l
}

// accounts returns the accounts of the configuration in force that have a limit, by key.
func (l *Limiter) accounts() map[uint64]*account.Account {
	x := l.c.Accounts()
	l.mu.Lock()
	defer l.mu.Unlock()
	if x != l.index {
		l.index, l.limited = x, map[uint64]*account.Account{}
		if x != nil {
			for _, a := range x.Limited() {
				l.limited[quota.Key(a.Name)] = a
			}
		}
	}
	return l.limited
}

// limit returns the limit of an account.
func (l *Limiter) limit(key uint64) (quota.Limit, bool) {
	a := l.accounts()[key]
	if a == nil {
		return quota.Limit{}, false
	}
	return limitOf(a), true
}

// limitOf returns the limit of an account.
func limitOf(a *account.Account) quota.Limit {
	return quota.Limit{Rate: a.RatePerSecond, Burst: a.Burst}
}

// Take takes a permit for one request of an account. If there is none, it may wait for a call
// until the given time. If it returns false, retryAfter is the time after which a request fits,
// with some jitter.
func (l *Limiter) Take(ctx context.Context, a *account.Account, until time.Time) (ok bool, retryAfter time.Duration) {
	key := quota.Key(a.Name)
	if ok, retryAfter = l.member.Take(boottime.Now(), key, limitOf(a)); ok {
		return true, 0
	}
	if retryAfter == 0 {
		ok, retryAfter = l.wait(ctx, key, until)
	}
	if ok {
		return true, 0
	}
	retryAfter = max(retryAfter, minRetry)
	return false, retryAfter + rand.N(time.Duration(retryJitter*float64(retryAfter))+minRetry)
}

// WouldTake returns what Take would do without waiting, and changes nothing. RetryAfter is without
// the jitter.
func (l *Limiter) WouldTake(a *account.Account) quota.Outlook {
	o := l.member.WouldTake(boottime.Now(), quota.Key(a.Name), limitOf(a))
	if o.RetryAfter > 0 {
		o.RetryAfter = max(o.RetryAfter, minRetry)
	}
	return o
}

// wait waits for calls until one has brought a permit or the time after which one fits.
func (l *Limiter) wait(ctx context.Context, key uint64, until time.Time) (ok bool, retryAfter time.Duration) {
	l.member.Wait(key, 1)
	defer l.member.Wait(key, -1)
	timer := time.NewTimer(time.Until(until))
	defer timer.Stop()
	for {
		l.mu.Lock()
		called := l.called
		l.mu.Unlock()
		// A call may have ended before called was read.
		if ok, retryAfter = l.member.TakeAgain(boottime.Now(), key); ok || retryAfter > 0 {
			return ok, retryAfter
		}
		select {
		case <-called:
		case <-timer.C:
			return false, quota.Interval(l.c.VMs())
		case <-ctx.Done():
			return false, 0
		}
	}
}

// Return gives back a permit whose request was not sent.
func (l *Limiter) Return(a *account.Account) { l.member.Return(boottime.Now(), quota.Key(a.Name)) }

// Serve answers the call of a VM whose quotas this one coordinates.
func (l *Limiter) Serve(vm string, in *relayrpc.QuotaCall) (*relayrpc.QuotaReply, error) {
	r, ok := l.pool.Serve(boottime.Now(), decodeCall(vm, in))
	if !ok {
		return nil, errors.Errorf("call %d of VM %q came late", in.GetSeq(), vm)
	}
	return encodeReply(r), nil
}

// Fraction returns the sum of the fractions of the quotas that this VM coordinates.
func (l *Limiter) Fraction() float64 { return l.pool.Fraction(boottime.Now()) }

// Holdings returns what this VM holds of the accounts in use, at most twenty of them, those with
// the highest limits.
func (l *Limiter) Holdings() []Holding {
	names := l.accounts()
	var out []Holding
	for _, h := range l.member.Holdings(boottime.Now()) {
		if a := names[h.Account]; a != nil {
			out = append(out, Holding{a.Name, h})
		}
	}
	slices.SortFunc(out, func(a, b Holding) int {
		return cmp.Or(cmp.Compare(b.Limit.Rate, a.Limit.Rate), cmp.Compare(a.Account, b.Account))
	})
	return out[:min(len(out), maxHoldings)]
}

// Run calls the coordinator until ctx ends.
func (l *Limiter) Run(ctx context.Context) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	defer context.AfterFunc(l.ctx, cancel)()
	for ctx.Err() == nil {
		wait := idleWait
		if len(l.accounts()) > 0 {
			now := boottime.Now()
			wait = min(wait, l.member.Next(now).Sub(now))
		}
		if wait <= 0 {
			l.call(ctx)
			continue
		}
		t := time.NewTimer(wait)
		select {
		case <-ctx.Done():
		case <-t.C:
		case <-l.member.Wake():
		}
		t.Stop()
	}
}

// Close aborts all calls and waits for them to end.
func (l *Limiter) Close() {
	l.stop()
	l.wg.Wait()
}

// call calls the coordinator.
func (l *Limiter) call(ctx context.Context) {
	l.member.SetVMs(l.c.VMs())
	if l.c.Counted != nil && l.c.Counted() {
		l.member.SetCounted()
	}
	to := l.coordinator(ctx)
	c := l.member.Begin(boottime.Now(), to.Addr)
	r, err := l.send(ctx, to, c)
	if err == nil {
		l.member.End(boottime.Now(), c, r)
	} else if ctx.Err() == nil {
		l.chooser.Fail(boottime.Now(), to.Addr, l.member.Starting())
		l.member.Fail()
		l.c.Events.Emit(event.QuotaCallFailed, to.ID, err.Error())
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.usable = err == nil
	close(l.called)
	l.called = make(chan struct{})
}

// coordinator returns the VM to call. One that works is given up for a better one only when that
// one has answered a probe.
func (l *Limiter) coordinator(ctx context.Context) quota.Candidate {
	best := l.chooser.Choose(boottime.Now(), l.c.Others())
	l.mu.Lock()
	previous, usable, proven := l.current, l.usable, l.proven == best.ID || best.ID == l.c.Self.ID
	if best == previous {
		l.mu.Unlock()
		return best
	}
	if usable && !proven {
		l.probe(best)
		l.mu.Unlock()
		return previous
	}
	l.current, l.proven = best, ""
	l.mu.Unlock()
	if usable {
		c := l.member.Release(boottime.Now())
		if r, err := l.send(ctx, previous, c); err == nil {
			l.member.End(boottime.Now(), c, r)
		}
	}
	l.c.Events.Emit(event.QuotaCoordinator, best.ID, fmt.Sprintf("before: %q", previous.ID))
	return best
}

// probe asks a VM whether it answers, without waiting for it. The lock is held.
func (l *Limiter) probe(v quota.Candidate) {
	if l.probing || l.ctx.Err() != nil {
		return
	}
	l.probing = true
	l.wg.Go(func() {
		_, err := l.send(l.ctx, v, quota.Call{VM: l.c.Self.ID})
		if err != nil {
			l.chooser.Fail(boottime.Now(), v.Addr, l.member.Starting())
		}
		l.mu.Lock()
		defer l.mu.Unlock()
		l.probing = false
		if err == nil {
			l.proven = v.ID
		}
	})
}

// send makes a call. This VM's own pool is called directly.
func (l *Limiter) send(ctx context.Context, to quota.Candidate, c quota.Call) (quota.Reply, error) {
	if to.ID == l.c.Self.ID {
		r, ok := l.pool.Serve(boottime.Now(), c)
		if !ok {
			return r, errors.New("call came late")
		}
		return r, nil
	}
	c = l.pool.KeepEmpty(boottime.Now(), c)
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	conn, err := l.c.Conn(ctx, to.Addr)
	if err != nil {
		return quota.Reply{}, errors.Trace(err)
	}
	defer func() { _ = conn.Close() }()
	out, err := relayrpc.NewDRPCRelayClient(conn).Share(ctx, encodeCall(c))
	if err != nil {
		return quota.Reply{}, errors.Trace(err)
	}
	if out.GetQuota() == nil {
		return quota.Reply{}, errors.New("the VM runs an earlier build, which knows no quotas")
	}
	return decodeReply(out.GetQuota()), nil
}
