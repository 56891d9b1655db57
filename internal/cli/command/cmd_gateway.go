package command

import (
	"context"
	"os"
	"os/signal"
	"runtime"
	"runtime/debug"
	"sync"
	"syscall"

	"github.com/spf13/cobra"

	"egrethaven/internal/node/gateway"
	"egrethaven/internal/state/gatewaysettings"
	"egrethaven/platform/boot"
	"egrethaven/platform/decode"
	"egrethaven/platform/dialect"
	"egrethaven/platform/store"
)

// memoryShare is the part of the memory of a process that the heap may take
// before the collector works harder: stacks and buffers of the kernel need
// the rest.
const memoryShare = 0.6

var cmdGateway = command{
	use:     "gateway [-c FILE]",
	help:    "Run one entry VM on the users' platform; SIGTERM begins a graceful shutdown",
	example: "  egrethaven gateway -c gateway.ini",
	setup: func(c *cobra.Command) action {
		file := c.Flags().StringP("config", "c", "", "settings file; the one that the platform names if not given")
		return func(ctx context.Context, s *session, _ []string) error { return runGateway(ctx, s, *file) }
	},
}

// runGateway runs a gateway until a signal, and then stops it gracefully.
func runGateway(ctx context.Context, s *session, file string) error {
	if file == "" {
		file = boot.SettingsFile()
	}
	if file == "" {
		return usage("give -c FILE", "no settings file is given")
	}
	b, err := s.readFile(file)
	if err != nil {
		return err
	}
	v, ps := gatewaysettings.Parse(file, b)
	if len(ps) > 0 {
		s.logRefused(file, len(ps))
		return refuse(ps)
	}
	runtime.GOMAXPROCS(v.Cores)
	debug.SetMemoryLimit(int64(memoryShare * float64(v.MemoryMB) * (1 << 20)))
	ctx, stop := signal.NotifyContext(ctx, syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	hup := make(chan os.Signal, 1)
	signal.Notify(hup, syscall.SIGHUP)
	defer signal.Stop(hup)
	st := store.New(store.Config{Addr: v.StoreAddr})
	defer st.Close()
	g, err := gateway.New(gateway.Config{
		Settings: v, Store: st, Dialect: dialect.Dialect{}, ReadyPath: dialect.ReadyPath, LogOutput: s.out, Version: Version(),
		Decode: gateway.Decoder{ConfigKey: decode.ConfigKey, SearcherPrefix: decode.SearcherPrefix, VMPrefix: decode.VMPrefix,
			Config: decode.Config, Searcher: decode.Searcher},
	})
	if err != nil {
		return &failure{code: exitDegraded, what: "the gateway did not start: " + err.Error(), next: "check the addresses in " + file}
	}
	if file != "-" {
		w := gatewaysettings.NewWatcher(gatewaysettings.WatcherConfig{
			File: file, CurrentContent: b, Signal: hup, OnChange: g.Reload, OnInvalid: g.RefuseReload,
		})
		var wg sync.WaitGroup
		wg.Go(func() { w.Run(ctx) })
		// Run returns only once ctx has ended, and so does the watcher.
		defer wg.Wait()
	}
	if err := g.Run(ctx); err != nil {
		return &failure{code: exitDegraded, what: "the gateway stopped: " + err.Error()}
	}
	return nil
}
