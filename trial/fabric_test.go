package trial

import (
	"math/rand/v2"
	"net"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// badFabric stands between callers and a service address: it delays, reorders
// and doubles datagrams both ways.
type badFabric struct {
	front   *net.UDPConn
	service *net.UDPAddr

	// mu guards rnd and flows.
	mu    sync.Mutex
	rnd   *rand.Rand
	flows map[string]*net.UDPConn
}

func newBadFabric(t *testing.T, service string) *badFabric {
	t.Helper()
	front, err := net.ListenUDP("udp4", &net.UDPAddr{IP: net.IPv4(127, 0, 0, 1)})
	require.NoError(t, err)
	to, err := net.ResolveUDPAddr("udp4", service)
	require.NoError(t, err)
	f := &badFabric{front: front, service: to, rnd: rand.New(rand.NewPCG(1, 1)), flows: map[string]*net.UDPConn{}}
	t.Cleanup(f.close)
	go f.forward()
	return f
}

// close first lets the callers' farewells through: without them the agents
// would wait for the flows' idle timeout.
func (f *badFabric) close() {
	time.Sleep(10 * maxDelay)
	_ = f.front.Close()
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, c := range f.flows {
		_ = c.Close()
	}
}

func (f *badFabric) address() string { return f.front.LocalAddr().String() }

// maxDelay bounds how late a datagram arrives.
const maxDelay = 15 * time.Millisecond

// pass sends a datagram once or twice, each a little later.
func (f *badFabric) pass(b []byte, send func([]byte)) {
	f.mu.Lock()
	copies := 1 + f.rnd.IntN(5)/4
	var delays []time.Duration
	for range copies {
		delays = append(delays, time.Duration(f.rnd.Int64N(int64(maxDelay))))
	}
	f.mu.Unlock()
	own := append([]byte(nil), b...)
	for _, d := range delays {
		time.AfterFunc(d, func() { send(own) })
	}
}

func (f *badFabric) forward() {
	buf := make([]byte, 2000)
	for {
		n, from, err := f.front.ReadFromUDP(buf)
		if err != nil {
			return
		}
		if flow := f.flow(from); flow != nil {
			f.pass(buf[:n], func(b []byte) { _, _ = flow.Write(b) })
		}
	}
}

// flow returns the socket that stands for a caller.
func (f *badFabric) flow(from *net.UDPAddr) *net.UDPConn {
	f.mu.Lock()
	defer f.mu.Unlock()
	if c, ok := f.flows[from.String()]; ok {
		return c
	}
	c, err := net.DialUDP("udp4", nil, f.service)
	if err != nil {
		return nil
	}
	f.flows[from.String()] = c
	go f.back(c, from)
	return c
}

func (f *badFabric) back(c *net.UDPConn, to *net.UDPAddr) {
	buf := make([]byte, 2000)
	for {
		n, err := c.Read(buf)
		if err != nil {
			return
		}
		f.pass(buf[:n], func(b []byte) { _, _ = f.front.WriteToUDP(b, to) })
	}
}
