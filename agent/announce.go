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
	maxAnnouncement = 64 << 10
	// askPlatformAfter is how many rounds in a row must fail before the
	// platform is asked for balancers.
	askPlatformAfter = 3
	// seedsTried is the number of bootstrap addresses tried in one round.
	seedsTried = 2
)

// announcer keeps the host's entry known at its registrars.
type announcer struct {
	registrars []directory.Entry
	// told is the sequence that each registrar has acknowledged.
	told map[netip.AddrPort]uint32
	// asked is the period that each registrar asked for; period, the longest
	// of them, is what all are told.
	asked   map[netip.AddrPort]time.Duration
	period  time.Duration
	failing int
}

// settlePeriod follows the registrar that asks for the longest period.
func (an *announcer) settlePeriod(least time.Duration) {
	an.period = least
	for _, r := range an.registrars {
		an.period = max(an.period, an.asked[r.Data])
	}
}

// announceLoop sends heartbeats each period, and at once on a change.
func (a *Agent) announceLoop(ctx context.Context) error {
	an := &announcer{
		told:   map[netip.AddrPort]uint32{},
		asked:  map[netip.AddrPort]time.Duration{},
		period: a.cfg.Heartbeat.D(),
	}
	for ctx.Err() == nil {
		// A longer period counts from the round after the one that states it:
		// registrars expect the host within what it said last.
		stated := an.period
		a.announceRound(ctx, an)
		a.waitForChange(ctx, worker.Jitter(stated))
	}
	return nil
}

func (a *Agent) waitForChange(ctx context.Context, d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	case <-a.kick:
	}
}

type heartbeatResult struct {
	peer  directory.Entry
	reply control.HeartbeatReply
	seq   uint32
	err   error
}

// announceRound talks to all registrars at once, or looks for some.
func (a *Agent) announceRound(ctx context.Context, an *announcer) {
	peers := an.registrars
	if len(peers) == 0 {
		peers = a.bootstrap(ctx, an)
	}
	results := a.heartbeatAll(ctx, an, peers)
	ok := 0
	for _, r := range results {
		if r.err != nil {
			a.metrics.heartbeatErrors.Inc()
			a.log.Debug("heartbeat failed", zap.String(telemetry.FieldPeer, r.peer.Control.String()), zap.Error(r.err))
			delete(an.told, r.peer.Data)
			continue
		}
		ok++
		a.takeReply(ctx, an, r)
	}
	if ok == 0 {
		an.failing++
		an.registrars = nil
		return
	}
	an.failing = 0
}

// bootstrap returns addresses to find registrars by.
func (a *Agent) bootstrap(ctx context.Context, an *announcer) []directory.Entry {
	addresses := slices.Clone(a.cfg.Balancers)
	if an.failing >= askPlatformAfter && a.store != nil {
		addresses = append(addresses, a.platformSeeds(ctx)...)
	}
	rand.Shuffle(len(addresses), func(i, j int) { addresses[i], addresses[j] = addresses[j], addresses[i] })
	var out []directory.Entry
	for _, s := range addresses[:min(len(addresses), seedsTried+an.failing)] {
		if ap, err := netip.ParseAddrPort(s); err == nil {
			out = append(out, directory.Entry{Control: ap, Data: ap})
		}
	}
	return out
}

func (a *Agent) platformSeeds(ctx context.Context) []string {
	var seeds []string
	req := store.RangeRequest{Key: feed.SeedPrefix, End: store.PrefixEnd(feed.SeedPrefix)}
	_, err := store.ReadAll(ctx, a.store, req, func(kv store.KV) error {
		seeds = append(seeds, string(kv.Value))
		return nil
	})
	if err != nil {
		a.log.Warn("balancers not read from the platform", zap.Error(err))
	}
	return seeds
}

func (a *Agent) heartbeatAll(ctx context.Context, an *announcer, peers []directory.Entry) []heartbeatResult {
	p := pool.NewWithResults[heartbeatResult]()
	for _, peer := range peers {
		req := a.heartbeat(an, peer)
		p.Go(func() heartbeatResult {
			res := heartbeatResult{peer: peer, seq: req.Sequence}
			res.err = a.client.Call(ctx, peer.Control.String(), control.MethodHeartbeat, req, &res.reply)
			return res
		})
	}
	return p.Wait()
}

func (a *Agent) heartbeat(an *announcer, peer directory.Entry) control.HeartbeatRequest {
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
		Registrars:  control.RegistrarHash(an.registrars),

		PeriodMillis: an.period.Milliseconds(),
	}
	if an.told[peer.Data] != e.Sequence {
		req.Entry = &e
	}
	return req
}

// takeReply learns from one registrar's answer.
func (a *Agent) takeReply(ctx context.Context, an *announcer, r heartbeatResult) {
	if r.reply.NeedEntry {
		delete(an.told, r.peer.Data)
		a.kickNow()
	} else {
		an.told[r.peer.Data] = r.seq
	}
	if r.reply.Sequence > 0 || r.reply.Incarnation > 0 {
		a.refute(r.reply)
	}
	if r.reply.PeriodMillis > 0 {
		an.asked[r.peer.Data] = time.Duration(r.reply.PeriodMillis) * time.Millisecond
		an.settlePeriod(a.cfg.Heartbeat.D())
	}
	if len(r.reply.Registrars) > 0 {
		a.changeRegistrars(ctx, an, r.reply.Registrars)
	}
	if r.reply.Update != nil {
		a.takeUpdate(*r.reply.Update)
	}
}

// refute raises the entry above a claim that stands against this host.
func (a *Agent) refute(reply control.HeartbeatReply) {
	a.state.mu.Lock()
	e := &a.state.entry
	if reply.Incarnation > e.Incarnation {
		e.Incarnation, e.Sequence = reply.Incarnation+1, 0
	}
	e.Sequence = max(e.Sequence, reply.Sequence) + 1
	a.state.mu.Unlock()
	a.metrics.refutations.Inc()
	a.kickNow()
}

// changeRegistrars moves to a new list and says farewell to the old ones.
func (a *Agent) changeRegistrars(ctx context.Context, an *announcer, list []directory.Entry) {
	old := an.registrars
	if control.RegistrarHash(old) == control.RegistrarHash(list) {
		return
	}
	an.registrars = list
	known := make([]netip.AddrPort, 0, len(list))
	for _, e := range list {
		known = append(known, e.Data)
	}
	a.mux.setKnown(known)
	for _, e := range old {
		if slices.ContainsFunc(list, func(n directory.Entry) bool { return n.Data == e.Data }) {
			continue
		}
		req := a.heartbeat(an, e)
		req.Final = true
		delete(an.told, e.Data)
		delete(an.asked, e.Data)
		var reply control.HeartbeatReply
		_ = a.client.Call(ctx, e.Control.String(), control.MethodHeartbeat, req, &reply)
	}
	a.kickNow()
}

func (a *Agent) takeUpdate(u catalog.Update) {
	a.state.mu.Lock()
	changed, err := a.state.catalog.Apply(u)
	a.state.mu.Unlock()
	if err != nil {
		a.log.Error("configuration not applied", zap.Error(err))
		return
	}
	if changed {
		a.replan()
	}
	if u.More() {
		a.kickNow()
	}
}
