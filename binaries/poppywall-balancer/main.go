// Command poppywall-balancer forwards datagrams of callers to agents.
package main

import (
	"go.uber.org/zap"

	"github.com/poppywall/poppywall/balancer"
	"github.com/poppywall/poppywall/binaries/internal/process"
	"github.com/poppywall/poppywall/settings"
)

func main() {
	process.Daemon[balancer.Settings]{
		Name:        "poppywall-balancer",
		Description: "Layer-4 load balancer: forwards datagrams of callers to agents.",
		Defaults:    balancer.Defaults(),
		Log:         func(s balancer.Settings) settings.Log { return s.Log },
		New: func(s balancer.Settings, log *zap.Logger) (process.Runner, error) {
			return balancer.New(s, log)
		},
	}.Main()
}
