package e2e

import (
	"bufio"
	"context"
	"crypto/x509"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"slices"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/poppywall/poppywall/load"
	"github.com/poppywall/poppywall/standin"
)

const (
	secretHex = "706f70707977616c6c2d652d322d652d7465737400000000"
	// timeout bounds each wait, generously: results must not depend on the machine's speed.
	timeout      = 60 * time.Second
	pollInterval = 50 * time.Millisecond
)

// site is a set of running processes: balancers, agents, targets and the stand-in platform.
type site struct {
	t                *testing.T
	bin, dir         string
	platformURL      string
	serviceAddress   string
	balancers        []*process
	agents           []*process
	targets          []*process
	controlAddresses []string
	metrics          []string
	roots            *x509.CertPool
	ctlSettings      string
}

// process is one process of a site.
type process struct {
	cmd    *exec.Cmd
	exited chan struct{}
}

func (p *process) signal(t *testing.T, s syscall.Signal) {
	t.Helper()
	require.NoError(t, p.cmd.Process.Signal(s))
}

func buildBinaries(t *testing.T) string {
	t.Helper()
	dir := t.TempDir()
	for _, name := range []string{"poppywall-balancer", "poppywall-agent", "poppywall-standin", "poppywallctl"} {
		out, err := exec.Command("go", "build", "-o", filepath.Join(dir, name), "../binaries/"+name).CombinedOutput()
		require.NoError(t, err, string(out))
	}
	return dir
}

// freeAddresses returns distinct loopback addresses whose ports were free when checked.
func freeAddresses(t *testing.T, n int) []string {
	t.Helper()
	var out []string
	for len(out) < n {
		a, err := standin.FreeAddress()
		require.NoError(t, err)
		if !slices.Contains(out, a.String()) {
			out = append(out, a.String())
		}
	}
	return out
}

func startSite(t *testing.T, balancers, hosts int) *site {
	s := &site{t: t, bin: buildBinaries(t), dir: t.TempDir()}
	ca, err := standin.NewAuthority()
	require.NoError(t, err)
	s.roots = ca.Pool()
	cert, key, err := ca.WriteKeyPair(s.dir, "tables.example")
	require.NoError(t, err)

	ports := freeAddresses(t, 2+2*balancers+3*hosts)
	next := func() string { p := ports[0]; ports = ports[1:]; return p }
	s.serviceAddress = next()
	platform := next()
	s.platformURL = "http://" + platform
	s.start("poppywall-standin", "platform", "--listen", platform)
	s.waitFor("platform", func() bool {
		resp, err := http.Post(s.platformURL+"/v3/kv/range", "application/json", strings.NewReader(`{"key":"eA=="}`))
		return err == nil && resp.Body.Close() == nil
	})
	secrets := []map[string]any{{"number": 1, "hex": secretHex}}
	for i := range balancers {
		s.controlAddresses = append(s.controlAddresses, next())
		s.metrics = append(s.metrics, next())
		path := s.write(fmt.Sprintf("balancer-%d.json", i), map[string]any{
			"name": fmt.Sprintf("balancer-%d", i), "zone": []string{"a", "b"}[i%2],
			"data": "127.0.0.1:0", "control": s.controlAddresses[i], "metrics": s.metrics[i],
			"platform": s.platformURL, "seeds": s.controlAddresses[:i], "secrets": secrets,
			"sprayMembers": balancers, "gossipEvery": "200ms", "pullEvery": "200ms", "leaveDelay": "500ms",
		})
		s.balancers = append(s.balancers, s.start("poppywall-balancer", "--settings", path))
	}
	s.ctlSettings = s.write("ctl.json", map[string]any{"platform": s.platformURL, "balancers": s.controlAddresses, "secrets": secrets})
	s.apply(0, `{"items":[{"service":{"name":"tables","address":"`+s.serviceAddress+`","selector":{"service":"tables"}}}]}`)
	for i := range hosts {
		data, announce, metrics := next(), next(), next()
		path := s.write(fmt.Sprintf("agent-%d.json", i), map[string]any{
			"host": fmt.Sprintf("host-%d", i), "zone": []string{"a", "b"}[i%2],
			"data": data, "announce": announce, "metrics": metrics, "balancers": s.controlAddresses, "secrets": secrets,
			"certificates": []map[string]any{{"cert": cert, "key": key}}, "heartbeat": "200ms", "drainLimit": "30s",
		})
		s.agents = append(s.agents, s.start("poppywall-agent", "--settings", path))
		s.targets = append(s.targets, s.start("poppywall-standin", "target", "--name", fmt.Sprintf("target-%d", i),
			"--agent", "http://"+announce, "--service", "tables", "--slots", "5"))
	}
	for i := range s.controlAddresses {
		one := s.write("ctl-one.json", map[string]any{"platform": s.platformURL, "balancers": s.controlAddresses[i : i+1], "secrets": secrets})
		s.waitFor("all slots at every balancer", func() bool {
			return strings.Contains(s.statusOf(one), fmt.Sprintf("%d      %d", hosts, 5*hosts))
		})
	}
	return s
}

