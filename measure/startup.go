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
	// startupRoutes is the size of the configuration.
	startupRoutes  = 250
	startupTimeout = 5 * time.Second
)

// start is what one start of a balancer took until it was ready.
type start struct{ wall, cpu time.Duration }

// PrintStartup measures a packet front's balancer from exec until it answers
// ready, which it does once a configuration is in force. Without targets it waits
// for them, so that "in force" is read from its log.
func PrintStartup(w io.Writer, binary string) error {
	store := standin.NewStore(time.Now)
	server := httptest.NewServer(platformtest.NewStoreHandler(store))
	defer server.Close()
	config := &flow.Config{Version: 1, IdleTimeout: time.Minute, Routes: map[flow.Front]*flow.Route{}}
	for i := range flow.IPv4(startupRoutes) {
		config.Routes[flow.Front{IP: 0xc6120001 + i, Port: 443}] = &flow.Route{
			Name: fmt.Sprintf("route-%d", i), Backends: []flow.Backend{{Name: "bench"}},
		}
	}
	if err := platformtest.PutConfig(store, config); err != nil {
		return err
	}
	var starts []start
	for range startupRounds {
		s, err := startOnce(binary, server.Listener.Addr().String())
		if err != nil {
			return err
		}
		starts = append(starts, s)
	}
	slices.SortFunc(starts, func(a, b start) int { return int(a.cpu - b.cpu) })
	middle := starts[len(starts)/2]
	_, err := fmt.Fprintf(w, "balancer with %d routes, median of %d starts: configuration in force after %.1f ms, of processor time %.1f ms (%.1f to %.1f)\n",
		startupRoutes, startupRounds, middle.wall.Seconds()*1e3, middle.cpu.Seconds()*1e3, starts[0].cpu.Seconds()*1e3, starts[len(starts)-1].cpu.Seconds()*1e3)
	return err
}

func startOnce(binary, store string) (start, error) {
	dir, err := os.MkdirTemp("", "poppywall-startup")
	if err != nil {
		return start{}, err
	}
	defer func() { _ = os.RemoveAll(dir) }()
	path := filepath.Join(dir, "settings.json")
	settings, err := json.Marshal(map[string]any{
		"name": "b", "zone": "z1", "store": store, "data": at(packetBalancer, packetData).String(),
		"internal": at(packetBalancer, packetInternal).String(), "ready": at(packetBalancer, packetReady).String(),
		"metrics": at(packetBalancer, packetMetrics).String(), "log": map[string]any{"level": "info"},
	})
	if err != nil {
		return start{}, err
	}
	if err := os.WriteFile(path, settings, 0o600); err != nil {
		return start{}, err
	}
	cmd := exec.Command(binary, "packets", "--settings", path)
	began := time.Now()
	if err := cmd.Start(); err != nil {
		return start{}, err
	}
	defer func() {
		_ = cmd.Process.Kill()
		_ = cmd.Wait()
	}()
	if err := untilConfig(began); err != nil {
		return start{}, err
	}
	s := start{wall: time.Since(began)}
	s.cpu, err = processorTime(cmd.Process.Pid)
	return s, err
}

// untilConfig waits until the balancer hands out its configuration.
func untilConfig(began time.Time) error {
	client := http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	for time.Since(began) < startupTimeout {
		resp, err := client.Get("http://" + at(packetBalancer, packetInternal).String() + "/config")
		if err == nil {
			_ = resp.Body.Close()
			if resp.StatusCode == http.StatusOK {
				return nil
			}
		}
		time.Sleep(time.Millisecond)
	}
	return errors.New("the balancer did not take its configuration")
}

// processorTime reads the nanoseconds that all threads of a process have run.
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
