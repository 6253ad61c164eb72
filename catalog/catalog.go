// Package catalog holds what operators configure: services with selectors, and
// labels and drains of targets. It is pure: revisions and changes come in,
// views go out.
//
// A revision is the platform's revision of a change. A State only moves to
// higher revisions, record by record, so no stale copy, late message or paused
// feeder can revert an accepted change (brief: "never reverts").
package catalog

import (
	"cmp"
	"encoding/json"
	"net/netip"
	"slices"
	"strings"

	"github.com/go-faster/errors"

	"github.com/poppywall/poppywall/route"
	"github.com/poppywall/poppywall/settings"
)

// Revision orders accepted changes; zero is "nothing known".
type Revision int64

// Limits of a catalog; a node refuses to grow past them.
const (
	// MaxRecords bounds the records that a node holds: services plus targets,
	// tombstones included. 15,000 hosts of 8 targets, 890 services, and room.
	MaxRecords = 1 << 18
	// MaxPage is the number of records in one update, MaxPageBytes about their size
	// as JSON; records of one revision are never split. 256 KiB pass a link of 10 Mbit/s
	// in 0.2 s, so that a call of two seconds brings a page over one of 1 Mbit/s, too.
	MaxPage      = 512
	MaxPageBytes = 256 << 10
	// MaxChangeBytes bounds the records of one revision, as JSON, for an update carries
	// them together. The platform holds values up to a megabyte.
	MaxChangeBytes = 1 << 20
	// MaxLabels bounds the labels of a target or selector.
	MaxLabels = 32
)

// Labels are a target's attributes.
type Labels map[string]string

// Matches tells whether labels satisfy the selector: every pair is present. An
// empty selector matches nothing, so that a forgotten one takes no traffic.
func (selector Labels) Matches(labels Labels) bool {
	if len(selector) == 0 {
		return false
	}
	for k, v := range selector {
		if got, ok := labels[k]; !ok || got != v {
			return false
		}
	}
	return true
}

// Service is one service behind an address of its own.
type Service struct {
	Name string `json:"name" validate:"required,hostname_rfc1123"`
	// ID is given by the control tool at creation and never reused.
	ID route.ServiceID `json:"id"`
	// Address is the front address that callers use.
	Address string `json:"address" validate:"required,addrport4"`
	// Selector decides which targets serve the traffic.
	Selector Labels `json:"selector" validate:"required,min=1,max=32,dive,keys,required,max=63,endkeys,max=63"`
	// Authorities are the names callers may ask for; empty allows all.
	Authorities []string `json:"authorities,omitempty" validate:"max=4096,dive,required"`
	// Workspaces maps an authority to its workspace's weight (in stored records still "members"); authorities not named
	// weigh 1.
	Workspaces map[string]int `json:"members,omitempty" validate:"max=4096,dive,keys,required,endkeys,gte=1,lte=1000"`
	// SlotRequests bounds the requests in progress at one slot of a target.
	SlotRequests int `json:"slotRequests,omitempty" validate:"gte=0,lte=10000"`
	// SlotStreams bounds the open streams at one slot of a target.
	SlotStreams int `json:"slotStreams,omitempty" validate:"gte=0,lte=100000"`
}

// AddrPort returns the validated front address.
func (s *Service) AddrPort() netip.AddrPort { return netip.MustParseAddrPort(s.Address) }

// Allows tells whether callers may ask this service for the authority.
func (s *Service) Allows(authority string) bool {
	return len(s.Authorities) == 0 || slices.Contains(s.Authorities, authority)
}

// Target is what an operator states about a target, on top of what the target
// announces itself.
type Target struct {
	// Host is the name of the host, Name the target's name on it; an empty
	// Name speaks of all targets of the host.
	Host   string `json:"host" validate:"required,hostname_rfc1123"`
	Name   string `json:"name,omitempty" validate:"omitempty,hostname_rfc1123"`
	Labels Labels `json:"labels,omitempty" validate:"max=32,dive,keys,required,max=63,endkeys,max=63"`
	// Drain takes the target out of service: no new work, open work ends.
	Drain bool `json:"drain,omitempty"`
}

