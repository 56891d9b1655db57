package readbudget

import "testing"

// TestReleasedClaimsAreForgotten guards against claims of 0 bytes that stay in the budget for
// good: the own interface counts no memory for a connection, and kept a claim for each.
func TestReleasedClaimsAreForgotten(t *testing.T) {
	b := New(Config{Limit: 100})
	for _, size := range []int64{0, 10} {
		for range 10 {
			c := b.Open(nil)
			c.Force(size)
			c.Release()
			if err := c.Grow(size); err != nil {
				t.Fatal(err)
			}
			c.Release()
		}
	}
	if len(b.claims) != 0 || b.used != 0 {
		t.Errorf("%d claims and %d bytes are left", len(b.claims), b.used)
	}
}
