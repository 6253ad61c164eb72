package change

import (
	"context"
	"encoding/json"
	"time"

	"github.com/cenkalti/backoff/v5"
	"github.com/go-faster/errors"

	"github.com/poppywall/poppywall/catalog"
	"github.com/poppywall/poppywall/feed"
	"github.com/poppywall/poppywall/settings"
	"github.com/poppywall/poppywall/store"
	"github.com/poppywall/poppywall/verdict"
)

// Outcome is whether a change was stored, as far as that is known.
type Outcome uint8

// The outcomes of a change.
const (
	// Unknown means that the platform could not be reached to find out.
	Unknown Outcome = iota
	// Accepted means that the change is stored and will come into force.
	Accepted
	// Rejected means that the change is not stored and never will be.
	Rejected
)

// String returns the outcome as shown to operators.
func (o Outcome) String() string {
	switch o {
	case Accepted:
		return "accepted"
	case Rejected:
		return "rejected"
	default:
		return "unknown"
	}
}

// Limits of a change.
const (
	// MaxRecords is the maximum number of records in a change, so that it fits into
	// one transaction of the platform.
	MaxRecords = 40
	// maxAttempts is the maximum number of attempts when other operators change the
	// same records concurrently.
	maxAttempts = 8
	// markerTTL is how long markers, and so the history of changes, are kept.
	markerTTL = 24 * time.Hour
	// maxServiceID is the highest service ID; zero is not used.
	maxServiceID = 1<<16 - 1
)

// Item is one record to set or delete.
type Item struct {
	Service *catalog.Service `json:"service,omitempty"`
	Target  *catalog.Target  `json:"target,omitempty"`
	// Delete removes the record; only the name in Service or Target is used.
	Delete bool `json:"delete,omitempty"`
	// Revision, if set, must be the record's current revision. This also detects
	// changes between the operator's read and this change.
	Revision *catalog.Revision `json:"revision,omitempty"`
}

// Key returns the key of the item's record.
func (it *Item) Key() (string, error) {
	switch {
	case it.Service != nil && it.Target == nil:
		return catalog.ServiceKey(it.Service.Name), nil
	case it.Target != nil && it.Service == nil:
		return catalog.TargetKey(it.Target.Host, it.Target.Name), nil
	default:
		return "", errors.New("an item must have either \"service\" or \"target\"")
	}
}

// Document is a set of items that are changed atomically.
type Document struct {
	Items []Item `json:"items" validate:"required,min=1,max=40,dive"`
}

// Validate checks every item without access to the platform.
func (d *Document) Validate() error {
	if len(d.Items) == 0 {
		return errors.New("field \"items\": a change needs at least one item")
	}
	if len(d.Items) > MaxRecords {
		return errors.Errorf("field \"items\": at most %d items in one change", MaxRecords)
	}
	seen := map[string]bool{}
	for i := range d.Items {
		if err := d.Items[i].validate(seen); err != nil {
			return errors.Wrapf(err, "items[%d]", i)
		}
	}
	return d.validateSize()
}

// validateSize rejects a change that is too large for one message between nodes.
func (d *Document) validateSize() error {
	encoded, err := json.Marshal(d.Items)
	if err != nil {
		return errors.Wrap(err, "field \"items\"")
	}
	if len(encoded) > catalog.MaxChangeBytes {
		return errors.Errorf("field \"items\": %d bytes in one change, at most %d", len(encoded), catalog.MaxChangeBytes)
	}
	return nil
}

func (it *Item) validate(seen map[string]bool) error {
	key, err := it.Key()
	if err != nil {
		return err
	}
	if seen[key] {
		return errors.Errorf("%q is given twice", key)
	}
	seen[key] = true
	if it.Delete {
		return nil
	}
	if it.Service != nil {
		return settings.Validate(it.Service)
	}
	return settings.Validate(it.Target)
}

// Marker is stored under the ID of a change. It proves that the change was accepted
// or, with Fenced, that it never will be.
type Marker struct {
	ID     string    `json:"id"`
	Author string    `json:"author"`
	At     time.Time `json:"at"`
	Keys   []string  `json:"keys"`
	// Fenced is set if the marker is a fence: the change is rejected.
	Fenced bool `json:"fenced,omitempty"`
}

// Result is the outcome of a change, with its revision if accepted and the reason
// otherwise.
type Result struct {
	ID      string  `json:"id"`
	Outcome Outcome `json:"-"`
	// Text is Outcome as a string, for the JSON form.
	Text     string           `json:"outcome"`
	Revision catalog.Revision `json:"revision,omitempty"`
	Reason   string           `json:"reason,omitempty"`
}

func result(id string, o Outcome, rev catalog.Revision, reason string) Result {
	return Result{ID: id, Outcome: o, Text: o.String(), Revision: rev, Reason: reason}
}

// Options are the dependencies of an Applier.
type Options struct {
	Author string
	Now    func() time.Time
	// NewID returns a unique change ID.
	NewID func() string
	// Sleep waits and reports whether to go on. By default it waits for the
	// duration or the end of the context, after which it returns false.
	Sleep func(context.Context, time.Duration) bool
}

// initialBackoff is the first wait between attempts.
const initialBackoff = 20 * time.Millisecond

