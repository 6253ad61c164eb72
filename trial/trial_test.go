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

const patience = 60 * time.Second

func startCluster(t *testing.T, site Site) *Cluster {
	t.Helper()
	c, err := Start(context.Background(), site, zap.NewNop())
	require.NoError(t, err)
	t.Cleanup(c.Close)
	return c
}

// runs sums how often the targets of the site ran a request.
func (c *Cluster) runs(id string) int {
	n := 0
	for _, h := range c.hosts() {
		n += h.Target.Runs(id)
	}
	return n
}

// TestWholeAnswersOverABadFabric doubles, delays and reorders datagrams, the
// first ones included, so that Initials reach several agents. Every caller
// gets its own whole answer and every move runs exactly once. Points 3 and 5.
func TestWholeAnswersOverABadFabric(t *testing.T) {
	c := startCluster(t, Site{
		Zones:     []string{"a", "b"},
		Balancers: 3,
		Services:  []ServiceSpec{{Name: "tables", Hosts: 3, Slots: 5}},
	})
	fabric := newBadFabric(t, c.Addresses["tables"])
	p := pool.New().WithErrors()
	for i := range 40 {
		p.Go(func() error { return c.converse(t, fabric.address(), i) })
	}
	require.NoError(t, p.Wait())
	for i := range 40 {
		for n := range 5 {
			require.Equal(t, 1, c.runs(fmt.Sprintf("move-%d-%d", i, n)))
		}
	}
}

// converse has one caller make moves and an upload and checks the answers.
func (c *Cluster) converse(t *testing.T, address string, i int) error {
	caller, err := load.NewCaller(address, "tables.example", c.Roots)
	if err != nil {
		return err
	}
	defer caller.Close()
	ctx, cancel := context.WithTimeout(t.Context(), patience)
	defer cancel()
	ask := func(path, id, body, want string) error {
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
		if err := ask("/move", id, strings.Repeat(id, 500), strings.Repeat(id, 500)); err != nil {
			return err
		}
	}
	body := strings.Repeat(fmt.Sprint(i), 20000)
	sum := sha256.Sum256([]byte(body))
	return ask("/upload", fmt.Sprint("upload-", i), body, fmt.Sprintf("%d %s\n", len(body), hex.EncodeToString(sum[:])))
}

// TestGracefulStopsCutNothing stops a balancer, an agent and a target while
// slow moves, uploads and streams are in progress, and lets the platform go
// down meanwhile. Points 1 and 7.
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

// TestDeadAnswerIsReset lets targets die in the middle of every answer.
func TestDeadAnswerIsReset(t *testing.T) {
	c := startCluster(t, Site{Zones: []string{"a"}, Balancers: 2, Services: []ServiceSpec{{Name: "tables", Hosts: 1, Slots: 5}}})
	c.Hosts[0].Target.DieMidAnswer.Store(true)
	caller, err := c.NewCaller("tables", "")
	require.NoError(t, err)
	defer caller.Close()
	resp, err := caller.Do(t.Context(), http.MethodPost, "/move", strings.NewReader("e2e4"), nil)
	if err == nil {
		_, err = io.ReadAll(resp.Body)
		_ = resp.Body.Close()
	}
	require.Error(t, err, "a cut answer ended cleanly")
}

// TestSpoiltTargetsLoseNewWork spoils one of two targets: every request fails
// behind good health, or the process is frozen. New work leaves it, and comes
// back when it does well again. Point 10.
func TestSpoiltTargetsLoseNewWork(t *testing.T) {
	for name, spoil := range map[string]func(*standin.Target, bool){
		"failing": func(target *standin.Target, on bool) { target.FailAll.Store(on) },
		"frozen":  func(target *standin.Target, on bool) { target.Frozen.Store(on) },
	} {
		t.Run(name, func(t *testing.T) {
			c := startCluster(t, Site{Zones: []string{"a"}, Balancers: 2, Services: []ServiceSpec{{Name: "tables", Hosts: 2, Slots: 5}}})
			bad := c.Hosts[0].Target
			spoil(bad, true)
			inARow := 0
			for deadline := time.Now().Add(patience); inARow < 20; inARow++ {
				require.True(t, time.Now().Before(deadline), "the spoilt target keeps getting work")
				if c.move(t) != http.StatusOK {
					inARow = -1
				}
			}
			spoil(bad, false)
			before := bad.Requests()
			for deadline := time.Now().Add(patience); bad.Requests() < before+5; c.move(t) {
				require.True(t, time.Now().Before(deadline), "the healed target gets no work again")
			}
		})
	}
}

