package gatewaysettings_test

import (
	"testing"

	"egrethaven/internal/state/gatewaysettings"
)

// TestMemory checks that all that is bounded fits into the soft limit, with a quarter to spare
// for the rest, and leaves room for the connections of a deployment's clients.
func TestMemory(t *testing.T) {
	for _, c := range []struct{ memoryMB, maxFDs, minConns int }{
		{32, 700, 50}, {40, 700, 200}, {64, 4100, 450}, {128, 4100, 900}, {184, 4100, 1400}, {284, 4100, 2300}, {536, 8192, 4000},
	} {
		s := gatewaysettings.Settings{MemoryMB: c.memoryMB, MaxFDs: c.maxFDs}
		soft := s.SoftMemoryLimit()
		if sum := s.ResponseMemory() + s.CallerMemory(); sum > soft*3/4 || soft > int64(c.memoryMB)<<20 {
			t.Errorf("%d MB: %d bytes bounded of %d", c.memoryMB, sum, soft)
		}
		if n := s.MaxClientConns(); n < c.minConns || n > c.maxFDs*3/4 || int64(n)*gatewaysettings.ConnBytes > s.CallerMemory() {
			t.Errorf("%d MB: %d connections of clients", c.memoryMB, n)
		}
	}
}
