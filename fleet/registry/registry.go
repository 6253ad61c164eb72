// Package registry keeps a node's address in the store from its first start
// until it is known to be gone, so that nodes find each other when every seed is
// gone, and so that a balancer that starts learns which agents there may be.
//
// Entries are not leased. A lease would lapse while the store is away or its
// holder is stopped, just when the list is needed, and renewals grow with the
// fleet. An entry is written once for each start, by an agent once it has seen
// its target; it is taken away by an agent whose target has ended, and otherwise by a
// balancer that has not heard the node for long (fleet.View.Keeper). Its writer
// looks for it now and then: a node that was only cut off may have been taken for
// dead.
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

// prefix is that of the keys of a role; the node's address ends the key.
func prefix(role fleet.Role) string { return "poppywall/" + string(role) + "/" }

func keyOf(role fleet.Role, ip flow.IPv4) string { return prefix(role) + ip.String() }

// Times of the registry.
const (
	// retryPause is the pause after a failed write; it doubles once, so that an
	// entry is there within two seconds of the store's return.
	retryPause    = 800 * time.Millisecond
	mostRetryWait = 1600 * time.Millisecond
	// checkPeriod is how often a node looks for its entry: as long as an unheard
	// node is remembered by others.
	checkPeriod = fleet.Forget
	// removeTimeout bounds the farewell of a node that stops; a balancer takes the
	// entry away otherwise.
	removeTimeout = 200 * time.Millisecond
)

// Registry keeps one entry.
type Registry struct {
	store store.Store
	role  fleet.Role
	self  flow.IPv4
	epoch uint64
	log   *zap.Logger
	// shown hears of each time that the store shows what is wanted.
	shown func(fleet.Presence)

	// mu guards wanted; nothing else is locked under it.
	mu     sync.Mutex
	wanted fleet.Presence
	// changed wakes Run when wanted has changed.
	changed chan struct{}
}

// New returns a registry for the process of the given epoch at an address; shown is
// called each time that the store has taken what is wanted.
func New(s store.Store, role fleet.Role, self flow.IPv4, epoch uint64, log *zap.Logger, shown func(fleet.Presence)) *Registry {
	return &Registry{store: s, role: role, self: self, epoch: epoch, log: log, shown: shown, changed: make(chan struct{}, 1)}
}

// Want tells what the registry is to show from now on.
func (r *Registry) Want(p fleet.Presence) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.wanted == p {
		return
	}
	r.wanted = p
	select {
	case r.changed <- struct{}{}:
	default:
		// Run has not looked since the last change; it will see this one too.
	}
}

func (r *Registry) want() fleet.Presence {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.wanted
}

// Run brings the entry in line with what is wanted until ctx ends.
func (r *Registry) Run(ctx context.Context) error {
	done, pause := fleet.PresenceUnknown, retryPause
	for ctx.Err() == nil {
		want := r.want()
		if want != done {
			if err := r.tell(ctx, want); err != nil {
				r.log.Warn("registry entry not changed", zap.String("reason", reason(err)))
				r.wait(ctx, pause)
				pause = min(2*pause, mostRetryWait)
				continue
			}
			done, pause = want, retryPause
			r.shown(want)
		}
		if r.wait(ctx, checkPeriod) && done == fleet.PresenceHere && r.missing(ctx) {
			r.log.Warn("registry entry was taken away")
			done = fleet.PresenceUnknown
		}
	}
	return nil
}

