package standin

import (
	"math/rand/v2"
	"net"
	"net/netip"

	"github.com/go-faster/errors"
)

// Ports below the kernel's range for ephemeral ones: a port that is free now is
// not handed to somebody's outgoing socket before it is bound.
const (
	firstPort = 20000
	lastPort  = 32000
	portTries = 200
)

// FreeAddress returns a loopback address whose port is free for TCP and UDP.
func FreeAddress() (netip.AddrPort, error) {
	for range portTries {
		port := firstPort + rand.IntN(lastPort-firstPort)
		address := netip.AddrPortFrom(netip.AddrFrom4([4]byte{127, 0, 0, 1}), uint16(port))
		if free(address) {
			return address, nil
		}
	}
	return netip.AddrPort{}, errors.New("no free port")
}

func free(address netip.AddrPort) bool {
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
