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

// process is one process of the system that may be ended and started again.
type process struct {
	name string
	args []string
	log  string
	cmd  *exec.Cmd
	// exited is closed when the process has ended.
	exited chan struct{}
	paused bool
	// asked is set before the process is told to end.
	asked   bool
	started time.Time
	// cutAt is when the process was last told to end, or started again, in Unix
	// nanoseconds: what it held may have been lost since then.
	cutAt atomic.Int64
}

func (p *process) start() error {
	out, err := os.OpenFile(p.log, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o644)
	if err != nil {
		return err
	}
	p.asked, p.started = false, time.Now()
	p.cut()
	p.cmd = exec.Command(p.args[0], p.args[1:]...)
	p.cmd.Stdout, p.cmd.Stderr = out, out
	// A group of its own: a group that is orphaned while a member is paused gets
	// SIGHUP from the kernel, which would end the soak.
	p.cmd.SysProcAttr = &syscall.SysProcAttr{Setpgid: true}
	if err := p.cmd.Start(); err != nil {
		return errors.Wrapf(err, "start %s", p.name)
	}
	exited := make(chan struct{})
	p.exited = exited
	go func(cmd *exec.Cmd) {
		// How it ended was asked for; what it said stands in its log.
		_ = cmd.Wait()
		_ = out.Close()
		close(exited)
	}(p.cmd)
	return nil
}

// cut notes that what the process holds may be lost.
func (p *process) cut() { p.cutAt.Store(time.Now().UnixNano()) }

// cutSince tells whether what the process held at a time may be lost.
func (p *process) cutSince(t time.Time) bool { return p.cutAt.Load() >= t.UnixNano() }

func (p *process) running() bool {
	select {
	case <-p.exited:
		return false
	default:
		return true
	}
}

// free tells whether nothing happens to the process at the moment: one that is
// ending must not be paused, for whoever waits for its end would wait for ever.
func (p *process) free() bool { return p.running() && !p.paused && !p.asked }

// signal sends a signal; a process that is gone by now needs none.
func (p *process) signal(s syscall.Signal) { _ = p.cmd.Process.Signal(s) }

// kill ends the process and waits for its end.
func (p *process) kill() {
	p.asked = true
	p.cut()
	p.signal(syscall.SIGKILL)
	<-p.exited
	p.paused = false
}

// node is a process with its address.
type node struct {
	process
	addr netip.Addr
	zone string
	// way is the node's way to the store.
	way *standin.Proxy
}

// connect makes a node's own way to the store.
func (n *node) connect(store string) (err error) {
	n.way, err = standin.NewProxy(store)
	return err
}

// prepare writes a node's settings and starts it; args come before them.
func (n *node) prepare(cfg Config, binary, name string, settings map[string]any, args ...string) error {
	path := filepath.Join(cfg.Dir, name+".json")
	data, err := json.Marshal(settings)
	if err != nil {
		return err
	}
	if err := os.WriteFile(path, data, 0o644); err != nil {
		return err
	}
	n.name, n.log = name, filepath.Join(cfg.Dir, name+".log")
	n.args = append(append([]string{filepath.Join(cfg.Bin, binary)}, args...), "--settings", path)
	return n.start()
}

// at returns an address in the form of the settings.
func at(a netip.Addr, port int) string { return netip.AddrPortFrom(a, uint16(port)).String() }
