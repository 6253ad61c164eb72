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

// Outcome is what became of a change.
type Outcome uint8

const (
	// Unknown means that the platform could not be asked.
	Unknown Outcome = iota
	// Accepted means that the change is stored and comes into force.
	Accepted
	// Rejected means that the change has not and never will be stored.
	Rejected
)

// String returns the outcome as operators read it.
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
	// MaxRecords keeps a change within one transaction of the platform.
	MaxRecords = 40
	// attempts bounds the tries against racing operators.
	attempts = 8
	// markerTTL is how long history is kept.
	markerTTL = 24 * time.Hour
	// maxServices bounds service IDs; zero is not used.
	maxServices = 1<<16 - 1
)

// Item is one record to set or delete.
type Item struct {
	Service *catalog.Service `json:"service,omitempty"`
	Target  *catalog.Target  `json:"target,omitempty"`
	// Delete removes the record; of Service or Target only the name counts.
	Delete bool `json:"delete,omitempty"`
	// Revision, when given, must be the record's current one: the operator's
	// picture is checked, not just the instant of writing.
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
		return "", errors.New("an item holds either \"service\" or \"target\"")
	}
}

// Document is a set of items that change together.
type Document struct {
	Items []Item `json:"items" validate:"required,min=1,max=40,dive"`
}

// Validate checks every item without asking the platform.
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

// validateSize keeps a change within what nodes send each other in one message.
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

// Marker is what a change leaves under its ID.
type Marker struct {
	ID     string    `json:"id"`
	Author string    `json:"author"`
	At     time.Time `json:"at"`
	Keys   []string  `json:"keys"`
	// Fenced tells that the change was stopped, not accepted.
	Fenced bool `json:"fenced,omitempty"`
}

// Result tells what became of a change.
type Result struct {
	ID       string           `json:"id"`
	Outcome  Outcome          `json:"-"`
	Text     string           `json:"outcome"`
	Revision catalog.Revision `json:"revision,omitempty"`
	Reason   string           `json:"reason,omitempty"`
}

func result(id string, o Outcome, rev catalog.Revision, reason string) Result {
	return Result{ID: id, Outcome: o, Text: o.String(), Revision: rev, Reason: reason}
}

// Options are what an applier takes from its surroundings.
type Options struct {
	Author string
	Now    func() time.Time
	// NewID makes IDs that never repeat.
	NewID func() string
	// Sleep waits and tells whether to go on; nil waits for real.
	Sleep func(context.Context, time.Duration) bool
}

// firstPause is the first wait between tries.
const firstPause = 20 * time.Millisecond

// Applier makes changes.
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

// conflict is a failed precondition, final for this change.
type conflict struct{ reason string }

// Error implements error.
func (c *conflict) Error() string { return c.reason }

// Apply makes the change and tells its outcome.
func (a *Applier) Apply(ctx context.Context, doc Document) Result {
	return a.run(ctx, func(context.Context) (Document, error) { return doc, nil }, false)
}

// Edit makes a change that depends on what is stored: build is called anew
// when another operator was faster.
func (a *Applier) Edit(ctx context.Context, build func(context.Context) (Document, error)) Result {
	return a.run(ctx, build, true)
}

// run tries until the change is accepted or refused for good. A conflict with
// the revision of an item is final when the operator stated it, and a reason to
// build anew when build did.
func (a *Applier) run(ctx context.Context, build func(context.Context) (Document, error), rebuild bool) Result {
	var last Result
	wait := backoff.NewExponentialBackOff()
	wait.InitialInterval = firstPause
	for range attempts {
		id := a.opts.NewID()
		var again bool
		last, again = a.try(ctx, id, build, rebuild)
		if !again {
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

// try runs one attempt under an ID of its own and tells whether another may
// follow.
func (a *Applier) try(ctx context.Context, id string, build func(context.Context) (Document, error), rebuild bool) (Result, bool) {
	doc, err := build(ctx)
	if err != nil {
		return result(id, Rejected, 0, err.Error()), false
	}
	if err := doc.Validate(); err != nil {
		return result(id, Rejected, 0, err.Error()), false
	}
	txn, err := a.transaction(ctx, id, doc)
	if err != nil {
		// Nothing was written yet, whatever failed.
		var c *conflict
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

// Resolve tells what became of a change whose answer was lost. It asks until
// it knows or ctx ends.
func (a *Applier) Resolve(ctx context.Context, id string) Result {
	wait := backoff.NewExponentialBackOff()
	wait.InitialInterval = firstPause
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
	// The fence and the change exclude each other: both need the marker absent.
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
		return Result{}, errors.New("marker not readable yet")
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
