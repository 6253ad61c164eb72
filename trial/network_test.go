package trial

import (
	"math/rand/v2"
	"net"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// impairedNetwork forwards datagrams between callers and a service address. It delays,
// reorders and duplicates them in both directions.
type impairedNetwork struct {
	listener *net.UDPConn
	service  *net.UDPAddr

	// mu guards rng and conns.
	mu    sync.Mutex
	rng   *rand.Rand
	conns map[string]*net.UDPConn
}

func newImpairedNetwork(t *testing.T, service string) *impairedNetwork {
	t.Helper()
	listener, err := net.ListenUDP("udp4", &net.UDPAddr{IP: net.IPv4(127, 0, 0, 1)})
	require.NoError(t, err)
	serviceAddr, err := net.ResolveUDPAddr("udp4", service)
	require.NoError(t, err)
	nw := &impairedNetwork{listener: listener, service: serviceAddr, rng: rand.New(rand.NewPCG(1, 1)), conns: map[string]*net.UDPConn{}}
	t.Cleanup(nw.close)
	go nw.forwardToService()
	return nw
}

// close first waits until the callers' connection closes are forwarded. Without them
// the agents would wait for the idle timeout of the flows.
func (nw *impairedNetwork) close() {
	time.Sleep(10 * maxDelay)
	_ = nw.listener.Close()
	nw.mu.Lock()
	defer nw.mu.Unlock()
	for _, c := range nw.conns {
		_ = c.Close()
	}
}

func (nw *impairedNetwork) address() string { return nw.listener.LocalAddr().String() }

// maxDelay is the maximum delay of a datagram.
const maxDelay = 15 * time.Millisecond

// impair sends a datagram once or twice, each time after a random delay.
func (nw *impairedNetwork) impair(b []byte, send func([]byte)) {
	nw.mu.Lock()
	transmissions := 1 + nw.rng.IntN(5)/4
	var delays []time.Duration
	for range transmissions {
		delays = append(delays, time.Duration(nw.rng.Int64N(int64(maxDelay))))
	}
	nw.mu.Unlock()
	datagram := append([]byte(nil), b...)
	for _, d := range delays {
		time.AfterFunc(d, func() { send(datagram) })
	}
}

func (nw *impairedNetwork) forwardToService() {
	buf := make([]byte, 2000)
	for {
		n, from, err := nw.listener.ReadFromUDP(buf)
		if err != nil {
			return
		}
		if conn := nw.connFor(from); conn != nil {
			nw.impair(buf[:n], func(b []byte) { _, _ = conn.Write(b) })
		}
	}
}

// connFor returns the socket that sends the datagrams of a caller.
func (nw *impairedNetwork) connFor(from *net.UDPAddr) *net.UDPConn {
	nw.mu.Lock()
	defer nw.mu.Unlock()
	if c, ok := nw.conns[from.String()]; ok {
		return c
	}
	c, err := net.DialUDP("udp4", nil, nw.service)
	if err != nil {
		return nil
	}
	nw.conns[from.String()] = c
	go nw.forwardToCaller(c, from)
	return c
}

func (nw *impairedNetwork) forwardToCaller(c *net.UDPConn, to *net.UDPAddr) {
	buf := make([]byte, 2000)
	for {
		n, err := c.Read(buf)
		if err != nil {
			return
		}
		nw.impair(buf[:n], func(b []byte) { _, _ = nw.listener.WriteToUDP(b, to) })
	}
}
