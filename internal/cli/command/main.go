package command

import (
	"context"
	"fmt"
	"io"
	"os"
	"strings"
	"time"

	"github.com/spf13/cobra"

	"egrethaven/internal/cli/adminclient"
)

// The variables of the environment that the program reads.
const (
	addrVariable  = "EGRETHAVEN_ADDR"
	tokenVariable = "EGRETHAVEN_TOKEN"
)

const (
	// defaultAddr is where a node's operator API is looked for.
	defaultAddr = "127.0.0.1:7801"
	// requestTimeout bounds one request to a node.
	requestTimeout = 90 * time.Second
)

// session is what a command works with.
type session struct {
	in        io.Reader
	out, errs io.Writer
	// json asks for JSON in the place of a table.
	json bool
	// addr and token say which node to ask.
	addr, token string
}

// client returns the client of the node to ask.
func (s *session) client() *adminclient.Client {
	return adminclient.New(adminclient.Config{Addr: s.addr, Token: s.token, Timeout: requestTimeout})
}

// Main runs the program and returns its exit code.
func Main(args []string, in io.Reader, out, errs io.Writer) int {
	s := &session{in: in, out: out, errs: errs}
	r := root(s)
	r.SetArgs(args)
	r.SetIn(in)
	r.SetOut(out)
	r.SetErr(errs)
	err := r.ExecuteContext(context.Background())
	if err == nil {
		return exitOK
	}
	f := classify(err)
	if m := f.Error(); m != "" {
		fmt.Fprintln(errs, "egrethaven: "+strings.ReplaceAll(m, "\n", "\negrethaven: "))
	}
	return f.code
}

// root builds the tree of commands.
func root(s *session) *cobra.Command {
	r := &cobra.Command{
		Use:   "egrethaven",
		Short: "A query tier over many shards",
		Long: "egrethaven answers each query over many shards, between callers and backend servers.\n\n" +
			"Exit codes: 0 ok; 1 answered, but degraded, incomplete or in conflict; 2 usage; 3 unreachable.\n" +
			"Environment: EGRETHAVEN_ADDR and EGRETHAVEN_TOKEN stand in for --addr and --token.",
		SilenceErrors: true,
		SilenceUsage:  true,
	}
	r.SetFlagErrorFunc(func(c *cobra.Command, err error) error {
		return usage("see "+c.CommandPath()+" --help", "%v", err)
	})
	for _, c := range all {
		r.AddCommand(c.build(s))
	}
	r.AddCommand(bench())
	return r
}

// build makes the command for cobra.
func (c command) build(s *session) *cobra.Command {
	b := &cobra.Command{Use: c.use, Short: c.help, Example: c.example, Args: c.args}
	if b.Args == nil {
		b.Args = cobra.NoArgs
	}
	a := c.setup(b)
	b.RunE = func(b *cobra.Command, args []string) error { return a(b.Context(), s, args) }
	if c.remote {
		f := b.Flags()
		f.BoolVar(&s.json, "json", false, "print JSON in the place of a table")
		f.StringVar(&s.addr, "addr", fallback(addrVariable, defaultAddr), "IP:port of a node's operator API")
		f.StringVar(&s.token, "token", "", "bearer token (default $"+tokenVariable+")")
		b.PreRun = func(*cobra.Command, []string) { s.defaultToken() }
	}
	return b
}

// defaultToken reads the token late, so that help never prints it.
func (s *session) defaultToken() {
	if s.token == "" {
		s.token = os.Getenv(tokenVariable)
	}
}

// fallback returns a variable of the environment, or otherwise.
func fallback(variable, otherwise string) string {
	if v := os.Getenv(variable); v != "" {
		return v
	}
	return otherwise
}
