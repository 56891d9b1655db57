package main

import (
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"

	"egrethaven/platform/decode"
	"egrethaven/platform/dialect"
	"egrethaven/platform/standin"
)

const (
	host = "search.example"
	// searcherCount searchers and gatewayCount gateways are in zoneCount zones.
	searcherCount, gatewayCount, zoneCount = 8, 3, 3
	// settleTime is how long gateways take to learn how many they are, and to connect.
	settleTime = 3 * time.Second
	// gatewayProgram is built by the command of deploy/system.toml.
	gatewayProgram = "target/egrethaven"
)

// record writes what was sent, answered and run to record.txt.
type record struct {
	mu    sync.Mutex
	f     *os.File
	start time.Time
}

func newRecord(file string) *record {
	f, err := os.Create(file)
	if err != nil {
		cannotRun("creating the record: %v", err)
	}
	return &record{f: f, start: time.Now()}
}

// addf writes one line with the time in seconds since the start.
func (r *record) addf(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	fmt.Fprintf(r.f, "%8.3f %s\n", time.Since(r.start).Seconds(), fmt.Sprintf(format, args...))
}

// processes are the processes that the case started. They are ended by their IDs.
var processes struct {
	mu  sync.Mutex
	all []*exec.Cmd
}

// start starts a process, which is ended by endProcesses.
func start(c *exec.Cmd) {
	if err := c.Start(); err != nil {
		cannotRun("starting %s: %v", c.Path, err)
	}
	processes.mu.Lock()
	defer processes.mu.Unlock()
	processes.all = append(processes.all, c)
}

// endProcesses kills and reaps all processes that were started. It continues stopped ones
// first.
func endProcesses() {
	processes.mu.Lock()
	defer processes.mu.Unlock()
	for _, c := range processes.all {
		_ = c.Process.Signal(syscall.SIGCONT)
		_ = c.Process.Kill()
		_ = c.Wait()
	}
	processes.all = nil
}

// workDir holds the settings and logs of the gateways.
var workDir string

// cleanUp ends all processes and removes workDir, unless KEEP is set in the environment.
func cleanUp() {
	endProcesses()
	switch {
	case workDir == "":
	case os.Getenv("KEEP") != "":
		fmt.Println("settings and logs of the gateways:", workDir)
	default:
		_ = os.RemoveAll(workDir)
	}
}

// cannotRun ends the case with exit code 2.
func cannotRun(format string, args ...any) {
	fmt.Fprintf(os.Stderr, "the case could not run: "+format+"\n", args...)
	cleanUp()
	os.Exit(2)
}

// freeAddr returns an unused loopback address below the ephemeral ports.
func freeAddr() string {
	const first, last = 10_000, 30_000
	for range last - first {
		nextPort++
		addr := fmt.Sprint("127.0.0.1:", first+nextPort%(last-first))
		if l, err := net.Listen("tcp", addr); err == nil {
			_ = l.Close()
			return addr
		}
	}
	cannotRun("no free port")
	return ""
}

var nextPort = os.Getpid() * 31

// gateway is one gateway process.
type gateway struct {
	clientAddr, readyAddr string
	cmd                   *exec.Cmd
}

// startGateway starts a gateway with the command of deploy/system.toml and settings as
// deploy/gateway.ini yields them for a small deployment.
func startGateway(i int, storeAddr, dir string) *gateway {
	g := &gateway{clientAddr: freeAddr(), readyAddr: freeAddr()}
	settings := fmt.Sprintf(`[gateway]
vm = front-%[1]s-1
domain = %[1]s

[listen]
clients = %[2]s
ready = %[3]s
metrics = %[4]s
peers = %[5]s

[peers]
seeds =

[store]
address = %[6]s
catch_up_ms = 4000
config_apply_ms = 3000
drain_ms = 3000

[retries]
ratio = 0.2
window_s = 10
allowance = 58

[process]
stop_within_s = 6
memory_mb = 284
cores = 1
link_mbps = 1000.0
`, zoneName(i), g.clientAddr, g.readyAddr, freeAddr(), freeAddr(), storeAddr)
	file := filepath.Join(dir, fmt.Sprintf("gateway-%d.ini", i))
	if err := os.WriteFile(file, []byte(settings), 0o600); err != nil {
		cannotRun("writing settings: %v", err)
	}
	log, err := os.Create(filepath.Join(dir, fmt.Sprintf("gateway-%d.log", i)))
	if err != nil {
		cannotRun("creating a log: %v", err)
	}
	g.cmd = exec.Command(gatewayProgram, "gateway")
	g.cmd.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + dir, "EGRETHAVEN_SETTINGS=" + file}
	g.cmd.Stdout, g.cmd.Stderr = log, log
	start(g.cmd)
	return g
}

