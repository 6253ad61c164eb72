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
	front, err := net.ListenUDP("udp4", &net.UDPAddr{IP: net.IPv4(127, 0, 0, 1)})
	require.NoError(t, err)
	to, err := net.ResolveUDPAddr("udp4", service)
	require.NoError(t, err)
	f := &impairedNetwork{listener: front, service: to, rng: rand.New(rand.NewPCG(1, 1)), conns: map[string]*net.UDPConn{}}
	t.Cleanup(f.close)
	go f.forwardToService()
	return f
}

// close first waits until the callers' connection closes are forwarded. Without them
// the agents would wait for the idle timeout of the flows.
func (f *impairedNetwork) close() {
	time.Sleep(10 * maxDelay)
	_ = f.listener.Close()
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, c := range f.conns {
		_ = c.Close()
	}
}

func (f *impairedNetwork) address() string { return f.listener.LocalAddr().String() }

// maxDelay is the maximum delay of a datagram.
const maxDelay = 15 * time.Millisecond

// impair sends a datagram once or twice, each time after a random delay.
func (f *impairedNetwork) impair(b []byte, send func([]byte)) {
	f.mu.Lock()
	transmissions := 1 + f.rng.IntN(5)/4
	var delays []time.Duration
	for range transmissions {
		delays = append(delays, time.Duration(f.rng.Int64N(int64(maxDelay))))
	}
	f.mu.Unlock()
	datagram := append([]byte(nil), b...)
	for _, d := range delays {
		time.AfterFunc(d, func() { send(datagram) })
	}
}

func (f *impairedNetwork) forwardToService() {
	buf := make([]byte, 2000)
	for {
		n, from, err := f.listener.ReadFromUDP(buf)
		if err != nil {
			return
		}
		if conn := f.connFor(from); conn != nil {
			f.impair(buf[:n], func(b []byte) { _, _ = conn.Write(b) })
		}
	}
}

// connFor returns the socket that sends the datagrams of a caller.
func (f *impairedNetwork) connFor(from *net.UDPAddr) *net.UDPConn {
	f.mu.Lock()
	defer f.mu.Unlock()
	if c, ok := f.conns[from.String()]; ok {
		return c
	}
	c, err := net.DialUDP("udp4", nil, f.service)
	if err != nil {
		return nil
	}
	f.conns[from.String()] = c
	go f.forwardToCaller(c, from)
	return c
}

func (f *impairedNetwork) forwardToCaller(c *net.UDPConn, to *net.UDPAddr) {
	buf := make([]byte, 2000)
	for {
		n, err := c.Read(buf)
		if err != nil {
			return
		}
		f.impair(buf[:n], func(b []byte) { _, _ = f.listener.WriteToUDP(b, to) })
	}
}
