package quotapool

import (
	"time"

	"egrethaven/internal/peer/relayrpc"
	"egrethaven/internal/query/quota"
)

// encodeCall converts a call to a message.
func encodeCall(c quota.Call) *relayrpc.ShareRequest {
	out := &relayrpc.QuotaCall{Session: c.Session, Seq: int64(c.Seq), Acked: int64(c.Acked), Coordinator: c.Coordinator, ClockUs: c.Clock.Microseconds(),
		Vms: int64(c.VMs), Allowance: c.Allowance, Starting: int64(c.Starting), LeaseMs: c.Lease.Milliseconds()}
	for _, r := range c.Reports {
		out.Reports = append(out.Reports, &relayrpc.QuotaReport{Account: r.Account, Held: int64(r.Held), Used: int64(r.Used), Asked: int64(r.Asked), Waiting: int64(r.Waiting)})
	}
	return &relayrpc.ShareRequest{Vm: c.VM, Quota: out}
}

// decodeCall converts the message of a VM to a call. Numbers below 0 count as 0, apart from
// that of used permits.
func decodeCall(vm string, in *relayrpc.QuotaCall) quota.Call {
	out := quota.Call{VM: vm, Session: in.GetSession(), Seq: uint64(max(0, in.GetSeq())), Acked: uint64(max(0, in.GetAcked())), Coordinator: in.GetCoordinator(),
		Clock: time.Duration(in.GetClockUs()) * time.Microsecond, VMs: int(in.GetVms()), Allowance: in.GetAllowance(), Starting: int(max(0, in.GetStarting())), Lease: max(0, time.Duration(in.GetLeaseMs())*time.Millisecond)}
	for _, r := range in.GetReports() {
		out.Reports = append(out.Reports, quota.Report{Account: r.GetAccount(), Held: int(max(0, r.GetHeld())), Used: int(r.GetUsed()), Asked: int(max(0, r.GetAsked())), Waiting: int(max(0, r.GetWaiting()))})
	}
	return out
}

// encodeReply converts a reply to a message.
func encodeReply(r quota.Reply) *relayrpc.QuotaReply {
	out := &relayrpc.QuotaReply{Coordinator: r.Coordinator, ClockUs: r.Clock.Microseconds(), Free: r.Free}
	for _, g := range r.Grants {
		out.Grants = append(out.Grants, &relayrpc.QuotaGrant{Account: g.Account, Permits: int64(g.Permits), WaitMs: (g.Wait + time.Millisecond - 1).Milliseconds()})
	}
	return out
}

// decodeReply converts a message to a reply.
func decodeReply(in *relayrpc.QuotaReply) quota.Reply {
	out := quota.Reply{Coordinator: in.GetCoordinator(), Clock: time.Duration(in.GetClockUs()) * time.Microsecond, Free: in.GetFree()}
	for _, g := range in.GetGrants() {
		out.Grants = append(out.Grants, quota.Grant{Account: g.GetAccount(), Permits: int(max(0, g.GetPermits())), Wait: time.Duration(g.GetWaitMs()) * time.Millisecond})
	}
	return out
}
