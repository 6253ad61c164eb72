package soak

import (
	"encoding/json"
	"net/netip"
	"os"
	"os/exec"
	"path/filepath"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/go-faster/errors"

	"github.com/poppywall/poppywall/standin"
)

// process is a balancer or agent process that can be stopped and restarted.
type process struct {
	name string
	args []string
	log  string
	cmd  *exec.Cmd
	// exited is closed when the process has ended.
	exited chan struct{}
	paused bool
	// stopRequested is set before the process is sent a signal that ends it.
	stopRequested bool
	startedAt     time.Time
	// interruptedAt is when the process was last stopped or started, in Unix
	// nanoseconds. State that it held before may be lost.
	interruptedAt atomic.Int64
}

func (p *process) start() error {
	out, err := os.OpenFile(p.log, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o644)
	if err != nil {
		return err
	}
	p.stopRequested, p.startedAt = false, time.Now()
	p.markInterrupted()
	p.cmd = exec.Command(p.args[0], p.args[1:]...)
	p.cmd.Stdout, p.cmd.Stderr = out, out
	// The process gets its own process group, because the kernel sends SIGHUP to a
	// group that is orphaned while a member is stopped, which would end the soak.
	p.cmd.SysProcAttr = &syscall.SysProcAttr{Setpgid: true}
	if err := p.cmd.Start(); err != nil {
		return errors.Wrapf(err, "start %s", p.name)
	}
	exited := make(chan struct{})
	p.exited = exited
	go func(cmd *exec.Cmd) {
		// The exit status is not needed: checkProcesses detects an unexpected exit,
		// and the output is in the log.
		_ = cmd.Wait()
		_ = out.Close()
		close(exited)
	}(p.cmd)
	return nil
}

// markInterrupted records that the process may lose its state now.
func (p *process) markInterrupted() { p.interruptedAt.Store(time.Now().UnixNano()) }

// interruptedSince reports whether state that the process held at t may be lost.
func (p *process) interruptedSince(t time.Time) bool { return p.interruptedAt.Load() >= t.UnixNano() }

func (p *process) running() bool {
	select {
	case <-p.exited:
		return false
	default:
		return true
	}
}

// acceptsFault reports whether the process is running, not paused and not stopping. A
// process that is stopping must not be paused, or waiting for its exit would block
// forever.
func (p *process) acceptsFault() bool { return p.running() && !p.paused && !p.stopRequested }

// signal sends a signal. An error is ignored: the process may have exited.
func (p *process) signal(s syscall.Signal) { _ = p.cmd.Process.Signal(s) }

// kill kills the process and waits for its exit.
func (p *process) kill() {
	p.stopRequested = true
	p.markInterrupted()
	p.signal(syscall.SIGKILL)
	<-p.exited
	p.paused = false
}

// node is a process with its address.
type node struct {
	process
	addr netip.Addr
	zone string
	// settings is the path of the settings file.
	settings string
	// storeProxy carries the node's connections to the store. It is nil if the node
	// makes none.
	storeProxy *standin.Proxy
}

// startStoreProxy starts the node's own proxy to the store.
func (n *node) startStoreProxy(store string) (err error) {
	n.storeProxy, err = standin.NewProxy(store)
	return err
}

// startWithSettings writes a node's settings file and starts the node. args precede
// the settings flag on its command line.
func (n *node) startWithSettings(cfg Config, binary, name string, settings map[string]any, args ...string) error {
	n.settings = filepath.Join(cfg.Dir, name+".json")
	if err := n.writeSettings(settings); err != nil {
		return err
	}
	n.name, n.log = name, filepath.Join(cfg.Dir, name+".log")
	n.args = append(append([]string{filepath.Join(cfg.Bin, binary)}, args...), "--settings", n.settings)
	return n.start()
}

// writeSettings replaces a node's settings file.
func (n *node) writeSettings(settings map[string]any) error {
	data, err := json.Marshal(settings)
	if err != nil {
		return err
	}
	next := n.settings + ".new"
	if err := os.WriteFile(next, data, 0o644); err != nil {
		return err
	}
	return os.Rename(next, n.settings)
}

// hostPort returns an address in the format of the settings.
func hostPort(a netip.Addr, port int) string { return netip.AddrPortFrom(a, uint16(port)).String() }
