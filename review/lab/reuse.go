package main

import (
	"fmt"
	"sync"
	"syscall"
	"time"

	"github.com/poppywall/poppywall/flow"
)

func init() { cases["reuse"] = playReuse }

// playReuse: a host of service alpha crashes, and after the time for which addresses are not used
// again a host of another service starts at its address. The settings file of the machine changes
// to that service, and the process gets SIGHUP. Without trouble the new host is one of alpha, and
// the settings stay as they are.
func playReuse(l *lab) ([]string, error) {
	alpha, beta := flow.Front{IP: 0xc6120001, Port: 8080}, flow.Front{IP: 0xc6120002, Port: 8443}
	routes := []route{
		{name: "r-move", kind: "unsafe", service: "alpha", front: alpha, timeout: 2500 * time.Millisecond},
		{name: "r-upload", kind: "upload", service: "beta", front: beta, timeout: 5 * time.Second},
	}
	if err := l.start([]string{"z1", "z2"}, []string{"alpha", "alpha", "beta", "beta"}, routes); err != nil {
		return nil, err
	}
	time.Sleep(time.Second)
	var hosts []*host
	for i, m := range l.sides {
		h, err := l.startHost(m, fmt.Sprintf("i-host%d", i+1), m.service, "")
		if err != nil {
			return nil, err
		}
		hosts = append(hosts, h)
	}
	if err := l.awaitReady(); err != nil {
		return nil, err
	}
	service := map[string]string{}
	stop := make(chan struct{})
	var wg sync.WaitGroup
	var mu sync.Mutex
	outcomes := map[string]int{}
	for i, zone := range []string{"z1", "z2"} {
		c, err := l.newClient(i, zone)
		if err != nil {
			return nil, err
		}
		wg.Add(1)
		go func() {
			defer wg.Done()
			for n := 0; ; n++ {
				select {
				case <-stop:
					return
				case <-time.After(60 * time.Millisecond):
				}
				wanted, front := "alpha", alpha
				if n%4 == 0 {
					wanted, front = "beta", beta
				}
				id := fmt.Sprintf("req-%s-%s-%d", wanted, zone, n)
				mu.Lock()
				service[id] = wanted
				mu.Unlock()
				wg.Add(1)
				go func() {
					defer wg.Done()
					outcome, answer := c.oneRequest(front, id)
					l.rec.logf("client: %s: %s %s", id, outcome, header(answer, "Poppywall-Service"))
					mu.Lock()
					defer mu.Unlock()
					outcomes[outcome]++
				}()
			}
		}()
	}
	time.Sleep(3 * time.Second)
	victim := l.sides[0]
	hosts[0].crash()
	l.rec.logf("host %s crashes", hosts[0].id)
	time.Sleep(addressReuse + 500*time.Millisecond)
	next := "alpha"
	if l.trouble {
		next = "beta"
	}
	victim.settings["service"] = next
	if err := victim.writeSettings(); err != nil {
		return nil, err
	}
	victim.signal(syscall.SIGHUP)
	time.Sleep(500 * time.Millisecond)
	if _, err := l.startHost(victim, "i-next", next, ""); err != nil {
		return nil, err
	}
	time.Sleep(stableBound + 6*time.Second)
	close(stop)
	wg.Wait()
	var broken []string
	for _, r := range l.rec.allRuns() {
		if service[r.request] != r.service {
			broken = append(broken, fmt.Sprintf("ROUTE: request %s for service %s was run by host %s of service %s, %.3f s after the start", r.request, service[r.request], r.host, r.service, r.at.Seconds()))
		}
	}
	l.rec.logf("requests: %v", outcomes)
	if ends := l.ownEnds(); len(ends) > 0 {
		return nil, fmt.Errorf("processes ended: %v", ends)
	}
	if outcomes[outcomeAnswered] == 0 {
		return nil, fmt.Errorf("no request was answered")
	}
	return broken, nil
}
