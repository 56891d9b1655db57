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
	"egrethaven/internal/infra/hangup"
)

// Environment variables read by the program.
const (
	addrEnv  = "EGRETHAVEN_ADDR"
	tokenEnv = "EGRETHAVEN_TOKEN"
)

const (
	// defaultAddr is the default address of a node's operator API.
	defaultAddr = "127.0.0.1:7801"
	// requestTimeout is the timeout of one request to a node.
	requestTimeout = 90 * time.Second
)

// session holds the streams and common flags of one run of the program.
type session struct {
	in          io.Reader
	out, errOut io.Writer
	// json selects JSON output instead of a table.
	json bool
	// addr and token are the address and bearer token of a node's operator API.
	addr, token string
}

// client returns a client of the node at s.addr.
func (s *session) client() *adminclient.Client {
	return adminclient.New(adminclient.Config{Addr: s.addr, Token: s.token, Timeout: requestTimeout})
}

// Main runs the program with args and returns its exit code.
func Main(args []string, in io.Reader, out, errOut io.Writer) int {
	s := &session{in: in, out: out, errOut: errOut}
	if len(args) == 0 || args[0] != gatewayCommand && args[0] != serveCommand {
		hangup.Restore()
	}
	r := newRootCommand(s)
	r.SetArgs(args)
	r.SetIn(in)
	r.SetOut(out)
	r.SetErr(errOut)
	err := r.ExecuteContext(context.Background())
	if err == nil {
		return exitOK
	}
	e := toExitError(err)
	if m := e.Error(); m != "" {
		fmt.Fprintln(errOut, "egrethaven: "+strings.ReplaceAll(m, "\n", "\negrethaven: "))
	}
	return e.code
}

// newRootCommand builds the command tree.
func newRootCommand(s *session) *cobra.Command {
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
		return usageError("see "+c.CommandPath()+" --help", "%v", err)
	})
	for _, c := range commands {
		r.AddCommand(c.build(s))
	}
	r.AddCommand(benchCommand())
	return r
}

// build returns the cobra command for c.
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
		f.StringVar(&s.addr, "addr", envOrDefault(addrEnv, defaultAddr), "IP:port of a node's operator API")
		f.StringVar(&s.token, "token", "", "bearer token (default $"+tokenEnv+")")
		b.PreRun = func(*cobra.Command, []string) { s.defaultToken() }
	}
	return b
}

// defaultToken reads the token from the environment only after the flags are
// parsed: as the flag's default, help would print it.
func (s *session) defaultToken() {
	if s.token == "" {
		s.token = os.Getenv(tokenEnv)
	}
}

// envOrDefault returns a non-empty environment variable, or defaultValue.
func envOrDefault(name, defaultValue string) string {
	if v := os.Getenv(name); v != "" {
		return v
	}
	return defaultValue
}
