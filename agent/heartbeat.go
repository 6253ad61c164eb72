package agent

import (
	"context"
	"math/rand/v2"
	"net/netip"
	"slices"
	"time"

	"github.com/sourcegraph/conc/pool"
	"go.uber.org/zap"

	"github.com/poppywall/poppywall/catalog"
	"github.com/poppywall/poppywall/control"
	"github.com/poppywall/poppywall/directory"
	"github.com/poppywall/poppywall/feed"
	"github.com/poppywall/poppywall/store"
	"github.com/poppywall/poppywall/telemetry"
	"github.com/poppywall/poppywall/worker"
)

const (
	maxAnnouncementLen = 64 << 10
	// platformFallbackRounds is the number of consecutive failed rounds after
	// which bootstrap also reads balancer addresses from the platform.
	platformFallbackRounds = 3
	// seedsPerRound is the number of bootstrap addresses tried in a round; each
	// failed round adds one.
	seedsPerRound = 2
)

// heartbeatState holds the host's registrars and what was exchanged with each
// of them.
type heartbeatState struct {
	registrars []directory.Entry
	// acknowledged is the latest entry sequence that each registrar has
	// acknowledged.
	acknowledged map[netip.AddrPort]uint32
	// requestedPeriods is the heartbeat period that each registrar asked for;
	// period is the longest of them and is announced to all.
	requestedPeriods map[netip.AddrPort]time.Duration
	period           time.Duration
	failedRounds     int
}

// updatePeriod sets the period to the longest one requested by a registrar,
// but not below minimum.
func (hs *heartbeatState) updatePeriod(minimum time.Duration) {
	hs.period = minimum
	for _, r := range hs.registrars {
		hs.period = max(hs.period, hs.requestedPeriods[r.Data])
	}
}

// heartbeatLoop sends heartbeats once per period, and immediately when the
// entry changes.
func (a *Agent) heartbeatLoop(ctx context.Context) error {
	hs := &heartbeatState{
		acknowledged:     map[netip.AddrPort]uint32{},
		requestedPeriods: map[netip.AddrPort]time.Duration{},
		period:           a.cfg.Heartbeat.D(),
	}
	for ctx.Err() == nil {
		// A longer period that a registrar requests in this round applies from
		// the next round on, which announces it. Until then registrars expect a
		// heartbeat within the period announced last.
		announcedPeriod := hs.period
		a.heartbeatRound(ctx, hs)
		a.waitForTrigger(ctx, worker.Jitter(announcedPeriod))
	}
	return nil
}

func (a *Agent) waitForTrigger(ctx context.Context, d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	case <-a.heartbeatTrigger:
	}
}

type heartbeatResult struct {
	peer  directory.Entry
	reply control.HeartbeatReply
	seq   uint32
	err   error
}

// heartbeatRound sends a heartbeat to all registrars concurrently, or to
// bootstrap addresses if there are no registrars.
func (a *Agent) heartbeatRound(ctx context.Context, hs *heartbeatState) {
	peers := hs.registrars
	if len(peers) == 0 {
		peers = a.bootstrap(ctx, hs)
	}
	results := a.heartbeatAll(ctx, hs, peers)
	ok := 0
	for _, r := range results {
		if r.err != nil {
			a.metrics.heartbeatErrors.Inc()
			a.log.Debug("heartbeat failed", zap.String(telemetry.FieldPeer, r.peer.Control.String()), zap.Error(r.err))
			delete(hs.acknowledged, r.peer.Data)
			continue
		}
		ok++
		a.handleReply(ctx, hs, r)
	}
	if ok == 0 {
		hs.failedRounds++
		hs.registrars = nil
		return
	}
	hs.failedRounds = 0
}

// bootstrap returns random balancers to ask for the list of registrars. Of
// their entries only the addresses are set, both to the control address.
func (a *Agent) bootstrap(ctx context.Context, hs *heartbeatState) []directory.Entry {
	addresses := slices.Clone(a.cfg.Balancers)
	if hs.failedRounds >= platformFallbackRounds && a.store != nil {
		addresses = append(addresses, a.platformSeeds(ctx)...)
	}
	rand.Shuffle(len(addresses), func(i, j int) { addresses[i], addresses[j] = addresses[j], addresses[i] })
	var out []directory.Entry
	for _, s := range addresses[:min(len(addresses), seedsPerRound+hs.failedRounds)] {
		if ap, err := netip.ParseAddrPort(s); err == nil {
			out = append(out, directory.Entry{Control: ap, Data: ap})
		}
	}
	return out
}