// wait tells whether about d has passed; it returns before that when something
// else is wanted or ctx ends.
func (r *Registry) wait(ctx context.Context, d time.Duration) bool {
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

// tell writes or removes the entry.
func (r *Registry) tell(ctx context.Context, p fleet.Presence) error {
	switch p {
	case fleet.PresenceHere:
		return r.enter(ctx)
	case fleet.PresenceEnded:
		return r.remove(ctx)
	default:
		return nil
	}
}

// enter writes the entry.
func (r *Registry) enter(ctx context.Context) error {
	put := store.Put{Key: keyOf(r.role, r.self), Value: encodeEpoch(r.epoch)}
	_, err := r.store.Txn(ctx, store.Txn{Puts: []store.Put{put}})
	return err
}

// remove takes the entry away, whichever process wrote it.
func (r *Registry) remove(ctx context.Context) error {
	_, err := r.store.Txn(ctx, store.Txn{Removes: []string{keyOf(r.role, r.self)}})
	return err
}

// missing tells whether the entry is certainly not there, or is invalid. Any copy
// of the store may answer: an entry that is younger than its answers is written once
// more.
func (r *Registry) missing(ctx context.Context) bool {
	if r.want() != fleet.PresenceHere {
		return false
	}
	resp, err := r.store.Range(ctx, store.RangeRequest{Key: keyOf(r.role, r.self), Stale: true})
	if err != nil {
		r.log.Debug("registry entry not looked for", zap.String("reason", reason(err)))
		return false
	}
	if len(resp.KVs) == 0 {
		return true
	}
	_, ok := decode(r.role, resp.KVs[0])
	return !ok
}

// Leave takes the entry away: the node is gone for good.
func (r *Registry) Leave() {
	ctx, cancel := context.WithTimeout(context.Background(), removeTimeout)
	defer cancel()
	if err := r.remove(ctx); err != nil {
		r.log.Info("registry entry left to the balancers", zap.String("reason", reason(err)))
		return
	}
	r.shown(fleet.PresenceEnded)
}

// Listed are the entries of a role.
type Listed struct {
	Entries []fleet.Entry
	// Revision is the store's when the reading began.
	Revision int64
	// Passed counts the invalid entries, which were passed over.
	Passed int
	// More tells that there are entries behind these.
	More bool
}

func (l *Listed) add(role fleet.Role, kv store.KV) {
	if e, ok := decode(role, kv); ok {
		l.Entries = append(l.Entries, e)
	} else {
		l.Passed++
	}
}

// List returns all entries of a role.
func List(ctx context.Context, s store.Store, role fleet.Role) (Listed, error) {
	var out Listed
	req := store.RangeRequest{Key: prefix(role), End: store.PrefixEnd(prefix(role))}
	revision, err := store.ReadAll(ctx, s, req, func(kv store.KV) error {
		out.add(role, kv)
		return nil
	})
	out.Revision = revision
	return out, err
}

// Page returns the entries of one call: from the first one on, or those behind an address.
func Page(ctx context.Context, s store.Store, role fleet.Role, behind flow.IPv4) (Listed, error) {
	req := store.RangeRequest{Key: prefix(role), End: store.PrefixEnd(prefix(role))}
	if behind != 0 {
		req.Key = keyOf(role, behind) + "\x00"
	}
	resp, err := s.Range(ctx, req)
	if err != nil {
		return Listed{}, err
	}
	out := Listed{Revision: resp.Revision, More: resp.More}
	for _, kv := range resp.KVs {
		out.add(role, kv)
	}
	return out, nil
}

// Remove takes the entry of a dead node away, if it still is the one that is
// meant: of the same epoch, or of the same revision where the epoch is not known.
// An invalid entry was written by others and stays.
func Remove(ctx context.Context, s store.Store, role fleet.Role, dead fleet.Entry) error {
	key := keyOf(role, dead.IP)
	resp, err := s.Range(ctx, store.RangeRequest{Key: key})
	if err != nil || len(resp.KVs) == 0 {
		return err
	}
	found, ok := decode(role, resp.KVs[0])
	if !ok || !same(found, dead) {
		return nil
	}
	unchanged := store.Compare{Key: key, Field: store.ModRevision, Equal: resp.KVs[0].ModRevision}
	// Whether the condition failed does not matter: the node has written its entry
	// again then, or another balancer has removed it.
	_, err = s.Txn(ctx, store.Txn{Compares: []store.Compare{unchanged}, Removes: []string{key}})
	return err
}

func same(found, dead fleet.Entry) bool {
	if dead.Epoch != 0 {
		return found.Epoch == dead.Epoch
	}
	return found.Revision == dead.Revision
}

// decode reads an entry; it is none of a node unless its key ends with the node's
// address, as this package writes it, and its value is an epoch.
func decode(role fleet.Role, kv store.KV) (fleet.Entry, bool) {
	address, ours := strings.CutPrefix(kv.Key, prefix(role))
	ip, err := netip.ParseAddr(address)
	if !ours || err != nil || !ip.Is4() {
		return fleet.Entry{}, false
	}
	epoch, err := strconv.ParseUint(string(kv.Value), epochBase, 64)
	if err != nil || epoch == 0 {
		return fleet.Entry{}, false
	}
	return fleet.Entry{IP: flow.FromAddr(ip), Epoch: epoch, Revision: kv.ModRevision}, true
}

const epochBase = 16

func encodeEpoch(epoch uint64) []byte { return strconv.AppendUint(nil, epoch, epochBase) }

// reason is the short cause of a failed call.
func reason(err error) string {
	var v *verdict.Error
	if errors.As(err, &v) {
		return v.Error()
	}
	return err.Error()
}