func (s *site) start(name string, args ...string) *process {
	s.t.Helper()
	cmd := exec.Command(filepath.Join(s.bin, name), args...)
	logPath := filepath.Join(s.dir, fmt.Sprintf("%s-%d.log", name, time.Now().UnixNano()))
	out, err := os.Create(logPath)
	require.NoError(s.t, err)
	cmd.Stdout, cmd.Stderr = out, out
	require.NoError(s.t, cmd.Start())
	p := &process{cmd: cmd, exited: make(chan struct{})}
	go func() { _ = cmd.Wait(); close(p.exited) }()
	s.t.Cleanup(func() {
		_ = cmd.Process.Kill()
		<-p.exited
		_ = out.Close()
		if s.t.Failed() {
			data, _ := os.ReadFile(logPath)
			s.t.Logf("%s %v:\n%s", name, args, data[max(0, len(data)-2000):])
		}
	})
	return p
}

func (s *site) write(name string, v any) string {
	s.t.Helper()
	data, err := json.Marshal(v)
	require.NoError(s.t, err)
	path := filepath.Join(s.dir, name)
	require.NoError(s.t, os.WriteFile(path, data, 0o600))
	return path
}

// run runs poppywallctl and returns its output and exit code.
func (s *site) run(args ...string) (string, int) {
	s.t.Helper()
	cmd := exec.Command(filepath.Join(s.bin, "poppywallctl"), append([]string{"--settings", s.ctlSettings}, args...)...)
	out, err := cmd.CombinedOutput()
	if err != nil {
		require.IsType(s.t, &exec.ExitError{}, err)
	}
	return string(out), cmd.ProcessState.ExitCode()
}

func (s *site) apply(want int, doc string) string {
	s.t.Helper()
	path := filepath.Join(s.dir, fmt.Sprintf("change-%d.json", time.Now().UnixNano()))
	require.NoError(s.t, os.WriteFile(path, []byte(doc), 0o600))
	out, code := s.run("apply", path, "--wait", timeout.String())
	require.Equal(s.t, want, code, out)
	return out
}

func (s *site) status() string { return s.statusOf(s.ctlSettings) }

func (s *site) statusOf(settings string) string {
	out, _ := exec.Command(filepath.Join(s.bin, "poppywallctl"), "--settings", settings, "status").CombinedOutput()
	return string(out)
}

func (s *site) waitFor(what string, ok func() bool) {
	s.t.Helper()
	for deadline := time.Now().Add(timeout); time.Now().Before(deadline); time.Sleep(pollInterval) {
		if ok() {
			return
		}
	}
	s.t.Fatalf("%s: not within %v", what, timeout)
}

func (s *site) caller() *load.Caller {
	s.t.Helper()
	c, err := load.NewCaller(s.serviceAddress, "tables.example", s.roots)
	require.NoError(s.t, err)
	s.t.Cleanup(c.Close)
	return c
}

// do sends a request, requires status 200 and returns the response body.
func (s *site) do(c *load.Caller, method, path, body string) string {
	s.t.Helper()
	ctx, cancel := context.WithTimeout(s.t.Context(), timeout)
	defer cancel()
	resp, err := c.Do(ctx, method, path, strings.NewReader(body), nil)
	require.NoError(s.t, err)
	defer func() { _ = resp.Body.Close() }()
	data, err := io.ReadAll(resp.Body)
	require.NoError(s.t, err)
	require.Equal(s.t, http.StatusOK, resp.StatusCode, string(data))
	return string(data)
}

// stream is an open board stream whose events are checked in order.
type stream struct {
	lines *bufio.Scanner
	next  int
}

func (s *site) openStream() *stream {
	s.t.Helper()
	// A new caller for each stream, so that each has its own flow.
	resp, err := s.caller().Do(s.t.Context(), http.MethodGet, "/board?intervalMillis=20", nil, http.Header{"Accept": {"text/event-stream"}})
	require.NoError(s.t, err)
	s.t.Cleanup(func() { _ = resp.Body.Close() })
	require.Equal(s.t, http.StatusOK, resp.StatusCode)
	return &stream{lines: bufio.NewScanner(resp.Body)}
}

// readEvents reads n more events; a gap, a duplicate or the end of the stream fails the test.
func (s *site) readEvents(st *stream, n int) {
	s.t.Helper()
	for want := st.next + n; st.next < want; {
		require.True(s.t, st.lines.Scan(), "stream ended after %d events: %v", st.next, st.lines.Err())
		if id, ok := strings.CutPrefix(st.lines.Text(), "id: "); ok {
			require.Equal(s.t, fmt.Sprint(st.next), id)
			st.next++
		}
	}
}
