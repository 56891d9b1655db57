package configsyncmodel

import "slices"

// Result is the result of a check.
type Result struct {
	// States is the number of distinct states visited.
	States int
	// Violation describes the violated invariant; it is empty if all hold.
	Violation string
	// Steps describes the steps that lead to the violation.
	Steps []string
}

// visit is a state and the step that first reached it.
type visit struct {
	state state
	// parent is the index of the state before the step.
	parent int
	step   string
}

// checker visits states in breadth-first order.
type checker struct {
	config Config
	seen   map[state]struct{}
	visits []visit
	// current is the index of the state that is being expanded.
	current int
}

// Check visits every state of the instance, or stops at the first violation.
func Check(c Config) Result {
	k := &checker{config: c, seen: map[state]struct{}{}}
	k.add("start", state{})
	for ; k.current < len(k.visits); k.current++ {
		s := k.visits[k.current].state
		if violation := s.violation(); violation != "" {
			return Result{States: len(k.seen), Violation: violation, Steps: k.path(k.current)}
		}
		k.expand(s)
	}
	return Result{States: len(k.seen)}
}

// add appends a successor of the current state unless it was seen before.
func (k *checker) add(step string, s state) {
	if _, ok := k.seen[s]; ok {
		return
	}
	k.seen[s] = struct{}{}
	k.visits = append(k.visits, visit{state: s, parent: k.current, step: step})
}

// path returns the steps from the start to the state with index i.
func (k *checker) path(i int) []string {
	var out []string
	for i > 0 {
		out = append(out, k.visits[i].step)
		i = k.visits[i].parent
	}
	slices.Reverse(out)
	return out
}
