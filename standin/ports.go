package standin

import (
	"math/rand/v2"
	"net"
	"net/netip"

	"github.com/go-faster/errors"
)

// The ports are below the kernel's ephemeral range, so that the kernel does not
// assign a free port to an outgoing socket before the caller binds it.
const (
	firstPort = 20000
	lastPort  = 32000
	portTries = 200
)

// FreeAddress returns a loopback address whose port is free for TCP and UDP. The port
// is not reserved.
func FreeAddress() (netip.AddrPort, error) {
	for range portTries {
		port := firstPort + rand.IntN(lastPort-firstPort)
		address := netip.AddrPortFrom(netip.AddrFrom4([4]byte{127, 0, 0, 1}), uint16(port))
		if isFree(address) {
			return address, nil
		}
	}
	return netip.AddrPort{}, errors.New("no loopback port is free for both TCP and UDP")
}

// isFree reports whether the address can be bound for TCP and UDP.
func isFree(address netip.AddrPort) bool {
	tcp, err := net.Listen("tcp4", address.String())
	if err != nil {
		return false
	}
	defer func() { _ = tcp.Close() }()
	udp, err := net.ListenPacket("udp4", address.String())
	if err != nil {
		return false
	}
	return udp.Close() == nil
}
