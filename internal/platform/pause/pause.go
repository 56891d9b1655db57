// Package pause waits in a way that the end of a context cuts short.
//
// # Usage
//
//	if !pause.Sleep(ctx, d) { return ctx.Err() }
package pause

import (
	"context"
	"time"
)

// Sleep waits for d. It returns false when ctx ended first.
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
