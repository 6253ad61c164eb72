// Package registry registers a node's address in the store from its first start until it
// is known to be gone, so that nodes find each other when all seeds are gone, and so that a
// balancer that starts learns which agents may exist.
//
// Entries are not leased. A lease would expire while the store is unavailable or its holder
// is stopped, which is just when the list is needed, and the number of renewals grows with
// the fleet. An entry is written once per start; an agent writes it once it has seen its
// target. It is removed by an agent whose target has ended, and otherwise by a balancer
// that has not received a message of the node for long (fleet.View.IsReaper). A node checks
// its entry periodically: after a network partition it may have been removed as dead.
package registry

import (
	"context"
	"net/netip"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/go-faster/errors"
	"go.uber.org/zap"

	"github.com/poppywall/poppywall/fleet"
	"github.com/poppywall/poppywall/flow"
	"github.com/poppywall/poppywall/store"
	"github.com/poppywall/poppywall/verdict"
	"github.com/poppywall/poppywall/worker"
)

// keyPrefix returns the prefix of the keys of a role; the rest of a key is the node's
// address.
func keyPrefix(role fleet.Role) string { return "poppywall/" + string(role) + "/" }

func entryKey(role fleet.Role, ip flow.IPv4) string { return keyPrefix(role) + ip.String() }

// Timing of the registry.
const (
	// retryPause is the pause after a failed write; it doubles once, so that an entry is
	// written within two seconds of the store's recovery.
	retryPause    = 800 * time.Millisecond
	maxRetryPause = 1600 * time.Millisecond
	// checkPeriod is the period at which a node checks its entry: the time without a message
	// after which other nodes drop a node from their views.
	checkPeriod = fleet.ExpireAfter
	// removeTimeout limits the removal of the entry of a node that stops; if it fails, a
	// balancer removes the entry.
	removeTimeout = 200 * time.Millisecond
)

// Registrar maintains the entry of one node.
type Registrar struct {
	store       store.Store
	role        fleet.Role
	self        flow.IPv4
	incarnation uint64
	log         *zap.Logger
	// onApplied is called each time that the store has reached the desired state, with that state.
	onApplied func(fleet.EntryState)

	// mu guards desired; no other lock is taken while it is held.
	mu      sync.Mutex
	desired fleet.EntryState
	// changed wakes Run when desired has changed.
	changed chan struct{}
}

// New returns the registrar of the process of the given incarnation at an address. onApplied is
// called each time that the store has reached the desired state, with that state.
func New(s store.Store, role fleet.Role, self flow.IPv4, incarnation uint64, log *zap.Logger, onApplied func(fleet.EntryState)) *Registrar {
	return &Registrar{store: s, role: role, self: self, incarnation: incarnation, log: log, onApplied: onApplied, changed: make(chan struct{}, 1)}
}

// SetEntryState sets the desired state of the node's entry.
func (r *Registrar) SetEntryState(state fleet.EntryState) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.desired == state {
		return
	}
	r.desired = state
	select {
	case r.changed <- struct{}{}:
	default:
		// Run has not handled the last change yet; it will handle this one with it.
	}
}

func (r *Registrar) desiredState() fleet.EntryState {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.desired
}

// Run keeps the entry in the desired state until ctx ends.
func (r *Registrar) Run(ctx context.Context) error {
	applied, pause := fleet.EntryUnchanged, retryPause
	for ctx.Err() == nil {
		desired := r.desiredState()
		if desired != applied {
			if err := r.apply(ctx, desired); err != nil {
				r.log.Warn("registry entry not changed", zap.String("reason", reason(err)))
				r.wait(ctx, pause)
				pause = min(2*pause, maxRetryPause)
				continue
			}
			applied, pause = desired, retryPause
			r.onApplied(desired)
		}
		if r.wait(ctx, checkPeriod) && applied == fleet.EntryPresent && r.entryMissing(ctx) {
			r.log.Warn("registry entry is missing and will be written again")
			applied = fleet.EntryUnchanged
		}
	}
	return nil
}

// wait waits for about d and then returns true. It returns false earlier if the desired state
// changes or ctx ends.
func (r *Registrar) wait(ctx context.Context, d time.Duration) bool {
	timer := time.NewTimer(worker.Jitter(d))
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-r.changed:
	case <-ctx.Done():
	}
	return false
}

// apply writes or removes the entry so that it reaches a state.
func (r *Registrar) apply(ctx context.Context, state fleet.EntryState) error {
	switch state {
	case fleet.EntryPresent:
		return r.writeEntry(ctx)
	case fleet.EntryAbsent:
		return r.removeEntry(ctx)
	default:
		return nil
	}
}

// writeEntry writes the entry with the incarnation of this process.
func (r *Registrar) writeEntry(ctx context.Context) error {
	put := store.Put{Key: entryKey(r.role, r.self), Value: encodeIncarnation(r.incarnation)}
	_, err := r.store.Txn(ctx, store.Txn{Puts: []store.Put{put}})
	return err
}

