package e2e

import (
	"bytes"
	"encoding/json"
	"fmt"
	"net/http"
	"os"
	"os/exec"
	"strings"
	"sync"
	"syscall"

	"egrethaven/internal/infra/failuredomain"
	"egrethaven/internal/infra/vm"
	"egrethaven/internal/observe/timeline"
)

// process is a running `egrethaven serve`.
type process struct {
	vm                     vm.VM
	caller, operator, peer string
	cmd                    *exec.Cmd
	log                    lockedBuffer
	exited                 chan struct{}
	err                    error
}

// lockedBuffer collects what a process writes.
type lockedBuffer struct {
	mu sync.Mutex
	b  bytes.Buffer
}

func (b *lockedBuffer) Write(p []byte) (int, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.b.Write(p)
}

func (b *lockedBuffer) String() string {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.b.String()
}

// settings are the settings of a node.
const settings = `[node]
id = %s
failure_domain = %s
[listen]
caller = %s
operator = %s
peer = %s
[platform]
addr = %s
timeout = 500ms
[limits]
balancer_lag = 200ms
drain_limit = 20s
[observe]
log_level = warn
`

func (w *world) node(c *call, name string) *process {
	n := w.nodes[name]
	if n == nil {
		c.Fatalf("no node %q", name)
	}
	return n
}

func (w *world) cmdNode(c *call) {
	name, domain := c.arg(0), failuredomain.Domain(c.arg(1))
	n := &process{caller: freeAddr(c), operator: freeAddr(c), peer: freeAddr(c), exited: make(chan struct{})}
	n.vm = vm.VM{ID: name, Role: vm.Entry, Domain: domain, Addr: n.peer, State: vm.Live}
	file := w.file(name + ".ini")
	text := fmt.Sprintf(settings, name, domain, n.caller, n.operator, n.peer, w.view(c, domain).platform.Addr())
	c.Check(os.WriteFile(file, []byte(text), 0o600))
	path, err := exec.LookPath("egrethaven")
	c.Check(err)
	n.cmd = exec.Command(path, "serve", "-c", file)
	n.cmd.Stdout, n.cmd.Stderr = &n.log, &n.log
	c.Check(n.cmd.Start())
	go func() {
		n.err = n.cmd.Wait()
		close(n.exited)
	}()
	w.nodes[name] = n
	w.list(c)
	c.until(func() string {
		select {
		case <-n.exited:
			c.Fatalf("node %s ended: %v\n%s", name, n.err, n.log.String())
		default:
		}
		r, err := w.client.Get("http://" + n.caller + "/live")
		if err != nil {
			return err.Error()
		}
		_ = r.Body.Close()
		return ""
	})
}

func (w *world) cmdReady(c *call) {
	n := w.node(c, c.arg(0))
	c.until(func() string {
		r, err := w.client.Get("http://" + n.caller + "/ready")
		if err != nil {
			return err.Error()
		}
		_ = r.Body.Close()
		if (r.StatusCode == http.StatusOK) == c.neg {
			return fmt.Sprintf("/ready says %d", r.StatusCode)
		}
		return ""
	})
}

// cmdCLI runs a command of the program against a node. With poll it is
// repeated until its exit code and its output are as wanted.
func (w *world) cmdCLI(c *call) {
	n := w.node(c, c.arg(0))
	var args []string
	for _, a := range c.args[1:] {
		if a != "poll" && !strings.HasPrefix(a, "out=") {
			args = append(args, a)
		}
	}
	args = append(args, "--addr", n.operator)
	try := func() string {
		cmd := exec.Command("egrethaven", args...)
		cmd.Dir = w.dir
		b, err := cmd.CombinedOutput()
		if (err != nil) != c.neg {
			return fmt.Sprintf("%v: %v\n%s", args, err, b)
		}
		if want := c.value("out", ""); !strings.Contains(string(b), want) {
			return fmt.Sprintf("%v: no %q in\n%s", args, want, b)
		}
		return ""
	}
	if c.has("poll") {
		c.until(try)
		return
	}
	if why := try(); why != "" {
		c.Fatalf("%s", why)
	}
}

// cmdStop sends SIGTERM and wants the process to end without an error.
func (w *world) cmdStop(c *call) {
	n := w.node(c, c.arg(0))
	c.Check(n.cmd.Process.Signal(syscall.SIGTERM))
	<-n.exited
	if n.err != nil {
		c.Fatalf("node %s: %v\n%s", c.arg(0), n.err, n.log.String())
	}
	w.forget(c)
}

func (w *world) cmdKill(c *call) {
	w.node(c, c.arg(0)).kill()
	w.forget(c)
}

// forget takes a node that has ended from the list.
func (w *world) forget(c *call) {
	delete(w.nodes, c.arg(0))
	w.list(c)
}

func (w *world) cmdPause(c *call) { c.Check(w.node(c, c.arg(0)).cmd.Process.Signal(syscall.SIGSTOP)) }

func (w *world) cmdResume(c *call) { c.Check(w.node(c, c.arg(0)).cmd.Process.Signal(syscall.SIGCONT)) }

func (n *process) kill() {
	_ = n.cmd.Process.Kill()
	<-n.exited
}

// cmdEvent waits for an event of a node.
func (w *world) cmdEvent(c *call) {
	n := w.node(c, c.arg(0))
	c.until(func() string {
		r, err := w.client.Get("http://" + n.operator + "/admin/v1/timeline?limit=4000")
		if err != nil {
			return err.Error()
		}
		defer r.Body.Close()
		var l timeline.Timeline
		if err := json.NewDecoder(r.Body).Decode(&l); err != nil {
			return err.Error()
		}
		for _, e := range l.Events {
			if e.Name == c.arg(1) && (len(c.args) < 3 || strings.Contains(e.Subject, c.arg(2))) {
				return ""
			}
		}
		return fmt.Sprintf("no event %v among %d", c.args[1:], len(l.Events))
	})
}
