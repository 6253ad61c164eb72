package agent

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/poppywall/poppywall/admission"
	"github.com/poppywall/poppywall/catalog"
	"github.com/poppywall/poppywall/route"
)

func announcement(i int, service string) Announcement {
	return Announcement{Address: fmt.Sprintf("127.0.0.1:%d", 1000+i), Slots: 2, Labels: catalog.Labels{"service": service}}
}

// TestLeavingTargetsGetNoNewRequests announces, removes, drains, relabels and
// expires targets in random order. A request may run only at a target that serves
// its service and is not draining, by the latest announcements and the operators'
// configuration. Points 2 and 6 of docs/GUARANTEES.md, enforced by the agent
// whatever state the balancers have.
func TestLeavingTargetsGetNoNewRequests(t *testing.T) {
	const ttl = 3 * time.Second
	names := []string{"one", "two", "three"}
	serviceNames := []string{"tables", "intake"}
	rapid.Check(t, func(t *rapid.T) {
		now, rev := t0, catalog.Revision(0)
		reg, cat := newTargetRegistry("h", ttl), catalog.NewState()
		g := newGate(func() time.Time { return now }, rand.New(rand.NewPCG(1, 1)))
		announced := map[string]Announcement{}
		lastSeen := map[string]time.Time{}
		labels := map[string]string{} // the operators' label, which overrides the target's
		drained := map[string]bool{}
		apply := func(r catalog.Record) {
			from := rev
			rev++
			r.Revision = rev
			_, err := cat.Apply(catalog.Update{From: from, To: rev, Records: []catalog.Record{r}})
			require.NoError(t, err)
		}
		for i, s := range serviceNames {
			apply(catalog.Record{Key: catalog.ServiceKey(s), Service: &catalog.Service{
				Name: s, ID: route.ServiceID(i + 1), Address: fmt.Sprintf("127.0.0.1:%d", i+1), Selector: catalog.Labels{"service": s},
			}})
		}
		applyPlan := func() {
			p := reg.plan(cat, false)
			services := map[route.ServiceID][]string{1: nil, 2: nil}
			for id, list := range p.targetNames {
				services[id] = list
			}
			g.setTargets(p.targets, services)
		}
		configureTarget := func(name string) {
			target := &catalog.Target{Host: "h", Name: name, Drain: drained[name]}
			if l := labels[name]; l != "" {
				target.Labels = catalog.Labels{"service": l}
			}
			apply(catalog.Record{Key: catalog.TargetKey("h", name), Target: target})
		}
		serves := func(name, service string) bool {
			a, known := announced[name]
			label := a.Labels["service"]
			if labels[name] != "" {
				label = labels[name]
			}
			return known && !a.Draining && !drained[name] && label == service
		}
		drawName := func(t *rapid.T) string { return rapid.SampledFrom(names).Draw(t, "target") }
		t.Repeat(map[string]func(*rapid.T){
			"announce": func(t *rapid.T) {
				name := drawName(t)
				i := rapid.IntRange(0, 2).Draw(t, "address")
				a := announcement(i, rapid.SampledFrom(serviceNames).Draw(t, "service"))
				a.Draining = rapid.Bool().Draw(t, "draining")
				_, err := reg.put(now, name, a)
				addressTaken := false
				for other, o := range announced {
					addressTaken = addressTaken || (other != name && o.Address == a.Address)
				}
				require.Equal(t, addressTaken, err != nil)
				if err == nil {
					announced[name], lastSeen[name] = a, now
				}
			},
			"exit": func(t *rapid.T) {
				name := drawName(t)
				reg.remove(name)
				delete(announced, name)
			},
			"label": func(t *rapid.T) {
				name := drawName(t)
				labels[name] = rapid.SampledFrom([]string{"", "tables", "intake"}).Draw(t, "label")
				configureTarget(name)
			},
			"drain": func(t *rapid.T) {
				name := drawName(t)
				drained[name] = rapid.Bool().Draw(t, "drain")
				configureTarget(name)
			},
			"time": func(t *rapid.T) {
				now = now.Add(time.Duration(rapid.IntRange(0, 4000).Draw(t, "ms")) * time.Millisecond)
				reg.expire(now)
				for name := range announced {
					if now.Sub(lastSeen[name]) > ttl {
						delete(announced, name)
					}
				}
			},
			"request": func(t *rapid.T) {
				applyPlan()
				id := rapid.IntRange(1, 2).Draw(t, "service")
				class := admission.Class(rapid.IntRange(0, 1).Draw(t, "class"))
				d, _ := g.offer(admission.Offer{Service: route.ServiceID(id), Class: class})
				eligible := 0
				for _, name := range names {
					if serves(name, serviceNames[id-1]) {
						eligible++
					}
				}
				if d.Action == admission.Run {
					require.True(t, serves(d.Target, serviceNames[id-1]), "the request ran at %s, which is leaving or does not serve its service", d.Target)
					return
				}
				if d.Action == admission.Refuse && d.Reason == admission.NoTarget {
					require.Zero(t, eligible)
				}
			},
		})
	})
}

func TestAnnouncementsAreChecked(t *testing.T) {
	reg := newTargetRegistry("h", time.Second)
	for name, invalidate := range map[string]func(*Announcement){
		"off loopback": func(a *Announcement) { a.Address = "10.0.0.1:1" },
		"no slots":     func(a *Announcement) { a.Slots = 0 },
		"address":      func(a *Announcement) { a.Address = "x" },
	} {
		a := announcement(1, "s")
		invalidate(&a)
		_, err := reg.put(t0, "t", a)
		require.Error(t, err, name)
	}
	for i := range maxTargets + 1 {
		_, err := reg.put(t0, fmt.Sprint(i), announcement(i, "s"))
		require.Equal(t, i >= maxTargets, err != nil)
	}
}
