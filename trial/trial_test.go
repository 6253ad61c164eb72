package trial

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"io"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/sourcegraph/conc/pool"
	"github.com/stretchr/testify/require"
	"go.uber.org/zap"

	"github.com/poppywall/poppywall/load"
	"github.com/poppywall/poppywall/standin"
)

const waitLimit = 60 * time.Second

func startCluster(t *testing.T, site Site) *Cluster {
	t.Helper()
	c, err := Start(context.Background(), site, zap.NewNop())
	require.NoError(t, err)
	t.Cleanup(c.Close)
	return c
}

// executions returns how often the targets of the site executed a request.
func (c *Cluster) executions(id string) int {
	n := 0
	for _, h := range c.hosts() {
		n += h.Target.Executions(id)
	}
	return n
}

// TestDuplicatedAndReorderedDatagramsRunEachRequestOnce duplicates, delays and
// reorders datagrams. Initial packets are among them and reach several agents. Each
// caller must get its own complete responses and each move must run exactly once.
// Points 3 and 5 of docs/GUARANTEES.md.
func TestDuplicatedAndReorderedDatagramsRunEachRequestOnce(t *testing.T) {
	c := startCluster(t, Site{
		Zones:     []string{"a", "b"},
		Balancers: 3,
		Services:  []ServiceSpec{{Name: "tables", Hosts: 3, Slots: 5}},
	})
	network := newImpairedNetwork(t, c.Addresses["tables"])
	p := pool.New().WithErrors()
	for i := range 40 {
		p.Go(func() error { return c.runCaller(t, network.address(), i) })
	}
	require.NoError(t, p.Wait())
	for i := range 40 {
		for n := range 5 {
			require.Equal(t, 1, c.executions(fmt.Sprintf("move-%d-%d", i, n)))
		}
	}
}

// runCaller makes moves and an upload as one caller and checks the responses.
func (c *Cluster) runCaller(t *testing.T, address string, i int) error {
	caller, err := load.NewCaller(address, "tables.example", c.Roots)
	if err != nil {
		return err
	}
	defer caller.Close()
	ctx, cancel := context.WithTimeout(t.Context(), waitLimit)
	defer cancel()
	post := func(path, id, body, want string) error {
		resp, err := caller.Do(ctx, http.MethodPost, path, strings.NewReader(body), http.Header{standin.HeaderRequestID: {id}})
		if err != nil {
			return fmt.Errorf("%s: %w", id, err)
		}
		defer func() { _ = resp.Body.Close() }()
		got, err := io.ReadAll(resp.Body)
		if err != nil || string(got) != want {
			return fmt.Errorf("%s: got %d bytes, %w", id, len(got), err)
		}
		return nil
	}
	for n := range 5 {
		id := fmt.Sprintf("move-%d-%d", i, n)
		if err := post("/move", id, strings.Repeat(id, 500), strings.Repeat(id, 500)); err != nil {
			return err
		}
	}
	body := strings.Repeat(fmt.Sprint(i), 20000)
	sum := sha256.Sum256([]byte(body))
	return post("/upload", fmt.Sprint("upload-", i), body, fmt.Sprintf("%d %s\n", len(body), hex.EncodeToString(sum[:])))
}

