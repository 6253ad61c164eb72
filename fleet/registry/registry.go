// Package registry keeps a node's address in the store under a lease, so that
// nodes find each other when every seed is gone, and so that a balancer that
// starts learns which agents there were before it. It is read in need only.
package registry

import (
	"context"
	"net/netip"
	"strings"
	"time"

	"github.com/go-faster/errors"
	"go.uber.org/zap"

	"github.com/poppywall/poppywall/flow"
	"github.com/poppywall/poppywall/store"
	"github.com/poppywall/poppywall/verdict"
	"github.com/poppywall/poppywall/worker"
)

// Role tells the kinds of nodes apart; it is the prefix of their keys, which the
// address ends.
type Role string

// The roles.
const (
	Balancers Role = "poppywall/balancers/"
	Agents    Role = "poppywall/agents/"
)

// Times of the registry.
const (
	// leaseTTL is how long a dead balancer stays listed.
	leaseTTL = 8 * time.Second
	// keepPeriod leaves two tries before the lease ends.
	keepPeriod = 2500 * time.Millisecond
	// retryPause is the pause after a failed call: an entry is back within two
	// seconds of the store's return.
	retryPause = 800 * time.Millisecond
)

// Registry keeps one entry.
type Registry struct {
	store store.Watcher
	key   string
	log   *zap.Logger
	// written hears whether the entry was absent when it was written: the node is
	// new, or its former lease has lapsed.
	written func(absent bool)
}

// New returns a registry for the node at the address. written is told each time
// the entry was written, and whether it was absent before.
func New(s store.Watcher, role Role, self flow.IPv4, log *zap.Logger, written func(absent bool)) *Registry {
	return &Registry{store: s, key: string(role) + self.String(), log: log, written: written}
}

// Run keeps the entry until ctx ends, then takes it away.
func (r *Registry) Run(ctx context.Context) error {
	for ctx.Err() == nil {
		lease, err := r.publish(ctx)
		if err != nil {
			r.log.Warn("registry entry not written", zap.String("reason", reason(err)))
			worker.Sleep(ctx, worker.Jitter(retryPause))
			continue
		}
		r.keep(ctx, lease)
	}
	return nil
}

func (r *Registry) publish(ctx context.Context) (store.LeaseID, error) {
	lease, err := r.store.Grant(ctx, leaseTTL)
	if err != nil {
		return 0, err
	}
	put := store.Put{Key: r.key, Lease: lease}
	absent := store.Compare{Key: r.key, Field: store.ModRevision, Equal: 0}
	resp, err := r.store.Txn(ctx, store.Txn{Compares: []store.Compare{absent}, Puts: []store.Put{put}})
	if err != nil {
		return 0, err
	}
	if !resp.Succeeded {
		if _, err = r.store.Txn(ctx, store.Txn{Puts: []store.Put{put}}); err != nil {
			return 0, err
		}
	}
	r.written(resp.Succeeded)
	return lease, nil
}

// keep renews the lease until it has ended. A renewal that fails otherwise is
// tried again: the lease may live on.
func (r *Registry) keep(ctx context.Context, lease store.LeaseID) {
	pause := keepPeriod
	for {
		worker.Sleep(ctx, worker.Jitter(pause))
		if ctx.Err() != nil {
			r.end(lease)
			return
		}
		err := r.store.Keep(ctx, lease)
		if isGone(err) {
			r.log.Info("registry lease has ended")
			return
		}
		pause = keepPeriod
		if err != nil {
			pause = retryPause
		}
	}
}

// isGone tells a lease that has ended from a call that failed.
func isGone(err error) bool {
	var v *verdict.Error
	return errors.As(err, &v) && v.Reason == store.ReasonNoLease
}

// endTimeout bounds the farewell; the lease ends by itself otherwise.
const endTimeout = 200 * time.Millisecond

func (r *Registry) end(lease store.LeaseID) {
	ctx, cancel := context.WithTimeout(context.Background(), endTimeout)
	defer cancel()
	if err := r.store.End(ctx, lease); err != nil {
		r.log.Debug("registry lease not ended", zap.String("reason", reason(err)))
	}
}

// List returns the nodes of a role that are registered.
func List(ctx context.Context, s store.Store, role Role) ([]flow.IPv4, error) {
	var out []flow.IPv4
	req := store.RangeRequest{Key: string(role), End: store.PrefixEnd(string(role))}
	_, err := store.ReadAll(ctx, s, req, func(kv store.KV) error {
		if ip, err := netip.ParseAddr(strings.TrimPrefix(kv.Key, string(role))); err == nil {
			out = append(out, flow.FromAddr(ip))
		}
		return nil
	})
	return out, err
}

// reason is the short cause of a failed call.
func reason(err error) string {
	var v *verdict.Error
	if errors.As(err, &v) {
		return v.Error()
	}
	return err.Error()
}
