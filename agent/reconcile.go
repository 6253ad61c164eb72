package agent

import (
	"maps"
	"slices"

	"go.uber.org/zap"

	"github.com/poppywall/poppywall/catalog"
	"github.com/poppywall/poppywall/route"
	"github.com/poppywall/poppywall/telemetry"
)

// reconcile updates the targets, the endpoints and the host's directory entry to
// match the targets' announcements and the configuration.
func (a *Agent) reconcile() {
	a.reconcileMu.Lock()
	defer a.reconcileMu.Unlock()
	a.state.mu.Lock()
	p := a.state.registry.plan(a.state.catalog, a.state.leaving)
	a.state.plan = p
	existing := slices.Collect(maps.Keys(a.state.endpoints))
	a.state.mu.Unlock()

	// A service that lost its last target gets an empty list, so that the gate
	// refuses its new requests.
	services := maps.Clone(p.targetNames)
	for _, id := range existing {
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
	a.triggerHeartbeat()
}

// updateEndpoints opens, drains, resumes and retires endpoints. The caller holds
// reconcileMu.
func (a *Agent) updateEndpoints(p plan) {
	a.state.mu.Lock()
	endpoints := maps.Clone(a.state.endpoints)
	a.state.mu.Unlock()
	for id, svc := range p.services {
		e, ok := endpoints[id]
		if !ok {
			e = a.openEndpoint(svc)
			if e == nil {
				continue
			}
			endpoints[id] = e
		}
		e.service.Store(svc)
		e.abortRetirement()
	}
	for id, e := range endpoints {
		if n, _ := a.gate.slots(id); n > 0 {
			e.resume()
			continue
		}
		e.drain()
		if _, planned := p.services[id]; !planned {
			a.retire(id, e)
		}
	}
	a.setEndpoints(endpoints)
}

func (a *Agent) openEndpoint(svc *catalog.Service) *endpoint {
	conf := a.certificates.tlsConfig(svc.Name)
	if conf == nil {
		a.log.Error("no certificate configured for service", zap.String(telemetry.FieldService, svc.Name))
		return nil
	}
	e, err := newEndpoint(a.mux, svc, conf, a.cfg.MaxConnections, a.gate.recentLoad, a.log)
	if err != nil {
		a.log.Error("failed to open endpoint", zap.String(telemetry.FieldService, svc.Name), zap.Error(err))
		return nil
	}
	e.handler = &proxy{id: svc.ID, service: e.service.Load, gate: a.gate, dispatcher: a.dispatcher, metrics: a.metrics}
	a.workers.Run(func() { e.acceptLoop(a.servingCtx) })
	return e
}

// retire closes an endpoint whose service no local target serves any more, once
// its connections have ended or DrainLimit has passed. Until then it stays
// registered, because its open flows continue and the service may return.
func (a *Agent) retire(id route.ServiceID, e *endpoint) {
	ctx, started := e.beginRetirement(a.servingCtx, a.cfg.DrainLimit.D())
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

// remove unregisters and closes an endpoint, unless its service has returned.
func (a *Agent) remove(id route.ServiceID, e *endpoint) {
	a.reconcileMu.Lock()
	defer a.reconcileMu.Unlock()
	if !e.isRetiring() {
		return
	}
	a.state.mu.Lock()
	endpoints := maps.Clone(a.state.endpoints)
	a.state.mu.Unlock()
	delete(endpoints, id)
	a.setEndpoints(endpoints)
	e.abortRetirement()
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
