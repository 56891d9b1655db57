package command

import (
	"io"
	"os"
	"strings"

	"github.com/juju/errors"

	"egrethaven/internal/state/inifile"
	"egrethaven/internal/state/problem"
	"egrethaven/internal/state/search"
	"egrethaven/internal/state/settings"
)

// readFile reads a file, or the standard input for "-".
func (s *session) readFile(name string) ([]byte, error) {
	if name == "-" {
		b, err := io.ReadAll(io.LimitReader(s.in, inifile.MaxSize+1))
		return b, errors.Annotate(err, "reading the standard input")
	}
	b, err := os.ReadFile(name)
	if err != nil {
		return nil, usage("give the path of a readable file", "%v", err)
	}
	return b, nil
}

// settings reads and checks a settings file.
func (s *session) settings(name string) (settings.Settings, []problem.Problem, error) {
	b, err := s.readFile(name)
	if err != nil {
		return settings.Settings{}, nil, err
	}
	v, ps := settings.Parse(name, b)
	return v, ps, nil
}

// definitions reads and checks files of definitions.
func (s *session) definitions(names []string) ([]search.Definition, []problem.Problem, error) {
	var ds []search.Definition
	var ps []problem.Problem
	from := make(map[string]string)
	for _, name := range names {
		b, err := s.readFile(name)
		if err != nil {
			return nil, nil, err
		}
		some, more := search.Parse(name, b)
		ps = append(ps, more...)
		for _, d := range some {
			if first, ok := from[d.Name]; ok && first != name {
				ps = append(ps, problem.Problem{File: name, Section: d.Name, Message: "search is also defined in " + first})
			}
			from[d.Name] = name
		}
		ds = append(ds, some...)
	}
	return ds, ps, nil
}

// refuse is the failure of files with problems, each named.
func refuse(ps []problem.Problem) error {
	return &failure{code: exitUsage, what: strings.Join(problem.Strings(ps), "\n")}
}
