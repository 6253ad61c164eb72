package measure

import (
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"os"
	"os/exec"
	"path/filepath"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/go-faster/errors"

	"github.com/poppywall/poppywall/flow"
	"github.com/poppywall/poppywall/platform/platformtest"
	"github.com/poppywall/poppywall/standin"
)

const (
	startupRounds = 15
	// startupRoutes is the number of routes in the configuration.
	startupRoutes  = 250
	startupTimeout = 5 * time.Second
)

// startTimes are the wall time and the CPU time that a balancer needed until its
// configuration was in force.
type startTimes struct{ wall, cpu time.Duration }

// PrintStartup measures the start of a packet front's balancer from exec until its
// configuration is in force. Readiness does not show that here: without targets a
// balancer that has its configuration waits for them before it reports ready.
func PrintStartup(w io.Writer, binary string) error {
	store := standin.NewStore(time.Now)
	server := httptest.NewServer(platformtest.NewStoreHandler(store))
	defer server.Close()
	config := &flow.Config{Version: 1, IdleTimeout: time.Minute, Routes: map[flow.Front]*flow.Route{}}
	for i := range flow.IPv4(startupRoutes) {
		config.Routes[flow.Front{IP: 0xc6120001 + i, Port: 443}] = &flow.Route{
			Name: fmt.Sprintf("route-%d", i), Services: []flow.WeightedService{{Name: "bench"}},
		}
	}
	if err := platformtest.PutConfig(store, config); err != nil {
		return err
	}
	var starts []startTimes
	for range startupRounds {
		s, err := measureStart(binary, server.Listener.Addr().String())
		if err != nil {
			return err
		}
		starts = append(starts, s)
	}
	slices.SortFunc(starts, func(a, b startTimes) int { return int(a.cpu - b.cpu) })
	median := starts[len(starts)/2]
	_, err := fmt.Fprintf(w, "balancer with %d routes, median of %d starts: configuration in force after %.1f ms, of processor time %.1f ms (%.1f to %.1f)\n",
		startupRoutes, startupRounds, median.wall.Seconds()*1e3, median.cpu.Seconds()*1e3, starts[0].cpu.Seconds()*1e3, starts[len(starts)-1].cpu.Seconds()*1e3)
	return err
}

func measureStart(binary, store string) (startTimes, error) {
	dir, err := os.MkdirTemp("", "poppywall-startup")
	if err != nil {
		return startTimes{}, err
	}
	defer func() { _ = os.RemoveAll(dir) }()
	path := filepath.Join(dir, "settings.json")
	settings, err := json.Marshal(map[string]any{
		"name": "b", "zone": "z1", "store": store, "data": addrPort(packetBalancer, packetData).String(),
		"internal": addrPort(packetBalancer, packetInternal).String(), "ready": addrPort(packetBalancer, packetReady).String(),
		"metrics": addrPort(packetBalancer, packetMetrics).String(), "log": map[string]any{"level": "info"},
	})
	if err != nil {
		return startTimes{}, err
	}
	if err := os.WriteFile(path, settings, 0o600); err != nil {
		return startTimes{}, err
	}
	cmd := exec.Command(binary, "packets", "--settings", path)
	startedAt := time.Now()
	if err := cmd.Start(); err != nil {
		return startTimes{}, err
	}
	defer func() {
		_ = cmd.Process.Kill()
		_ = cmd.Wait()
	}()
	if err := waitForConfig(startedAt); err != nil {
		return startTimes{}, err
	}
	s := startTimes{wall: time.Since(startedAt)}
	s.cpu, err = processorTime(cmd.Process.Pid)
	return s, err
}

// waitForConfig waits until the balancer serves its configuration on the internal
// address.
func waitForConfig(startedAt time.Time) error {
	client := http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	for time.Since(startedAt) < startupTimeout {
		resp, err := client.Get("http://" + addrPort(packetBalancer, packetInternal).String() + "/config")
		if err == nil {
			_ = resp.Body.Close()
			if resp.StatusCode == http.StatusOK {
				return nil
			}
		}
		time.Sleep(time.Millisecond)
	}
	return errors.New("balancer did not serve its configuration before the timeout")
}

// processorTime returns the CPU time of all threads of a process.
func processorTime(pid int) (time.Duration, error) {
	tasks, err := filepath.Glob(fmt.Sprintf("/proc/%d/task/*/schedstat", pid))
	if err != nil {
		return 0, err
	}
	sum := time.Duration(0)
	for _, task := range tasks {
		data, err := os.ReadFile(task)
		if err != nil {
			return 0, err
		}
		ns, err := strconv.ParseInt(strings.Fields(string(data))[0], 10, 64)
		if err != nil {
			return 0, err
		}
		sum += time.Duration(ns)
	}
	return sum, nil
}
