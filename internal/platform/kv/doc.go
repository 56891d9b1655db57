// Package kv is the client of the platform's key-value service.
//
// A write whose answer is lost is Unknown: it is never sent again here, since
// only the writer can tell, by reading back, whether it took effect. A write
// that no byte of left, or that the service refused, is Down. Reads are sent
// again, with full jitter, until the context ends.
//
// # Usage
//
//	c := kv.New(kv.Config{Wire: store.New(store.Config{Addr: addr}), Addr: addr, Events: sink})
//	defer c.Close()
//	e, s := c.Get(ctx, "config/root")
//	if s == kv.Done { ... }
//	e, s = c.Swap(ctx, "config/root", e.Revision, value)
//	switch s {
//	case kv.Done: ...
//	case kv.Conflict: ...
//	case kv.Unknown: // read back
//	}
package kv
