// Package shortage names the resources that a request ran short of.
//
// A late or failed request alone does not tell an operator what to add: connections,
// searchers, a larger retry budget or processor time. The names collected here do.
//
// # Usage
//
//	var s shortage.Set
//	s.Add(shortage.Connection)
//	log.Strs("short_of", s.Names())
package shortage

// Resource is something that a request may have to wait for or do without.
type Resource uint8

// The resources.
const (
	// Connection means that a send waited for a connection to its searcher, or that too
	// many sends were waiting for one.
	Connection Resource = iota
	// Slots means that a searcher had no free slot, or named a limit on its requests.
	Slots
	// Pause means that a searcher answered nothing for a while, as in a pause of its process.
	Pause
	// Budget means that the retry budget permitted no further send.
	Budget
	// Searchers means that no other searcher could be used, or only one that is slow.
	Searchers
	// Deadline means that the client's time was shorter than an ordinary answer takes.
	Deadline
	// Processor means that this process continued with the request late.
	Processor
	count
)

// names holds the names of the resources in logs.
var names = [count]string{"connection", "slots", "pause", "budget", "searchers", "deadline", "processor"}

// String returns the name of a resource.
func (r Resource) String() string { return names[r] }

// Set is a set of resources. The zero value is empty.
type Set uint8

// Add adds a resource.
func (s *Set) Add(r Resource) { *s |= 1 << r }

// Has reports whether a resource is in the set.
func (s Set) Has(r Resource) bool { return s&(1<<r) != 0 }

// Names returns the names of the resources in the set.
func (s Set) Names() []string {
	var out []string
	for r := range count {
		if s.Has(r) {
			out = append(out, names[r])
		}
	}
	return out
}
