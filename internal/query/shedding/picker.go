package shedding

import "time"

// oldestShare is the time of searchers that goes to the requests that have waited longest,
// in relation to that of the others. It is counted as time, because one of four sends gave
// half of the time to requests of 90 ms among those of 4 and 11 ms.
const oldestShare = 1. / 8

// Picker picks the next of the requests that wait for one searcher. The zero value is
// ready for use. It is not safe for concurrent use.
type Picker struct {
	// credit is the searcher time that is due to the requests that have waited longest.
	credit time.Duration
}

// Next returns the index of the request that is sent next, of n in order of arrival; at(i)
// returns the i-th. Among equals it is the first.
func (p *Picker) Next(now time.Time, n int, at func(int) Request) int {
	if n < 2 {
		p.credit = 0
		return 0
	}
	best, highest, oldest := 0, -1.0, -1
	for i := range n {
		v := at(i).Value(now)
		if v > highest {
			best, highest = i, v
		}
		if oldest < 0 && v > 0 {
			oldest = i
		}
	}
	if oldest < 0 || oldest == best {
		return best
	}
	if d := at(oldest).Service; p.credit >= d {
		p.credit -= d
		return oldest
	}
	p.credit += time.Duration(oldestShare * float64(at(best).Service))
	return best
}