// platformSeeds returns the control addresses of balancers that are published on
// the platform.
func (a *Agent) platformSeeds(ctx context.Context) []string {
	var seeds []string
	req := store.RangeRequest{Key: feed.SeedPrefix, End: store.PrefixEnd(feed.SeedPrefix)}
	_, err := store.ReadAll(ctx, a.store, req, func(kv store.KV) error {
		seeds = append(seeds, string(kv.Value))
		return nil
	})
	if err != nil {
		a.log.Warn("failed to read seeds from the platform", zap.Error(err))
	}
	return seeds
}

func (a *Agent) heartbeatAll(ctx context.Context, hs *heartbeatState, peers []directory.Entry) []heartbeatResult {
	p := pool.NewWithResults[heartbeatResult]()
	for _, peer := range peers {
		req := a.heartbeatRequest(hs, peer)
		p.Go(func() heartbeatResult {
			res := heartbeatResult{peer: peer, seq: req.Sequence}
			res.err = a.client.Call(ctx, peer.Control.String(), control.MethodHeartbeat, req, &res.reply)
			return res
		})
	}
	return p.Wait()
}

func (a *Agent) heartbeatRequest(hs *heartbeatState, peer directory.Entry) control.HeartbeatRequest {
	a.state.mu.Lock()
	defer a.state.mu.Unlock()
	e := a.state.entry
	req := control.HeartbeatRequest{
		Data:        e.Data,
		Incarnation: e.Incarnation,
		Sequence:    e.Sequence,
		Host:        a.cfg.Host,
		Zone:        a.cfg.Zone,
		Revision:    a.state.catalog.Revision(),
		Registrars:  control.RegistrarHash(hs.registrars),

		PeriodMillis: hs.period.Milliseconds(),
	}
	if hs.acknowledged[peer.Data] != e.Sequence {
		req.Entry = &e
	}
	return req
}

// handleReply applies one registrar's reply.
func (a *Agent) handleReply(ctx context.Context, hs *heartbeatState, r heartbeatResult) {
	if r.reply.NeedEntry {
		delete(hs.acknowledged, r.peer.Data)
		a.triggerHeartbeat()
	} else {
		hs.acknowledged[r.peer.Data] = r.seq
	}
	if r.reply.Sequence > 0 || r.reply.Incarnation > 0 {
		a.refute(r.reply)
	}
	if r.reply.PeriodMillis > 0 {
		hs.requestedPeriods[r.peer.Data] = time.Duration(r.reply.PeriodMillis) * time.Millisecond
		hs.updatePeriod(a.cfg.Heartbeat.D())
	}
	if len(r.reply.Registrars) > 0 {
		a.replaceRegistrars(ctx, hs, r.reply.Registrars)
	}
	if r.reply.Update != nil {
		a.applyUpdate(*r.reply.Update)
	}
}

// refute raises the entry's incarnation and sequence above those of a claim
// against this host, so that the entry overrides the claim.
func (a *Agent) refute(reply control.HeartbeatReply) {
	a.state.mu.Lock()
	e := &a.state.entry
	if reply.Incarnation > e.Incarnation {
		e.Incarnation, e.Sequence = reply.Incarnation+1, 0
	}
	e.Sequence = max(e.Sequence, reply.Sequence) + 1
	a.state.mu.Unlock()
	a.metrics.refutations.Inc()
	a.triggerHeartbeat()
}

// replaceRegistrars switches to a new list of registrars and sends a final
// heartbeat to those that are no longer in it.
func (a *Agent) replaceRegistrars(ctx context.Context, hs *heartbeatState, list []directory.Entry) {
	old := hs.registrars
	if control.RegistrarHash(old) == control.RegistrarHash(list) {
		return
	}
	hs.registrars = list
	addresses := make([]netip.AddrPort, 0, len(list))
	for _, e := range list {
		addresses = append(addresses, e.Data)
	}
	a.mux.setFallbackBalancers(addresses)
	for _, e := range old {
		if slices.ContainsFunc(list, func(n directory.Entry) bool { return n.Data == e.Data }) {
			continue
		}
		req := a.heartbeatRequest(hs, e)
		req.Final = true
		delete(hs.acknowledged, e.Data)
		delete(hs.requestedPeriods, e.Data)
		var reply control.HeartbeatReply
		_ = a.client.Call(ctx, e.Control.String(), control.MethodHeartbeat, req, &reply)
	}
	a.triggerHeartbeat()
}

func (a *Agent) applyUpdate(u catalog.Update) {
	a.state.mu.Lock()
	changed, err := a.state.catalog.Apply(u)
	a.state.mu.Unlock()
	if err != nil {
		a.log.Error("failed to apply configuration update", zap.Error(err))
		return
	}
	if changed {
		a.reconcile()
	}
	if u.More() {
		a.triggerHeartbeat()
	}
}
