// Command poppywall-agent runs beside the targets of a host. Its QUIC front terminates
// QUIC, admits requests and passes them to targets; its packet front delivers the packets
// of opaque flows.
package main

import (
	"go.uber.org/zap"

	"github.com/poppywall/poppywall/agent"
	"github.com/poppywall/poppywall/agent/packetfront"
	"github.com/poppywall/poppywall/binaries/internal/process"
	"github.com/poppywall/poppywall/settings"
)

// frontPackets is the argument that selects the packet front.
const frontPackets = "packets"

func main() {
	process.RunFront(quicFront().Main, map[string]func([]string){frontPackets: packetFront().Main})
}

func quicFront() process.Daemon[agent.Settings] {
	return process.Daemon[agent.Settings]{
		Name:        "poppywall-agent",
		Description: "Agent beside the targets of a host: ends QUIC, admits, hands over, drains.",
		Defaults:    agent.Defaults(),
		Log:         func(s agent.Settings) settings.Log { return s.Log },
		New: func(s agent.Settings, log *zap.Logger) (process.Runner, error) {
			return agent.New(s, log)
		},
	}
}

func packetFront() process.Daemon[packetfront.Settings] {
	return process.Daemon[packetfront.Settings]{
		Name:        "poppywall-agent packets",
		Description: "Packet front: delivers packets of opaque flows to the host beside it.",
		Defaults:    packetfront.Defaults(),
		Log:         func(s packetfront.Settings) settings.Log { return s.Log },
		New: func(s packetfront.Settings, log *zap.Logger) (process.Runner, error) {
			return packetfront.NewFront(s, log)
		},
	}
}