// removeEntry removes the entry, whichever process wrote it.
func (r *Registrar) removeEntry(ctx context.Context) error {
	_, err := r.store.Txn(ctx, store.Txn{Removes: []string{entryKey(r.role, r.self)}})
	return err
}

// entryMissing reports whether the store has answered without a valid entry. Any replica may
// answer: an entry that is newer than the replica's state is only written once more.
func (r *Registrar) entryMissing(ctx context.Context) bool {
	if r.desiredState() != fleet.EntryPresent {
		return false
	}
	resp, err := r.store.Range(ctx, store.RangeRequest{Key: entryKey(r.role, r.self), Stale: true})
	if err != nil {
		r.log.Debug("registry entry not checked", zap.String("reason", reason(err)))
		return false
	}
	if len(resp.KVs) == 0 {
		return true
	}
	_, ok := decode(r.role, resp.KVs[0])
	return !ok
}

// Deregister removes the entry of a node that is gone for good.
func (r *Registrar) Deregister() {
	ctx, cancel := context.WithTimeout(context.Background(), removeTimeout)
	defer cancel()
	if err := r.removeEntry(ctx); err != nil {
		r.log.Info("registry entry not removed, a balancer will remove it", zap.String("reason", reason(err)))
		return
	}
	r.onApplied(fleet.EntryAbsent)
}

// EntryList is a list of the entries of a role.
type EntryList struct {
	Entries []fleet.Entry
	// Revision is the store's revision when the read began.
	Revision int64
	// Skipped is the number of invalid entries, which are skipped.
	Skipped int
	// More reports whether further entries follow.
	More bool
}

func (l *EntryList) add(role fleet.Role, kv store.KV) {
	if e, ok := decode(role, kv); ok {
		l.Entries = append(l.Entries, e)
	} else {
		l.Skipped++
	}
}

// List returns all entries of a role.
func List(ctx context.Context, s store.Store, role fleet.Role) (EntryList, error) {
	var out EntryList
	req := store.RangeRequest{Key: keyPrefix(role), End: store.PrefixEnd(keyPrefix(role))}
	revision, err := store.ReadAll(ctx, s, req, func(kv store.KV) error {
		out.add(role, kv)
		return nil
	})
	out.Revision = revision
	return out, err
}

// Page returns the entries of one call to the store: the first ones if after is zero,
// otherwise those that follow the address after.
func Page(ctx context.Context, s store.Store, role fleet.Role, after flow.IPv4) (EntryList, error) {
	req := store.RangeRequest{Key: keyPrefix(role), End: store.PrefixEnd(keyPrefix(role))}
	if after != 0 {
		req.Key = entryKey(role, after) + "\x00"
	}
	resp, err := s.Range(ctx, req)
	if err != nil {
		return EntryList{}, err
	}
	out := EntryList{Revision: resp.Revision, More: resp.More}
	for _, kv := range resp.KVs {
		out.add(role, kv)
	}
	return out, nil
}

// Remove removes the entry of a dead node if it is still the expected one: of the same
// incarnation, or of the same revision if the incarnation is not known. An invalid entry
// was written by something else and is not removed.
func Remove(ctx context.Context, s store.Store, role fleet.Role, dead fleet.Entry) error {
	key := entryKey(role, dead.IP)
	resp, err := s.Range(ctx, store.RangeRequest{Key: key})
	if err != nil || len(resp.KVs) == 0 {
		return err
	}
	found, ok := decode(role, resp.KVs[0])
	if !ok || !matches(found, dead) {
		return nil
	}
	unchanged := store.Compare{Key: key, Field: store.ModRevision, Equal: resp.KVs[0].ModRevision}
	// A failed condition is no error: the node has written its entry again, or another
	// balancer has removed it.
	_, err = s.Txn(ctx, store.Txn{Compares: []store.Compare{unchanged}, Removes: []string{key}})
	return err
}

func matches(found, expected fleet.Entry) bool {
	if expected.ProcessIncarnation != 0 {
		return found.ProcessIncarnation == expected.ProcessIncarnation
	}
	return found.Revision == expected.Revision
}

// decode decodes an entry. It returns false unless the key is the role's prefix and an IPv4
// address, and the value an incarnation, as this package writes them.
func decode(role fleet.Role, kv store.KV) (fleet.Entry, bool) {
	address, hasPrefix := strings.CutPrefix(kv.Key, keyPrefix(role))
	ip, err := netip.ParseAddr(address)
	if !hasPrefix || err != nil || !ip.Is4() {
		return fleet.Entry{}, false
	}
	incarnation, err := strconv.ParseUint(string(kv.Value), hexBase, 64)
	if err != nil || incarnation == 0 {
		return fleet.Entry{}, false
	}
	return fleet.Entry{IP: flow.FromAddr(ip), ProcessIncarnation: incarnation, Revision: kv.ModRevision}, true
}

const hexBase = 16

func encodeIncarnation(inc uint64) []byte { return strconv.AppendUint(nil, inc, hexBase) }

// reason returns a short description of a failed call.
func reason(err error) string {
	var v *verdict.Error
	if errors.As(err, &v) {
		return v.Error()
	}
	return err.Error()
}
