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

	"egrethaven/internal/infra/hangup"
	"egrethaven/internal/infra/readbudget"
	"egrethaven/internal/node/gateway"
	"egrethaven/internal/state/gatewaysettings"
	"egrethaven/platform/boot"
	"egrethaven/platform/decode"
	"egrethaven/platform/dialect"
	"egrethaven/platform/store"
)

// memoryLimitRatio is the fraction of the process's memory that is set as the
// Go runtime's soft memory limit. Stacks and kernel buffers need the rest.
const memoryLimitRatio = 0.6

// programMB is the memory in MB that the pages of the program itself take, rounded up from 22.
// It bounds the limit of small processes, which had 41 to 43 MB of 40 with the ratio alone.
const programMB = 24

// minMemoryLimitRatio keeps the limit of the smallest processes above what an idle gateway
// uses, 4 MB.
const minMemoryLimitRatio = 0.25

// responseMemoryRatio is the fraction of the process's memory that responses of searchers,
// the store and other VMs, and bodies of clients' requests, may take at a time.
const responseMemoryRatio = 0.125

// headMemoryRatio is the same for heads of requests. They have a budget of their own, so that
// clients that send heads without an end do not end responses of searchers.
const headMemoryRatio = 1. / 16

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
	debug.SetMemoryLimit(memoryLimit(v.MemoryMB))
	ctx, stop := signal.NotifyContext(ctx, syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	budget := readbudget.New(readbudget.Config{Limit: int64(responseMemoryRatio * float64(v.MemoryMB) * (1 << 20))})
	heads := readbudget.New(readbudget.Config{Limit: int64(headMemoryRatio * float64(v.MemoryMB) * (1 << 20)), ByAge: true})
	st := store.New(store.Config{Addr: v.StoreAddr, Budget: budget, MaxValueBytes: maxValueBytes})
	defer st.Close()
	g, err := gateway.New(gateway.Config{
		Settings: v, Store: st, Budget: budget, HeadBudget: heads, Dialect: dialect.Dialect{}, ReadyPath: dialect.ReadyPath, LogOutput: s.out, Version: Version(),
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

// memoryLimit returns the Go runtime's soft memory limit in bytes for a process that may use
// the given memory.
func memoryLimit(memoryMB int) int64 {
	mb := float64(memoryMB)
	return int64(max(minMemoryLimitRatio*mb, min(memoryLimitRatio*mb, mb-programMB)) * (1 << 20))
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
