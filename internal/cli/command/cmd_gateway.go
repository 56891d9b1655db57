package command

import (
	"context"
	"math"
	"os/signal"
	"runtime"
	"runtime/debug"
	"sync"
	"syscall"

	"github.com/spf13/cobra"

	"egrethaven/internal/front/requestbody"
	"egrethaven/internal/infra/hangup"
	"egrethaven/internal/infra/readbudget"
	"egrethaven/internal/node/gateway"
	"egrethaven/internal/state/gatewaysettings"
	"egrethaven/platform/boot"
	"egrethaven/platform/decode"
	"egrethaven/platform/dialect"
	"egrethaven/platform/store"
)

// gatewayCommand is the name of the command that handles SIGHUP.
const gatewayCommand = "gateway"

var cmdGateway = command{
	use:     gatewayCommand + " [-c FILE]",
	help:    "Run one entry VM on the users' platform; SIGTERM begins a graceful shutdown",
	example: "  egrethaven gateway -c gateway.ini",
	setup: func(c *cobra.Command) action {
		file := c.Flags().StringP("config", "c", "", "settings file; the one that the platform names if not given")
		return func(ctx context.Context, s *session, _ []string) error { return runGateway(ctx, s, *file) }
	},
}

// runGateway runs a gateway until SIGTERM or SIGINT, then stops it gracefully.
func runGateway(ctx context.Context, s *session, file string) error {
	if file == "" {
		file = boot.SettingsFile()
	}
	if file == "" {
		return usageError("give -c FILE", "no settings file is given")
	}
	b, err := s.readFile(file)
	if err != nil {
		return err
	}
	v, problems := gatewaysettings.Parse(file, b)
	if len(problems) > 0 {
		s.logInvalidSettings(file, len(problems))
		return problemsError(problems)
	}
	runtime.GOMAXPROCS(v.Cores)
	debug.SetMemoryLimit(v.SoftMemoryLimit())
	ctx, stop := signal.NotifyContext(ctx, syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	budget := readbudget.New(readbudget.Config{Limit: v.ResponseMemory()})
	callers := readbudget.New(readbudget.Config{Limit: v.CallerMemory(), ByAge: true, MinKept: requestbody.SmallBytes})
	st := store.New(store.Config{Addr: v.StoreAddr, Budget: budget, MaxValueBytes: maxValueBytes})
	defer st.Close()
	g, err := gateway.New(gateway.Config{
		Settings: v, Store: st, Budget: budget, CallerBudget: callers, Dialect: dialect.Dialect{}, ReadyPath: dialect.ReadyPath, LogOutput: s.out, Version: Version(),
		Decode: gateway.Decoder{ConfigKey: decode.ConfigKey, SearcherPrefix: decode.SearcherPrefix, VMPrefix: decode.VMPrefix, RumorPrefix: decode.RumorPrefix, EvacuationPrefix: decode.EvacuationPrefix,
			Config: decode.Config, Searcher: decode.Searcher},
	})
	if err != nil {
		return &exitError{code: exitDegraded, message: "the gateway did not start: " + err.Error(), hint: "check the addresses in " + file}
	}
	if file != "-" {
		w := gatewaysettings.NewWatcher(gatewaysettings.WatcherConfig{
			File: file, CurrentContent: b, Signal: hangup.C(), OnChange: g.Reload, OnInvalid: g.RefuseReload,
		})
		var wg sync.WaitGroup
		wg.Go(func() { w.Run(ctx) })
		// Both Run methods return only after ctx is done.
		defer wg.Wait()
	}
	if err := g.Run(ctx); err != nil {
		return &exitError{code: exitDegraded, message: "the gateway stopped: " + err.Error()}
	}
	return nil
}

// maxValueBytes returns the size of the longest value that is read of a key of the store.
// Entries of searchers and gateways are short; configurations may be as long as the store
// permits.
func maxValueBytes(key string) int {
	const entryBytes = 64 << 10
	if key == decode.ConfigKey {
		return math.MaxInt
	}
	return entryBytes
}