// move makes one move on a flow of its own and returns the status.
func (c *Cluster) move(t *testing.T) int {
	t.Helper()
	caller, err := c.NewCaller("tables", "")
	require.NoError(t, err)
	defer caller.Close()
	resp, err := caller.Do(t.Context(), http.MethodPost, "/move", strings.NewReader("x"), http.Header{"Poppywall-Timeout-Ms": {"1000"}})
	require.NoError(t, err)
	_ = resp.Body.Close()
	return resp.StatusCode
}

// TestAcceptedChangeIsInForceEverywhere makes changes while answers are lost,
// reads are stale and a balancer joins during an outage. Point 8, end to end.
func TestAcceptedChangeIsInForceEverywhere(t *testing.T) {
	c := startCluster(t, Site{Zones: []string{"a", "b"}, Balancers: 4, Services: []ServiceSpec{{Name: "tables", Hosts: 2, Slots: 5}}})
	drain := func(host string, drain bool) {
		t.Helper()
		res := c.Drain(host, drain)
		require.Equal(t, "accepted", res.Text, res.Reason)
		for deadline := time.Now().Add(patience); ; time.Sleep(10 * time.Millisecond) {
			behind := 0
			for _, n := range c.Nodes {
				if n.Balancer.Revision() < res.Revision {
					behind++
				}
			}
			if behind == 0 {
				return
			}
			require.True(t, time.Now().Before(deadline), "%d balancers behind", behind)
		}
	}
	drain("nobody", true)
	c.Store.SetFaults(standin.Faults{LoseAnswers: 1})
	drain("nobody", false)
	c.Store.SetFaults(standin.Faults{StaleBy: 2})
	time.Sleep(500 * time.Millisecond)
	c.Store.SetFaults(standin.Faults{Down: true})
	require.NoError(t, c.AddBalancer())
	deadline := time.Now().Add(patience)
	for c.Nodes[4].Balancer.Revision() < c.Nodes[0].Balancer.Revision() {
		require.True(t, time.Now().Before(deadline), "a fresh balancer learns nothing during an outage")
		time.Sleep(10 * time.Millisecond)
	}
	c.Store.SetFaults(standin.Faults{})
	drain(c.Hosts[0].Name, true)
	for c.Nodes[1].Balancer.Slots()["tables"] != 5 {
		require.True(t, time.Now().Before(deadline), "the drained host keeps its slots")
		time.Sleep(10 * time.Millisecond)
	}
}

// TestSelectorChangeKeepsOpenStreams relabels every host out of its service
// while streams are open, and back: streams run on, new work stops and comes
// back. Found by reading: the agent dropped a service that lost its last target
// at once and reset its open flows. Point 1.
func TestSelectorChangeKeepsOpenStreams(t *testing.T) {
	c := startCluster(t, Site{Zones: []string{"a"}, Balancers: 2, Services: []ServiceSpec{{Name: "tables", Hosts: 2, Slots: 5}}})
	relabel := func(value string) {
		t.Helper()
		for _, h := range c.Hosts {
			res := c.Label(h.Name, LabelService, value)
			require.Equal(t, "accepted", res.Text, res.Reason)
		}
	}
	slots := func(want int) {
		t.Helper()
		for deadline := time.Now().Add(patience); c.Nodes[0].Balancer.Slots()["tables"] != want; time.Sleep(10 * time.Millisecond) {
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
	slots(0)
	time.Sleep(time.Second)
	relabel("tables")
	slots(10)
	summary := <-done
	require.Equal(t, int64(20), summary.Streams)
	require.Zero(t, summary.BrokenFlows, summary.Errors)
}
