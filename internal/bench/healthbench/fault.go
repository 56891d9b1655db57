package healthbench

import (
	"egrethaven/internal/standin/platform"
	"egrethaven/internal/standin/searcher"
)

// eachSearcher calls do for the first n searchers of each failure domain, which
// hold the same shards everywhere.
func (f *fleet) eachSearcher(n int, do func(*searcher.Searcher)) error {
	for i, s := range f.searchers.Searchers {
		if i%searchersPerDomain < n {
			do(s)
		}
	}
	return nil
}

// crash returns a function that crashes n searchers of each failure domain.
func crash(n int) func(*fleet) error {
	return func(f *fleet) error {
		return f.eachSearcher(n, func(s *searcher.Searcher) { s.Crash(0) })
	}
}

// start returns a function that restarts n crashed searchers of each failure
// domain. A searcher whose port is still in use retries by itself.
func start(n int) func(*fleet) error {
	return func(f *fleet) error {
		return f.eachSearcher(n, func(s *searcher.Searcher) { _ = s.Restart() })
	}
}

// freeze returns a function that freezes or resumes one searcher per domain.
func freeze(on bool) func(*fleet) error {
	return func(f *fleet) error {
		return f.eachSearcher(1, func(s *searcher.Searcher) { s.SetFrozen(on) })
	}
}

// shed returns a function that makes all searchers refuse or accept requests.
func shed(on bool) func(*fleet) error {
	return func(f *fleet) error {
		return f.eachSearcher(searchersPerDomain, func(s *searcher.Searcher) { s.SetShedding(on) })
	}
}

// stopPlatform makes the platform refuse every call.
func (f *fleet) stopPlatform() error {
	f.platform.SetFaults(platform.Faults{Down: true})
	return nil
}

// restorePlatform ends stopPlatform.
func (f *fleet) restorePlatform() error {
	f.platform.SetFaults(platform.Faults{})
	return nil
}
