package follow_test

import (
	"errors"
	"testing"

	"egrethaven/internal/state/follow"
)

func TestCheckNext(t *testing.T) {
	p := follow.Position{Era: 2, Revision: 7}
	for next, want := range map[follow.Position]error{
		p: nil, {Era: 2, Revision: 9}: nil, {Era: 3, Revision: 9}: follow.ErrRestored, {Era: 3, Revision: 4}: follow.ErrRestored,
		{Era: 2, Revision: 6}: follow.ErrRestored, {Era: 1, Revision: 9}: follow.ErrOutdated,
	} {
		if got := p.CheckNext(next); !errors.Is(got, want) {
			t.Errorf("%s after %s: %v, want %v", next, p, got, want)
		}
	}
}
