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

// readFile reads a file, or standard input if name is "-".
func (s *session) readFile(name string) ([]byte, error) {
	if name == "-" {
		b, err := io.ReadAll(io.LimitReader(s.in, inifile.MaxSize+1))
		return b, errors.Annotate(err, "reading standard input")
	}
	b, err := os.ReadFile(name)
	if err != nil {
		return nil, usageError("give the path of a readable file", "%v", err)
	}
	return b, nil
}

// readSettings reads and validates a settings file.
func (s *session) readSettings(name string) (settings.Settings, []problem.Problem, error) {
	b, err := s.readFile(name)
	if err != nil {
		return settings.Settings{}, nil, err
	}
	v, problems := settings.Parse(name, b)
	return v, problems, nil
}

// readDefinitions reads and validates files of search definitions.
func (s *session) readDefinitions(names []string) ([]search.Definition, []problem.Problem, error) {
	var defs []search.Definition
	var problems []problem.Problem
	definedIn := make(map[string]string)
	for _, name := range names {
		b, err := s.readFile(name)
		if err != nil {
			return nil, nil, err
		}
		parsed, more := search.Parse(name, b)
		problems = append(problems, more...)
		for _, d := range parsed {
			if first, ok := definedIn[d.Name]; ok && first != name {
				problems = append(problems, problem.Problem{File: name, Section: d.Name, Message: "search is also defined in " + first})
			}
			definedIn[d.Name] = name
		}
		defs = append(defs, parsed...)
	}
	return defs, problems, nil
}

// problemsError returns a usage error that lists each problem on its own line.
func problemsError(problems []problem.Problem) error {
	return &exitError{code: exitUsage, message: strings.Join(problem.Strings(problems), "\n")}
}
