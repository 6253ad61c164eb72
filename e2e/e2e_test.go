package e2e

import (
	"fmt"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// TestSeparateProcesses serves GET, POST and long streams through several balancers while
// processes are killed, frozen and stopped.
func TestSeparateProcesses(t *testing.T) {
	s := startSite(t, 3, 2)
	c := s.caller()
	require.Len(t, s.do(c, http.MethodGet, "/catalogue?size=5000", ""), 5000)
	require.Equal(t, "e2e4", s.do(c, http.MethodPost, "/move", "e2e4"))
	var streams []*stream
	for range 6 {
		streams = append(streams, s.openStream())
	}
	followAll := func(n int) {
		t.Helper()
		for _, st := range streams {
			s.readEvents(st, n)
		}
	}
	followAll(10)

	t.Run("a balancer is killed", func(t *testing.T) {
		s.balancers[2].signal(t, syscall.SIGKILL)
		<-s.balancers[2].exited
		followAll(100)
		require.Equal(t, "d7d5", s.do(s.caller(), http.MethodPost, "/move", "d7d5"))
	})
	t.Run("a balancer freezes and comes back", func(t *testing.T) {
		s.balancers[1].signal(t, syscall.SIGSTOP)
		followAll(50)
		s.balancers[1].signal(t, syscall.SIGCONT)
		followAll(50)
	})
	t.Run("an agent freezes and comes back", func(t *testing.T) {
		s.agents[0].signal(t, syscall.SIGSTOP)
		time.Sleep(2 * time.Second)
		s.agents[0].signal(t, syscall.SIGCONT)
		followAll(50)
	})
	t.Run("the platform is down", func(t *testing.T) {
		setFaults(t, s, `{"down":true}`)
		followAll(20)
		require.Equal(t, "g1f3", s.do(s.caller(), http.MethodPost, "/move", "g1f3"))
		_, code := s.run("drain", "host-1")
		require.Equal(t, 3, code, "the change is rejected because nothing was written")
		setFaults(t, s, `{}`)
	})
	t.Run("the platform is slow", func(t *testing.T) {
		setFaults(t, s, `{"delayMillis":700}`)
		out, code := s.run("label", "host-1", "--set", "tried=slow", "--wait", timeout.String())
		require.Zero(t, code, out)
		followAll(20)
		setFaults(t, s, `{}`)
	})
	t.Run("a host drains", func(t *testing.T) {
		out, code := s.run("drain", "host-0", "--wait", timeout.String())
		require.Zero(t, code, out)
		s.waitFor("draining", func() bool { return strings.Contains(s.status(), "draining") })
		followAll(50)
		require.Equal(t, "b8c6", s.do(s.caller(), http.MethodPost, "/move", "b8c6"))
		out, code = s.run("undrain", "host-0", "--wait", timeout.String())
		require.Zero(t, code, out)
	})
	t.Run("a balancer stops gracefully", func(t *testing.T) {
		s.balancers[0].signal(t, syscall.SIGTERM)
		<-s.balancers[0].exited
		require.True(t, s.balancers[0].cmd.ProcessState.Success())
		followAll(100)
	})
}

// TestConnectionThatPausesBeforeItsFirstRequestIsServed guards the QUIC front against a handshake
// timeout that ends a connection without requests.
func TestConnectionThatPausesBeforeItsFirstRequestIsServed(t *testing.T) {
	s := startSite(t, 2, 2)
	c := s.caller()
	require.NoError(t, c.Connect(t.Context()))
	time.Sleep(7 * time.Second)
	require.Equal(t, "e2e4", s.do(c, http.MethodPost, "/move", "e2e4"))
}

// TestAgentStopsGracefully: on SIGTERM an agent takes no new work and exits only after its
// open work has ended.
func TestAgentStopsGracefully(t *testing.T) {
	s := startSite(t, 2, 2)
	var streams []*stream
	for range 12 {
		streams = append(streams, s.openStream())
	}
	s.agents[0].signal(t, syscall.SIGTERM)
	for _, st := range streams {
		s.readEvents(st, 100)
	}
	for range 5 {
		require.Equal(t, "e7e5", s.do(s.caller(), http.MethodPost, "/move", "e7e5"))
	}
	select {
	case <-s.agents[0].exited:
		t.Fatal("the agent exited while its streams were open")
	default:
	}
}

func setFaults(t *testing.T, s *site, doc string) {
	t.Helper()
	resp, err := http.Post(s.platformURL+"/standin/faults", "application/json", strings.NewReader(doc))
	require.NoError(t, err)
	require.NoError(t, resp.Body.Close())
}

// TestBadSettingsAreNamed: invalid settings yield an error that names the field, and exit
// code 2.
func TestBadSettingsAreNamed(t *testing.T) {
	bin, dir := buildBinaries(t), t.TempDir()
	validFields := map[string]string{
		"poppywall-balancer": `"name":"b","zone":"a","data":"127.0.0.1:0","control":"127.0.0.1:0","metrics":"127.0.0.1:0","platform":"http://127.0.0.1:1","secrets":[{"number":1,"hex":"` + secretHex + `"}]`,
		"poppywall-agent":    `"host":"h","zone":"a","data":"127.0.0.1:0","announce":"127.0.0.1:0","metrics":"127.0.0.1:0","balancers":["127.0.0.1:1"],"certificates":[{"cert":"c","key":"k"}],"secrets":[{"number":1,"hex":"` + secretHex + `"}]`,
		"poppywallctl":       `"platform":"http://127.0.0.1:1","balancers":["127.0.0.1:1"],"secrets":[{"number":1,"hex":"` + secretHex + `"}]`,
	}
	check := func(name, doc string) (string, int) {
		path := filepath.Join(dir, "settings.json")
		require.NoError(t, os.WriteFile(path, []byte(doc), 0o600))
		cmd := exec.Command(filepath.Join(bin, name), "--settings", path, "--check")
		out, _ := cmd.CombinedOutput()
		return string(out), cmd.ProcessState.ExitCode()
	}
	for name, fields := range validFields {
		out, code := check(name, "{"+fields+"}")
		require.Zero(t, code, "%s: %s", name, out)
		out, code = check(name, "{"+fields+`,"surprise":1}`)
		require.Equal(t, 2, code, name)
		require.Contains(t, out, "surprise")
		out, code = check(name, "{"+strings.Replace(fields, "hex", "number", 1)+"}")
		require.Equal(t, 2, code, name)
		require.Contains(t, out, "secrets", name)
		out, err := outputOf(bin, name, "--version")
		require.NoError(t, err)
		require.Contains(t, out, "dev")
	}
}

func outputOf(bin, name string, args ...string) (string, error) {
	out, err := exec.Command(filepath.Join(bin, name), args...).CombinedOutput()
	return fmt.Sprint(string(out)), err
}