// TestGracefulStopsCutNothing drains a target, stops a balancer and an agent and takes
// the platform down while slow moves, uploads and streams are in progress. No flow may
// break. Points 1 and 7 of docs/GUARANTEES.md.
func TestGracefulStopsCutNothing(t *testing.T) {
	c := startCluster(t, Site{
		Zones:     []string{"a", "b"},
		Balancers: 3,
		Services:  []ServiceSpec{{Name: "tables", Hosts: 4, Slots: 5, WorkMillis: 100}},
	})
	summary, err := load.Run(t.Context(), load.Plan{
		Seconds: 6,
		Seed:    1,
		Workloads: []load.Workload{
			{Service: "tables", Kind: load.Board, PerSecond: 5, Burst: 40, MeanSeconds: 60},
			{Service: "tables", Kind: load.Move, PerSecond: 60, Connections: 20},
			{Service: "tables", Kind: load.Upload, PerSecond: 5, Bytes: 100 << 10},
		},
		Faults: []load.Fault{
			{AtSeconds: 1, Kind: load.StopBalancer, Index: 0},
			{AtSeconds: 2, Kind: load.DrainTarget, Index: 1},
			{AtSeconds: 2.5, Kind: load.PlatformDown},
			{AtSeconds: 3, Kind: load.StopAgent, Index: 2},
			{AtSeconds: 4, Kind: load.AddHost, Service: "tables"},
		},
	}, c)
	require.NoError(t, err)
	require.Zero(t, summary.BrokenFlows, summary.Errors)
	require.Zero(t, summary.Unknown)
	require.Greater(t, summary.Ran, int64(200))
	require.Greater(t, summary.Streams, int64(40))
}

// TestAbortedResponseIsReset checks that a response that the target breaks off fails at
// the caller and does not look complete.
func TestAbortedResponseIsReset(t *testing.T) {
	c := startCluster(t, Site{Zones: []string{"a"}, Balancers: 2, Services: []ServiceSpec{{Name: "tables", Hosts: 1, Slots: 5}}})
	c.Hosts[0].Target.AbortMidResponse.Store(true)
	caller, err := c.NewCaller("tables", "")
	require.NoError(t, err)
	defer caller.Close()
	resp, err := caller.Do(t.Context(), http.MethodPost, "/move", strings.NewReader("e2e4"), nil)
	if err == nil {
		_, err = io.ReadAll(resp.Body)
		_ = resp.Body.Close()
	}
	require.Error(t, err, "an aborted response ended without an error")
}

// TestFailingTargetsGetNoNewRequests makes one of two targets fail every request
// while it still announces itself, or freezes it. New requests must go to the other
// target, and return to the first when it has recovered. Point 10 of
// docs/GUARANTEES.md.
func TestFailingTargetsGetNoNewRequests(t *testing.T) {
	for name, setFault := range map[string]func(*standin.Target, bool){
		"failing": func(target *standin.Target, on bool) { target.FailAll.Store(on) },
		"frozen":  func(target *standin.Target, on bool) { target.Frozen.Store(on) },
	} {
		t.Run(name, func(t *testing.T) {
			c := startCluster(t, Site{Zones: []string{"a"}, Balancers: 2, Services: []ServiceSpec{{Name: "tables", Hosts: 2, Slots: 5}}})
			faulty := c.Hosts[0].Target
			setFault(faulty, true)
			consecutive := 0
			for deadline := time.Now().Add(waitLimit); consecutive < 20; consecutive++ {
				require.True(t, time.Now().Before(deadline), "the faulty target still gets new requests")
				if c.sendMove(t) != http.StatusOK {
					consecutive = -1
				}
			}
			setFault(faulty, false)
			before := faulty.Requests()
			for deadline := time.Now().Add(waitLimit); faulty.Requests() < before+5; c.sendMove(t) {
				require.True(t, time.Now().Before(deadline), "the recovered target gets no new requests")
			}
		})
	}
}

// sendMove sends one move over a connection of its own and returns the status.
func (c *Cluster) sendMove(t *testing.T) int {
	t.Helper()
	caller, err := c.NewCaller("tables", "")
	require.NoError(t, err)
	defer caller.Close()
	resp, err := caller.Do(t.Context(), http.MethodPost, "/move", strings.NewReader("x"), http.Header{"Poppywall-Timeout-Ms": {"1000"}})
	require.NoError(t, err)
	_ = resp.Body.Close()
	return resp.StatusCode
}

