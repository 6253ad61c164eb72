package main

import (
	"fmt"
	"net/netip"
	"os"
	"time"
)

// The case: a configuration adds a route to a new service. Its name has the same 32-bit tag as that of
// a service that is there already (trouble), or another one.
func main() {
	rec := newRecord(os.Getenv("RECORD"))
	trouble := os.Getenv("TROUBLE") != "0"
	s := newSite(rec)
	defer s.stop(false)
	alpha := route{name: "r-alpha", front: netip.MustParseAddrPort("127.18.0.1:8080"), service: "gojo24a"}
	added := route{name: "r-added", front: netip.MustParseAddrPort("127.18.0.2:8443"), service: "huzu17b"}
	if !trouble {
		added.service = "huzu18b"
	}
	s.putConfig(alpha)
	s.addBalancers(2)
	for _, service := range []string{alpha.service, alpha.service, added.service, added.service} {
		s.addAgent(service)
	}
	for _, n := range started {
		n.begin(s.target)
	}
	var hosts []*host
	start := func(n *node) {
		hosts = append(hosts, startHost(rec, hostConfig{service: n.settings["service"].(string), agent: n, slots: 5, work: 40 * time.Millisecond}))
	}
	start(s.agents[0])
	start(s.agents[1])
	s.startRouter()
	s.awaitReady()
	time.Sleep(2 * time.Second)
	c := newClient(s, 0)
	for i := range 20 {
		if service, err := c.once(alpha.front, fmt.Sprintf("before-%d", i)); err != nil || service != alpha.service {
			fmt.Println("the deployment does not serve")
			s.stop(true)
			os.Exit(exitUnable)
		}
	}

	// Hosts of the new service start, then the configuration with its route is confirmed.
	start(s.agents[2])
	start(s.agents[3])
	time.Sleep(2 * time.Second)
	s.putConfig(alpha, added)
	time.Sleep(4 * time.Second)
	for i := range 20 {
		_, _ = c.once(alpha.front, fmt.Sprintf("after-%s-%d", alpha.name, i))
		_, _ = c.once(added.front, fmt.Sprintf("after-%s-%d", added.name, i))
	}
	time.Sleep(500 * time.Millisecond)

	wrong, right := 0, 0
	for _, h := range hosts {
		for _, r := range h.ran() {
			if (r.front == alpha.front) != (r.service == alpha.service) {
				wrong++
				rec.add("ROUTE     request %s to %s was run by host %s of service %s", r.request, r.front, r.host, r.service)
				continue
			}
			right++
		}
	}
	verdict := fmt.Sprintf("requests run by their own service: %d, by another one: %d", right, wrong)
	rec.add("%s", verdict)
	fmt.Println(verdict)
	if wrong > 0 {
		s.stop(false)
		os.Exit(exitBroken)
	}
}
