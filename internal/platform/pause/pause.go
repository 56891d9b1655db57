// Package pause provides a sleep that ends early when a context ends.
//
// # Usage
//
//	if !pause.Sleep(ctx, d) { return ctx.Err() }
package pause

import (
	"context"
	"time"
)

// Sleep waits for d and returns true, or returns false as soon as ctx ends.
func Sleep(ctx context.Context, d time.Duration) bool {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
		return true
	case <-ctx.Done():
		return false
	}
}
