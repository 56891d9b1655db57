package main

import (
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"

	"egrethaven/internal/standin/freeport"
	"egrethaven/platform/standin"
)

// Bounds of the small deployments (sites/moisi-egret.toml, DEPLOY.md).
const (
	heartbeat   = 1200 * time.Millisecond
	graceSecond = 6
	configApply = 3 * time.Second
)

// zones are the failure domains of the deployment.
var zones = []string{"pamplemousses", "grand-baie", "triolet"}

// deployment is a store, searchers and gateways. The store and the searchers are in this
// process, the gateways are processes of their own.
type deployment struct {
	dir     string
	store   *standin.Store
	record  *record
	program string

	mu       sync.Mutex
	gateways []*gateway
}

// gateway is one gateway process.
type gateway struct {
	name, zone                    string
	client, ready, metrics, peers string
	settings                      string
	cmd                           *exec.Cmd
	log                           *os.File
	exited                        chan struct{}
}

// record is the file that tells what was sent, answered and run.
type record struct {
	mu    sync.Mutex
	f     *os.File
	start time.Time
}

// newRecord creates the file.
func newRecord(file string) *record {
	f, err := os.Create(file)
	if err != nil {
		unable(err)
	}
	return &record{f: f, start: time.Now()}
}

// add writes a line.
func (r *record) add(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	fmt.Fprintf(r.f, "%9.3f ", time.Since(r.start).Seconds())
	fmt.Fprintf(r.f, format+"\n", args...)
}

// unable ends the case with the status for one that could not run.
func unable(v any) {
	fmt.Fprintln(os.Stderr, "the case could not run:", v)
	stopAll()
	os.Exit(2)
}

var (
	processesMu sync.Mutex
	processes   []*exec.Cmd
)

// stopAll kills all processes that were started.
func stopAll() {
	processesMu.Lock()
	defer processesMu.Unlock()
	for _, c := range processes {
		_ = c.Process.Signal(syscall.SIGCONT)
		_ = c.Process.Kill()
	}
	for _, c := range processes {
		_, _ = c.Process.Wait()
	}
	processes = nil
}

// ports are below the range of outgoing connections.
var ports freeport.Allocator

// freeAddr returns an unused address on loopback.
func freeAddr() string {
	addr, err := ports.Addr()
	if err != nil {
		unable(err)
	}
	return addr
}

// newDeployment starts the store.
func newDeployment(dir string, r *record) *deployment {
	root, err := os.Getwd()
	if err != nil {
		unable(err)
	}
	d := &deployment{dir: dir, store: standin.NewStore(), record: r, program: filepath.Join(root, "target", "egrethaven")}
	if _, err := os.Stat(d.program); err != nil {
		unable(err)
	}
	return d
}

// putConfig writes a configuration as the operator does.
func (d *deployment) putConfig(c map[string]any) {
	b, err := json.Marshal(c)
	if err != nil {
		unable(err)
	}
	d.store.Put("op/config", b)
	d.record.add("operator: config version %v acknowledged", c["version"])
}

// limits are those of the example in the pages.
var limits = map[string]any{"max_header_bytes": 16384, "max_body_bytes": 262144, "header_timeout_ms": 3000, "idle_timeout_ms": 15000}

// settingsTemplate is the template that the deploy file names.
const settingsTemplate = "deploy/gateway.ini"