// startGateways starts the gateways of a small deployment and waits until they are settled.
func startGateways(st *standin.Store, dir string) []*gateway {
	var gs []*gateway
	for i := range gatewayCount {
		gs = append(gs, startGateway(i, st.Addr(), dir))
	}
	for _, g := range gs {
		g.awaitReady()
	}
	time.Sleep(settleTime)
	return gs
}

// zoneName returns the zone of gateway or searcher i.
func zoneName(i int) string { return fmt.Sprintf("zone%d", i%zoneCount) }

// awaitReady waits until the gateway accepts requests.
func (g *gateway) awaitReady() {
	for end := time.Now().Add(10 * time.Second); time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
		r, err := http.Get("http://" + g.readyAddr + dialect.ReadyPath)
		if err != nil {
			continue
		}
		_ = r.Body.Close()
		if r.StatusCode == http.StatusOK {
			return
		}
	}
	cannotRun("a gateway is not ready after 10 s")
}

// The limits of a body that the cases use.
const (
	sheetBodyBytes = 256 << 10
	longBodyBytes  = 4 << 20
)

// putConfig writes a version of the operator's configuration: one route, whose requests may
// run once only, to the service.
func putConfig(st *standin.Store, version int, service string, timeout time.Duration, maxBodyBytes int) {
	b, err := json.Marshal(map[string]any{"version": version,
		"services": []map[string]any{{"name": "p", "health_path": "/health", "max_conns": 45, "protocol": "h1", "tls": false}, {"name": "q", "health_path": "/health", "max_conns": 45, "protocol": "h1", "tls": false}},
		"routes": []map[string]any{{"name": "r-p", "host": host, "prefix": "/one/", "kind": "non_idempotent", "timeout_ms": timeout.Milliseconds(),
			"latency_goal_ms": 250, "priority": 2, "service": service, "max_attempts": 2}},
		"limits": map[string]any{"max_header_bytes": 16384, "max_body_bytes": maxBodyBytes, "header_timeout_ms": 3000, "idle_timeout_ms": 15000}})
	if err != nil {
		cannotRun("encoding the configuration: %v", err)
	}
	st.Put(decode.ConfigKey, b)
}

// putSearcher writes a searcher's entry.
func putSearcher(st *standin.Store, service, id, addr, zone string, seq int, born int64) {
	b, err := json.Marshal(map[string]any{"service": service, "address": addr, "zone": zone, "version": "v1", "slots": 4,
		"state": "ready", "cold_left_ms": 0, "seq": seq, "born": born})
	if err != nil {
		cannotRun("encoding an entry: %v", err)
	}
	st.Put(decode.SearcherPrefix+id, b)
}

// reply is what a client saw of its request.
type reply struct {
	status  int
	stamp   string
	body    []byte
	elapsed time.Duration
	err     error
}

// send sends one request as a client does, which closes its connection when its patience
// is over.
func send(c *http.Client, addr, id, method, target, body string, patience time.Duration) reply {
	began := time.Now()
	q, err := http.NewRequest(method, "http://"+addr+target, strings.NewReader(body))
	if err != nil {
		return reply{err: err}
	}
	q.Host = host
	q.Header.Set(dialect.AttemptID, id)
	q.Header.Set(dialect.DeadlineMS, fmt.Sprint(patience.Milliseconds()))
	c.Timeout = patience
	r, err := c.Do(q)
	if err != nil {
		return reply{elapsed: time.Since(began), err: err}
	}
	defer r.Body.Close()
	b, err := io.ReadAll(r.Body)
	return reply{status: r.StatusCode, stamp: r.Header.Get(dialect.ServerStamp), body: b, elapsed: time.Since(began), err: err}
}
