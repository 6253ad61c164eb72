package agent

import (
	"maps"
	"slices"

	"go.uber.org/zap"

	"github.com/poppywall/poppywall/catalog"
	"github.com/poppywall/poppywall/route"
	"github.com/poppywall/poppywall/telemetry"
)

// replan brings targets, endpoints and the host's entry in line with what
// targets announced and operators configured.
func (a *Agent) replan() {
	a.replanMu.Lock()
	defer a.replanMu.Unlock()
	a.state.mu.Lock()
	p := a.state.registry.plan(a.state.catalog, a.state.leaving)
	a.state.plan = p
	former := slices.Collect(maps.Keys(a.state.endpoints))
	a.state.mu.Unlock()

	// A service that lost its last target keeps an empty list: nothing new.
	services := maps.Clone(p.services)
	for _, id := range former {
		if _, ok := services[id]; !ok {
			services[id] = nil
		}
	}
	a.gate.setTargets(p.targets, services)
	a.updateEndpoints(p)
	a.updateEntry(p)
}

func (a *Agent) updateEntry(p plan) {
	list := offers(p, a.gate.slots)
	a.state.mu.Lock()
	defer a.state.mu.Unlock()
	if slices.Equal(list, a.state.entry.Offers) {
		return
	}
	a.state.entry.Offers = list
	a.state.entry.Sequence++
	a.kickNow()
}

// updateEndpoints opens, drains, resumes and closes endpoints; it runs under
// replanMu.
func (a *Agent) updateEndpoints(p plan) {
	a.state.mu.Lock()
	endpoints := maps.Clone(a.state.endpoints)
	a.state.mu.Unlock()
	for id, svc := range p.specs {
		e, ok := endpoints[id]
		if !ok {
			e = a.openEndpoint(svc)
			if e == nil {
				continue
			}
			endpoints[id] = e
		}
		e.service.Store(svc)
		e.keep()
	}
	for id, e := range endpoints {
		if n, _ := a.gate.slots(id); n > 0 {
			e.resume()
			continue
		}
		e.drain()
		if _, planned := p.specs[id]; !planned {
			a.retire(id, e)
		}
	}
	a.setEndpoints(endpoints)
}

func (a *Agent) openEndpoint(svc *catalog.Service) *endpoint {
	conf := a.certs.tlsConfig(svc.Name)
	if conf == nil {
		a.log.Error("no certificate for service", zap.String(telemetry.FieldService, svc.Name))
		return nil
	}
	e, err := newEndpoint(a.mux, svc, conf, a.cfg.MaxConnections, a.gate.published, a.log)
	if err != nil {
		a.log.Error("endpoint not opened", zap.String(telemetry.FieldService, svc.Name), zap.Error(err))
		return nil
	}
	e.handler = &proxy{id: svc.ID, service: e.service.Load, gate: a.gate, handover: a.handover, metrics: a.metrics}
	a.workers.Run(func() { e.acceptLoop(a.serving) })
	return e
}

// retire closes an endpoint whose service no target here serves any more, once
// its connections ended. Until then the endpoint stays known, for its open
// flows run on, and the service may come back.
func (a *Agent) retire(id route.ServiceID, e *endpoint) {
	ctx, started := e.beginRetiring(a.serving, a.cfg.DrainLimit.D())
	if !started {
		return
	}
	a.workers.Run(func() {
		if !e.waitIdle(ctx) {
			return
		}
		a.remove(id, e)
	})
}

// remove forgets and closes an endpoint, unless its service came back.
func (a *Agent) remove(id route.ServiceID, e *endpoint) {
	a.replanMu.Lock()
	defer a.replanMu.Unlock()
	if !e.isRetiring() {
		return
	}
	a.state.mu.Lock()
	endpoints := maps.Clone(a.state.endpoints)
	a.state.mu.Unlock()
	delete(endpoints, id)
	a.setEndpoints(endpoints)
	e.keep()
	e.close()
	a.log.Info("endpoint closed", zap.Uint16(telemetry.FieldService, uint16(id)))
}

func (a *Agent) setEndpoints(endpoints map[route.ServiceID]*endpoint) {
	conns := make(map[route.ServiceID]*serviceConn, len(endpoints))
	for id, e := range endpoints {
		conns[id] = e.conn
	}
	a.state.mu.Lock()
	a.state.endpoints = endpoints
	a.state.mu.Unlock()
	a.mux.setConns(conns)
}