// Applier applies changes to the store.
type Applier struct {
	store store.Store
	opts  Options
}

// NewApplier returns an applier that changes the given store.
func NewApplier(kv store.Store, opts Options) *Applier {
	if opts.Sleep == nil {
		opts.Sleep = sleep
	}
	return &Applier{store: kv, opts: opts}
}

// conflictError is a failed precondition. It is final unless the document is built
// again.
type conflictError struct{ reason string }

// Error implements error.
func (c *conflictError) Error() string { return c.reason }

// Apply applies the change and returns its outcome.
func (a *Applier) Apply(ctx context.Context, doc Document) Result {
	return a.applyWithRetries(ctx, func(context.Context) (Document, error) { return doc, nil }, false)
}

// Edit applies a change that depends on the stored configuration. build is called
// again for each attempt if another operator changed the records concurrently.
func (a *Applier) Edit(ctx context.Context, build func(context.Context) (Document, error)) Result {
	return a.applyWithRetries(ctx, build, true)
}

// applyWithRetries makes attempts until the change is accepted or finally rejected. A
// conflict with the revision of an item is final if the operator set that revision,
// and retried if build did (rebuild).
func (a *Applier) applyWithRetries(ctx context.Context, build func(context.Context) (Document, error), rebuild bool) Result {
	var last Result
	wait := backoff.NewExponentialBackOff()
	wait.InitialInterval = initialBackoff
	for range maxAttempts {
		id := a.opts.NewID()
		var retry bool
		last, retry = a.attempt(ctx, id, build, rebuild)
		if !retry {
			return last
		}
		if !a.opts.Sleep(ctx, wait.NextBackOff()) {
			break
		}
	}
	last.Reason = "other operators changed the same records at every try"
	return last
}

func sleep(ctx context.Context, d time.Duration) bool {
	select {
	case <-ctx.Done():
		return false
	case <-time.After(d):
		return true
	}
}

// attempt makes one attempt under an ID of its own and reports whether it may be
// retried.
func (a *Applier) attempt(ctx context.Context, id string, build func(context.Context) (Document, error), rebuild bool) (Result, bool) {
	doc, err := build(ctx)
	if err != nil {
		return result(id, Rejected, 0, err.Error()), false
	}
	if err := doc.Validate(); err != nil {
		return result(id, Rejected, 0, err.Error()), false
	}
	txn, err := a.transaction(ctx, id, doc)
	if err != nil {
		// Nothing of the change has been written at this point.
		var c *conflictError
		return result(id, Rejected, 0, err.Error()), rebuild && errors.As(err, &c)
	}
	resp, err := a.store.Txn(ctx, txn)
	switch {
	case err == nil && resp.Succeeded:
		return result(id, Accepted, catalog.Revision(resp.Revision), ""), false
	case err == nil:
		return result(id, Rejected, 0, "changed meanwhile"), true
	case verdict.FromError(err) == verdict.NotRun:
		return result(id, Rejected, 0, err.Error()), false
	default:
		return a.Resolve(ctx, id), false
	}
}

// Resolve returns the outcome of a change whose response was lost. It retries until
// the outcome is known or ctx ends.
func (a *Applier) Resolve(ctx context.Context, id string) Result {
	wait := backoff.NewExponentialBackOff()
	wait.InitialInterval = initialBackoff
	for {
		res, err := a.resolveOnce(ctx, id)
		if err == nil {
			return res
		}
		if !a.opts.Sleep(ctx, wait.NextBackOff()) {
			return result(id, Unknown, 0, "the platform cannot be asked: "+err.Error())
		}
	}
}

func (a *Applier) resolveOnce(ctx context.Context, id string) (Result, error) {
	// The fence and the change exclude each other: both require that the marker
	// does not exist.
	fence, err := json.Marshal(Marker{ID: id, Author: a.opts.Author, At: a.opts.Now(), Fenced: true})
	if err != nil {
		return Result{}, err
	}
	lease, err := a.store.Grant(ctx, markerTTL)
	if err != nil {
		return Result{}, err
	}
	key := feed.ChangePrefix + id
	resp, err := a.store.Txn(ctx, store.Txn{
		Compares: []store.Compare{{Key: key, Field: store.CreateRevision}},
		Puts:     []store.Put{{Key: key, Value: fence, Lease: lease}},
	})
	if err != nil {
		return Result{}, err
	}
	if resp.Succeeded {
		return result(id, Rejected, 0, "the request never reached the platform"), nil
	}
	return a.readMarker(ctx, id)
}

func (a *Applier) readMarker(ctx context.Context, id string) (Result, error) {
	resp, err := a.store.Range(ctx, store.RangeRequest{Key: feed.ChangePrefix + id})
	if err != nil {
		return Result{}, err
	}
	if len(resp.KVs) == 0 {
		return Result{}, errors.New("the marker of the change cannot be read yet")
	}
	var m Marker
	if err := json.Unmarshal(resp.KVs[0].Value, &m); err != nil {
		return Result{}, err
	}
	if m.Fenced {
		return result(id, Rejected, 0, "the request never reached the platform"), nil
	}
	return result(id, Accepted, catalog.Revision(resp.KVs[0].ModRevision), ""), nil
}