// TestAcceptedChangeIsInForceEverywhere makes changes while the platform's responses
// are lost or its reads are stale, and a balancer joins during an outage of the
// platform. Each accepted change must come into force on every balancer. Point 8 of
// docs/GUARANTEES.md, end to end.
func TestAcceptedChangeIsInForceEverywhere(t *testing.T) {
	c := startCluster(t, Site{Zones: []string{"a", "b"}, Balancers: 4, Services: []ServiceSpec{{Name: "tables", Hosts: 2, Slots: 5}}})
	drain := func(host string, drain bool) {
		t.Helper()
		res := c.Drain(host, drain)
		require.Equal(t, "accepted", res.Text, res.Reason)
		for deadline := time.Now().Add(waitLimit); ; time.Sleep(10 * time.Millisecond) {
			lagging := 0
			for _, n := range c.Nodes {
				if n.Balancer.Revision() < res.Revision {
					lagging++
				}
			}
			if lagging == 0 {
				return
			}
			require.True(t, time.Now().Before(deadline), "%d balancers have an older revision", lagging)
		}
	}
	drain("nobody", true)
	c.Store.SetFaults(standin.Faults{LoseResponses: 1})
	drain("nobody", false)
	c.Store.SetFaults(standin.Faults{StaleBy: 2})
	time.Sleep(500 * time.Millisecond)
	c.Store.SetFaults(standin.Faults{Down: true})
	require.NoError(t, c.AddBalancer())
	deadline := time.Now().Add(waitLimit)
	for c.Nodes[4].Balancer.Revision() < c.Nodes[0].Balancer.Revision() {
		require.True(t, time.Now().Before(deadline), "a new balancer does not get the configuration during an outage")
		time.Sleep(10 * time.Millisecond)
	}
	c.Store.SetFaults(standin.Faults{})
	drain(c.Hosts[0].Name, true)
	for c.Nodes[1].Balancer.Slots()["tables"] != 5 {
		require.True(t, time.Now().Before(deadline), "the slots of the drained host are still offered")
		time.Sleep(10 * time.Millisecond)
	}
}

// TestSelectorChangeKeepsOpenStreams changes the labels of all hosts of a service so
// that its selector matches none, and back, while streams are open. The streams must
// go on, and the service's slots must go and return. An agent that dropped a service
// at once when it lost its last target reset the open flows. Point 1 of
// docs/GUARANTEES.md.
func TestSelectorChangeKeepsOpenStreams(t *testing.T) {
	c := startCluster(t, Site{Zones: []string{"a"}, Balancers: 2, Services: []ServiceSpec{{Name: "tables", Hosts: 2, Slots: 5}}})
	relabel := func(value string) {
		t.Helper()
		for _, h := range c.Hosts {
			res := c.Label(h.Name, LabelService, value)
			require.Equal(t, "accepted", res.Text, res.Reason)
		}
	}
	waitForSlots := func(want int) {
		t.Helper()
		for deadline := time.Now().Add(waitLimit); c.Nodes[0].Balancer.Slots()["tables"] != want; time.Sleep(10 * time.Millisecond) {
			require.True(t, time.Now().Before(deadline))
		}
	}
	done := make(chan load.Summary, 1)
	go func() {
		summary, err := load.Run(t.Context(), load.Plan{Seconds: 8, Workloads: []load.Workload{
			{Service: "tables", Kind: load.Board, PerSecond: 0.001, Burst: 20, MeanSeconds: 1e6},
		}}, c)
		if err == nil {
			done <- summary
		}
	}()
	for open := 0.0; open < 20; time.Sleep(10 * time.Millisecond) {
		open = float64(c.Hosts[0].Target.Streams() + c.Hosts[1].Target.Streams())
	}
	relabel("elsewhere")
	waitForSlots(0)
	time.Sleep(time.Second)
	relabel("tables")
	waitForSlots(10)
	summary := <-done
	require.Equal(t, int64(20), summary.Streams)
	require.Zero(t, summary.BrokenFlows, summary.Errors)
}
