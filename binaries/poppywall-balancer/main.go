// Command poppywall-balancer is a layer-4 load balancer. Its QUIC front forwards datagrams
// of callers to agents; its packet front forwards packets of opaque flows.
package main

import (
	"go.uber.org/zap"

	"github.com/poppywall/poppywall/balancer"
	"github.com/poppywall/poppywall/balancer/packetfront"
	"github.com/poppywall/poppywall/binaries/internal/process"
	"github.com/poppywall/poppywall/settings"
)

// frontPackets is the argument that selects the packet front.
const frontPackets = "packets"

func main() {
	process.RunFront(quicFront().Main, map[string]func([]string){frontPackets: packetFront().Main})
}

func quicFront() process.Daemon[balancer.Settings] {
	return process.Daemon[balancer.Settings]{
		Name:        "poppywall-balancer",
		Description: "Layer-4 load balancer: forwards datagrams of callers to agents.",
		Defaults:    balancer.Defaults(),
		Log:         func(s balancer.Settings) settings.Log { return s.Log },
		New: func(s balancer.Settings, log *zap.Logger) (process.Runner, error) {
			return balancer.New(s, log)
		},
	}
}

func packetFront() process.Daemon[packetfront.Settings] {
	return process.Daemon[packetfront.Settings]{
		Name:        "poppywall-balancer packets",
		Description: "Packet front: forwards packets of opaque flows to agents.",
		Defaults:    packetfront.Defaults(),
		Log:         func(s packetfront.Settings) settings.Log { return s.Log },
		New: func(s packetfront.Settings, log *zap.Logger) (process.Runner, error) {
			return packetfront.NewFront(s, log)
		},
	}
}
