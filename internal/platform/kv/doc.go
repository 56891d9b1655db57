// Package kv is the client of the platform's key-value service.
//
// A write whose answer is lost has the status Unknown. The client never retries it,
// since only the caller can determine, by reading the key, whether it took effect. A
// write that was not sent, or that the service refused, has the status Unavailable.
// Reads are retried a few times, with exponential backoff and full jitter.
//
// # Usage
//
//	c := kv.New(kv.Config{Transport: store.New(store.Config{Addr: addr}), Addr: addr, Events: sink})
//	defer c.Close()
//	e, s := c.Get(ctx, "config/root")
//	if s == kv.OK { ... }
//	e, s = c.Swap(ctx, "config/root", e.Revision, value)
//	switch s {
//	case kv.OK: ...
//	case kv.Conflict: ...
//	case kv.Unknown: // read the key to find out
//	}
package kv
