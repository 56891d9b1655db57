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

// process is a node: a process that runs `egrethaven serve`.
type process struct {
	vm                                 vm.VM
	callerAddr, operatorAddr, peerAddr string
	cmd                                *exec.Cmd
	log                                lockedBuffer
	exited                             chan struct{}
	exitErr                            error
}

// lockedBuffer collects the output of a process.
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

// settingsTemplate is the settings file of a node.
const settingsTemplate = `[node]
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

func (e *testEnv) node(c *scriptCmd, name string) *process {
	n := e.nodes[name]
	if n == nil {
		c.Fatalf("no node %q", name)
	}
	return n
}

func (e *testEnv) cmdNode(c *scriptCmd) {
	name, domain := c.arg(0), failuredomain.Domain(c.arg(1))
	n := &process{callerAddr: freeAddr(c), operatorAddr: freeAddr(c), peerAddr: freeAddr(c), exited: make(chan struct{})}
	n.vm = vm.VM{ID: name, Role: vm.Entry, Domain: domain, Addr: n.peerAddr, State: vm.Live}
	file := e.file(name + ".ini")
	text := fmt.Sprintf(settingsTemplate, name, domain, n.callerAddr, n.operatorAddr, n.peerAddr, e.view(c, domain).platform.Addr())
	c.Check(os.WriteFile(file, []byte(text), 0o600))
	path, err := exec.LookPath("egrethaven")
	c.Check(err)
	n.cmd = exec.Command(path, "serve", "-c", file)
	n.cmd.Stdout, n.cmd.Stderr = &n.log, &n.log
	c.Check(n.cmd.Start())
	go func() {
		n.exitErr = n.cmd.Wait()
		close(n.exited)
	}()
	e.nodes[name] = n
	e.updateVMList(c)
	c.waitFor(func() string {
		select {
		case <-n.exited:
			c.Fatalf("node %s exited before it listened: %v\n%s", name, n.exitErr, n.log.String())
		default:
		}
		r, err := e.client.Get("http://" + n.callerAddr + "/live")
		if err != nil {
			return err.Error()
		}
		_ = r.Body.Close()
		return ""
	})
}

func (e *testEnv) cmdReady(c *scriptCmd) {
	n := e.node(c, c.arg(0))
	c.waitFor(func() string {
		r, err := e.client.Get("http://" + n.callerAddr + "/ready")
		if err != nil {
			return err.Error()
		}
		_ = r.Body.Close()
		if (r.StatusCode == http.StatusOK) == c.neg {
			return fmt.Sprintf("GET /ready returned status %d", r.StatusCode)
		}
		return ""
	})
}

// cmdCLI runs a command of the program against a node. With poll it is repeated
// until the exit code and the output are as expected.
func (e *testEnv) cmdCLI(c *scriptCmd) {
	n := e.node(c, c.arg(0))
	var args []string
	for _, a := range c.args[1:] {
		if a != "poll" && !strings.HasPrefix(a, "out=") {
			args = append(args, a)
		}
	}
	args = append(args, "--addr", n.operatorAddr)
	attempt := func() string {
		cmd := exec.Command("egrethaven", args...)
		cmd.Dir = e.dir
		b, err := cmd.CombinedOutput()
		if (err != nil) != c.neg {
			return fmt.Sprintf("%v: %v\n%s", args, err, b)
		}
		if want := c.value("out", ""); !strings.Contains(string(b), want) {
			return fmt.Sprintf("%v: no %q in the output\n%s", args, want, b)
		}
		return ""
	}
	if c.has("poll") {
		c.waitFor(attempt)
		return
	}
	if reason := attempt(); reason != "" {
		c.Fatalf("%s", reason)
	}
}

// cmdStop sends SIGTERM to a node and checks that it exits with code 0.
func (e *testEnv) cmdStop(c *scriptCmd) {
	n := e.node(c, c.arg(0))
	c.Check(n.cmd.Process.Signal(syscall.SIGTERM))
	<-n.exited
	if n.exitErr != nil {
		c.Fatalf("node %s exited after SIGTERM with %v\n%s", c.arg(0), n.exitErr, n.log.String())
	}
	e.removeNode(c)
}

func (e *testEnv) cmdKill(c *scriptCmd) {
	e.node(c, c.arg(0)).kill()
	e.removeNode(c)
}

// removeNode removes a node that has exited from the platform's VM list.
func (e *testEnv) removeNode(c *scriptCmd) {
	delete(e.nodes, c.arg(0))
	e.updateVMList(c)
}

func (e *testEnv) cmdPause(c *scriptCmd) {
	c.Check(e.node(c, c.arg(0)).cmd.Process.Signal(syscall.SIGSTOP))
}

func (e *testEnv) cmdResume(c *scriptCmd) {
	c.Check(e.node(c, c.arg(0)).cmd.Process.Signal(syscall.SIGCONT))
}

func (n *process) kill() {
	_ = n.cmd.Process.Kill()
	<-n.exited
}

// cmdEvent waits for an event in the timeline of a node.
func (e *testEnv) cmdEvent(c *scriptCmd) {
	n := e.node(c, c.arg(0))
	c.waitFor(func() string {
		r, err := e.client.Get("http://" + n.operatorAddr + "/admin/v1/timeline?limit=4000")
		if err != nil {
			return err.Error()
		}
		defer r.Body.Close()
		var l timeline.Timeline
		if err := json.NewDecoder(r.Body).Decode(&l); err != nil {
			return err.Error()
		}
		for _, ev := range l.Events {
			if ev.Name == c.arg(1) && (len(c.args) < 3 || strings.Contains(ev.Subject, c.arg(2))) {
				return ""
			}
		}
		return fmt.Sprintf("no event %v among %d events", c.args[1:], len(l.Events))
	})
}
