package healthbench

import (
	"egrethaven/internal/standin/platform"
	"egrethaven/internal/standin/searcher"
)

// rows calls f for the first n searchers of each failure domain: the same
// shards everywhere.
func (f *fleet) rows(n int, do func(*searcher.Searcher)) error {
	for i, s := range f.searchers.Searchers {
		if i%searchersEach < n {
			do(s)
		}
	}
	return nil
}

// crash stops n searchers of each failure domain until they are started.
func crash(n int) func(*fleet) error {
	return func(f *fleet) error {
		return f.rows(n, func(s *searcher.Searcher) { s.Crash(0) })
	}
}

// start starts n crashed searchers of each failure domain. One whose port is
// taken for the moment tries again by itself.
func start(n int) func(*fleet) error {
	return func(f *fleet) error {
		return f.rows(n, func(s *searcher.Searcher) { _ = s.Restart() })
	}
}

// freeze stops, or goes on with, the work of one searcher of each domain.
func freeze(on bool) func(*fleet) error {
	return func(f *fleet) error {
		return f.rows(1, func(s *searcher.Searcher) { s.SetFrozen(on) })
	}
}

// shed makes all searchers refuse, or take, every request.
func shed(on bool) func(*fleet) error {
	return func(f *fleet) error {
		return f.rows(searchersEach, func(s *searcher.Searcher) { s.SetShedding(on) })
	}
}

// losePlatform makes the platform refuse every call.
func (f *fleet) losePlatform() error {
	f.platform.SetFaults(platform.Faults{Down: true})
	return nil
}

// returnPlatform mends the platform.
func (f *fleet) returnPlatform() error {
	f.platform.SetFaults(platform.Faults{})
	return nil
}
