package configsyncmodel

import "slices"

// Result is what a check found.
type Result struct {
	// States is how many states were visited.
	States int
	// Violation names what does not hold; empty when all holds.
	Violation string
	// Steps lead to the violation.
	Steps []string
}

// visit is a state and how it was first reached.
type visit struct {
	state state
	// from is the index of the state before.
	from int
	by   string
}

// checker visits states breadth first.
type checker struct {
	config Config
	seen   map[state]struct{}
	visits []visit
	// from is the index of the state whose successors are being worked out.
	from int
}

// Check visits every state of the instance, or stops at the first violation.
func Check(c Config) Result {
	k := &checker{config: c, seen: map[state]struct{}{}}
	k.reach("start", state{})
	for ; k.from < len(k.visits); k.from++ {
		s := k.visits[k.from].state
		if b := s.broken(); b != "" {
			return Result{States: len(k.seen), Violation: b, Steps: k.steps(k.from)}
		}
		k.expand(s)
	}
	return Result{States: len(k.seen)}
}

// reach notes a state that one step leads to.
func (k *checker) reach(by string, s state) {
	if _, ok := k.seen[s]; ok {
		return
	}
	k.seen[s] = struct{}{}
	k.visits = append(k.visits, visit{state: s, from: k.from, by: by})
}

// steps returns how a state was reached.
func (k *checker) steps(i int) []string {
	var out []string
	for i > 0 {
		out = append(out, k.visits[i].by)
		i = k.visits[i].from
	}
	slices.Reverse(out)
	return out
}
