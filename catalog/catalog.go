// Package catalog holds the configuration set by operators: services with their
// selectors, and labels and drains of targets. It does no I/O: a State takes
// updates and returns views of the configuration.
//
// A revision is the platform's revision of a change. A State and each of its
// records only move to higher revisions, so a stale copy, a late message or a
// paused feeder never reverts an accepted change.
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

// Revision orders accepted changes; zero is the revision before the first change.
type Revision int64

// Limits of a catalog.
const (
	// MaxRecords is the maximum number of records that a node holds: services
	// and targets, tombstones included. It is sized for 15,000 hosts of 8 targets
	// and 890 services, with headroom.
	MaxRecords = 1 << 18
	// MaxPage bounds the number of records in one update, MaxPageBytes their
	// approximate size as JSON. Records of one revision are never split over
	// updates. 256 KiB take 0.2 s on a link of 10 Mbit/s, and on one of 1 Mbit/s
	// still fit into a call of two seconds.
	MaxPage      = 512
	MaxPageBytes = 256 << 10
	// MaxChangeBytes bounds the size of the records of one revision as JSON,
	// because one update carries them all. The platform stores values of up to
	// one megabyte.
	MaxChangeBytes = 1 << 20
	// MaxLabels is the maximum number of labels of a target or selector.
	MaxLabels = 32
)

// Labels are the attributes of a target, or the selector of a service.
type Labels map[string]string

// Matches reports whether the labels contain every pair of the selector. An empty
// selector matches nothing, so that a service without one sends no traffic to any
// target.
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

// Service is the configuration of a service, which has a front address of its own.
type Service struct {
	Name string `json:"name" validate:"required,hostname_rfc1123"`
	// ID is assigned by the control tool at creation and never reused.
	ID route.ServiceID `json:"id"`
	// Address is the front address that callers connect to.
	Address string `json:"address" validate:"required,addrport4"`
	// Selector matches the labels of the targets that serve the service.
	Selector Labels `json:"selector" validate:"required,min=1,max=32,dive,keys,required,max=63,endkeys,max=63"`
	// Authorities are the authorities that requests may name; empty allows all.
	Authorities []string `json:"authorities,omitempty" validate:"max=4096,dive,required"`
	// Workspaces maps an authority to the weight of its workspace; the default
	// weight is 1. The name in stored records is "members".
	Workspaces map[string]int `json:"members,omitempty" validate:"max=4096,dive,keys,required,endkeys,gte=1,lte=1000"`
	// SlotRequests is the maximum number of requests in progress per slot of a
	// target.
	SlotRequests int `json:"slotRequests,omitempty" validate:"gte=0,lte=10000"`
	// SlotStreams is the maximum number of open streams per slot of a target.
	SlotStreams int `json:"slotStreams,omitempty" validate:"gte=0,lte=100000"`
}

// AddrPort returns the parsed front address. It panics if the address was not
// validated.
func (s *Service) AddrPort() netip.AddrPort { return netip.MustParseAddrPort(s.Address) }

// Allows reports whether requests to this service may name the authority.
func (s *Service) Allows(authority string) bool {
	return len(s.Authorities) == 0 || slices.Contains(s.Authorities, authority)
}

// Target is the operators' configuration of a target, in addition to what the
// target announces itself.
type Target struct {
	// Host is the name of the host, Name that of the target on it. With an empty
	// Name, the record applies to all targets of the host.
	Host   string `json:"host" validate:"required,hostname_rfc1123"`
	Name   string `json:"name,omitempty" validate:"omitempty,hostname_rfc1123"`
	Labels Labels `json:"labels,omitempty" validate:"max=32,dive,keys,required,max=63,endkeys,max=63"`
	// Drain takes the target out of service: it gets no new work and finishes its
	// open work.
	Drain bool `json:"drain,omitempty"`
}

// Record is the configuration of a service or target at a revision. Exactly one
// of Service and Target is set, unless Deleted. A deleted record stays as a
// tombstone, so that a late copy cannot restore it.
type Record struct {
	Key      string   `json:"key"`
	Revision Revision `json:"revision"`
	// Change is the ID of the change that wrote the record.
	Change  string   `json:"change,omitempty"`
	Deleted bool     `json:"deleted,omitempty"`
	Service *Service `json:"service,omitempty"`
	Target  *Target  `json:"target,omitempty"`
}

// Approximate sizes in JSON, in bytes, besides a record's strings.
const (
	// recordOverhead is the size of the field names and numbers of a record.
	recordOverhead = 200
	// stringOverhead is the size of a string's quotes and separator, and of escapes.
	stringOverhead = 6
)

// jsonSize returns the approximate size of the record as JSON, in bytes, without
// encoding it.
func (r *Record) jsonSize() int {
	n := recordOverhead + len(r.Key) + len(r.Change)
	if r.Service != nil {
		n += len(r.Service.Name) + len(r.Service.Address) + r.Service.Selector.jsonSize()
		for _, a := range r.Service.Authorities {
			n += stringOverhead + len(a)
		}
		for authority := range r.Service.Workspaces {
			n += 2*stringOverhead + len(authority)
		}
	}
	if r.Target != nil {
		n += len(r.Target.Host) + len(r.Target.Name) + r.Target.Labels.jsonSize()
	}
	return n
}

// jsonSize returns the approximate size of the labels as JSON, in bytes.
func (selector Labels) jsonSize() (n int) {
	for k, v := range selector {
		n += 2*stringOverhead + len(k) + len(v)
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
			return errors.Errorf("key %q does not match service %q", r.Key, r.Service.Name)
		}
		return settings.Validate(r.Service)
	case r.Target != nil && r.Service == nil:
		if r.Key != TargetKey(r.Target.Host, r.Target.Name) {
			return errors.Errorf("key %q does not match target %q", r.Key, r.Target.Host)
		}
		return settings.Validate(r.Target)
	default:
		return errors.Errorf("record %q must hold a service or a target", r.Key)
	}
}

// ParseRecord decodes and validates the stored value of a record.
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

// IsService reports whether the record's key is that of a service.
func (r *Record) IsService() bool { return strings.HasPrefix(r.Key, ServicePrefix) }

// ForHost reports whether the agent of the host needs the record: it needs all
// services, and the targets of its host.
func (r *Record) ForHost(host string) bool {
	return r.IsService() || strings.HasPrefix(r.Key, TargetPrefix+host+"/")
}

// SortByRevision sorts records by revision, then by key.
func SortByRevision(records []Record) {
	slices.SortFunc(records, func(a, b Record) int {
		return cmp.Or(cmp.Compare(a.Revision, b.Revision), cmp.Compare(a.Key, b.Key))
	})
}