// Record is one configured thing at a revision. Exactly one of Service and
// Target is set, unless Deleted. Deletion keeps a tombstone, so that a late
// copy cannot bring the record back.
type Record struct {
	Key      string   `json:"key"`
	Revision Revision `json:"revision"`
	// Change is the ID of the change that wrote the record.
	Change  string   `json:"change,omitempty"`
	Deleted bool     `json:"deleted,omitempty"`
	Service *Service `json:"service,omitempty"`
	Target  *Target  `json:"target,omitempty"`
}

// Bytes of JSON beside a record's texts, roughly.
const (
	// recordOverhead is for the names of fields and for numbers.
	recordOverhead = 200
	// textOverhead is for the quotes, the comma and what has to be escaped in a text.
	textOverhead = 6
)

// size is about how many bytes the record takes as JSON, without encoding it.
func (r *Record) size() int {
	n := recordOverhead + len(r.Key) + len(r.Change)
	if r.Service != nil {
		n += len(r.Service.Name) + len(r.Service.Address) + r.Service.Selector.size()
		for _, a := range r.Service.Authorities {
			n += textOverhead + len(a)
		}
		for m := range r.Service.Workspaces {
			n += 2*textOverhead + len(m)
		}
	}
	if r.Target != nil {
		n += len(r.Target.Host) + len(r.Target.Name) + r.Target.Labels.size()
	}
	return n
}

// size is about how many bytes the labels take as JSON.
func (selector Labels) size() (n int) {
	for k, v := range selector {
		n += 2*textOverhead + len(k) + len(v)
	}
	return n
}

// Key prefixes of records.
const (
	ServicePrefix = "services/"
	TargetPrefix  = "targets/"
)

// ServiceKey returns the key of a service's record.
func ServiceKey(name string) string { return ServicePrefix + name }

// TargetKey returns the key of a target's record.
func TargetKey(host, name string) string { return TargetPrefix + host + "/" + name }

// Validate checks a record's content against its key.
func (r *Record) Validate() error {
	switch {
	case r.Deleted:
		return nil
	case r.Service != nil && r.Target == nil:
		if r.Key != ServiceKey(r.Service.Name) {
			return errors.Errorf("key %q does not fit service %q", r.Key, r.Service.Name)
		}
		return settings.Validate(r.Service)
	case r.Target != nil && r.Service == nil:
		if r.Key != TargetKey(r.Target.Host, r.Target.Name) {
			return errors.Errorf("key %q does not fit target %q", r.Key, r.Target.Host)
		}
		return settings.Validate(r.Target)
	default:
		return errors.Errorf("record %q must hold a service or a target", r.Key)
	}
}

// ParseRecord decodes a stored value.
func ParseRecord(key string, revision Revision, value []byte) (Record, error) {
	var r Record
	if err := json.Unmarshal(value, &r); err != nil {
		return Record{}, errors.Wrapf(err, "record %q", key)
	}
	r.Key, r.Revision = key, revision
	if err := r.Validate(); err != nil {
		return Record{}, errors.Wrapf(err, "record %q", key)
	}
	return r, nil
}

// IsService tells whether the record's key is a service's.
func (r *Record) IsService() bool { return strings.HasPrefix(r.Key, ServicePrefix) }

// ForHost tells whether an agent of the host needs the record: every service,
// and the host's own targets.
func (r *Record) ForHost(host string) bool {
	return r.IsService() || strings.HasPrefix(r.Key, TargetPrefix+host+"/")
}

// SortByRevision orders records oldest change first.
func SortByRevision(records []Record) {
	slices.SortFunc(records, func(a, b Record) int {
		return cmp.Or(cmp.Compare(a.Revision, b.Revision), cmp.Compare(a.Key, b.Key))
	})
}