// render fills in the template with the fields of a small deployment.
func (d *deployment) render(g *gateway, storeAddr string, seeds []string, more map[string]string) string {
	b, err := os.ReadFile(settingsTemplate)
	if err != nil {
		unable(err)
	}
	text := string(b)
	from, to := "{{#zones}}", "{{/zones}}"
	i, j := strings.Index(text, from), strings.Index(text, to)
	if i < 0 || j < i {
		unable("the template has no section of zones")
	}
	var regions strings.Builder
	for _, z := range zones {
		line := strings.ReplaceAll(text[i+len(from):j], "{{@}}", z)
		regions.WriteString(strings.ReplaceAll(line, "{{.}}", "mu-north"))
	}
	text = text[:i] + regions.String() + text[j+len(to):]
	fields := map[string]string{
		"node": g.name, "zone": g.zone, "listen.front": g.client, "listen.ready": g.ready, "listen.control": g.peers,
		"seeds": strings.Join(seeds, ","), "platform.address": storeAddr,
		"bounds.stability_window_ms": "4000", "bounds.config_apply_ms": "3000", "bounds.drain_ms": "3000",
		"bounds.retry_ratio": "0.2", "bounds.retry_window_s": "10", "bounds.retry_allowance": "58",
		"bounds.max_skew_ms": "12000", "bounds.grace_s": fmt.Sprint(graceSecond),
		"limits.memory_mb": "284", "limits.max_fds": "4100", "limits.cores": "1", "limits.link_mbps": "1000.0",
	}
	for k, v := range more {
		fields[k] = v
	}
	// Machines of a deployment have addresses of their own; here they share one.
	text = strings.ReplaceAll(text, "{{ip}}:9464", g.metrics)
	for k, v := range fields {
		text = strings.ReplaceAll(text, "{{"+k+"}}", v)
	}
	for {
		i := strings.Index(text, "{{")
		if i < 0 {
			return text
		}
		text = text[:i] + text[i+strings.Index(text[i:], "}}")+2:]
	}
}

// addGateway starts a gateway.
func (d *deployment) addGateway(zone, storeAddr string, more map[string]string) *gateway {
	g := &gateway{name: fmt.Sprintf("front-%s-%d", zone, len(d.gateways)+1), zone: zone, client: freeAddr(), ready: freeAddr(), metrics: freeAddr(), peers: freeAddr()}
	var seeds []string
	for _, o := range d.gateways {
		seeds = append(seeds, o.peers)
	}
	if len(seeds) > 3 {
		seeds = seeds[:3]
	}
	g.settings = filepath.Join(d.dir, g.name+".ini")
	if err := os.WriteFile(g.settings, []byte(d.render(g, storeAddr, seeds, more)), 0o600); err != nil {
		unable(err)
	}
	d.gateways = append(d.gateways, g)
	d.start(g)
	return g
}

// start starts the process of a gateway, with the command of the deploy file.
func (d *deployment) start(g *gateway) {
	f, err := os.OpenFile(filepath.Join(d.dir, g.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		unable(err)
	}
	c := exec.Command(d.program, "gateway")
	c.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), "LANG=" + os.Getenv("LANG"), "EGRETHAVEN_SETTINGS=" + g.settings}
	c.Stdout, c.Stderr = f, f
	if err := c.Start(); err != nil {
		unable(err)
	}
	g.cmd, g.log, g.exited = c, f, make(chan struct{})
	processesMu.Lock()
	processes = append(processes, c)
	processesMu.Unlock()
	d.record.add("platform: %s started, process %d", g.name, c.Process.Pid)
}

// isReady asks a gateway as the platform does.
func (g *gateway) isReady() bool {
	c := http.Client{Timeout: 900 * time.Millisecond}
	r, err := c.Get("http://" + g.ready + "/api/readiness")
	if err != nil {
		return false
	}
	_, _ = io.Copy(io.Discard, r.Body)
	_ = r.Body.Close()
	return r.StatusCode == http.StatusOK
}

// awaitReady waits until all gateways are ready.
func (d *deployment) awaitReady() {
	for end := time.Now().Add(15 * time.Second); ; time.Sleep(100 * time.Millisecond) {
		n := 0
		for _, g := range d.gateways {
			if g.isReady() {
				n++
			}
		}
		if n == len(d.gateways) {
			return
		}
		if time.Now().After(end) {
			unable(fmt.Sprintf("%d of %d gateways are ready", n, len(d.gateways)))
		}
	}
}
