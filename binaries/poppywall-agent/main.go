// Command poppywall-agent runs beside the targets of a host: it ends QUIC,
// admits requests and hands them to targets.
package main

import (
	"go.uber.org/zap"

	"github.com/poppywall/poppywall/agent"
	"github.com/poppywall/poppywall/binaries/internal/process"
	"github.com/poppywall/poppywall/settings"
)

func main() {
	process.Daemon[agent.Settings]{
		Name:        "poppywall-agent",
		Description: "Agent beside the targets of a host: ends QUIC, admits, hands over, drains.",
		Defaults:    agent.Defaults(),
		Log:         func(s agent.Settings) settings.Log { return s.Log },
		New: func(s agent.Settings, log *zap.Logger) (process.Runner, error) {
			return agent.New(s, log)
		},
	}.Main()
}
