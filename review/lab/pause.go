package main

import (
	"fmt"
	"sync"
	"time"

	"github.com/poppywall/poppywall/flow"
)

func init() { cases["pause"] = playPause }

// Pauses between the end of the handshake and the first request. The idle timeout of the
// configuration is 15 s.
const (
	longPause  = 7 * time.Second
	shortPause = 500 * time.Millisecond
)

// playPause: clients open flows, pause, and send a request on the open flow. No machine, host or
// link is disturbed. With trouble the pause is 7 s, without it half a second.
func playPause(l *lab) ([]string, error) {
	front := flow.Front{IP: 0xc6120001, Port: 8080}
	routes := []route{{name: "r-move", kind: "unsafe", service: "alpha", front: front, timeout: 5 * time.Second}}
	if err := l.start([]string{"z1", "z2"}, []string{"alpha", "alpha", "alpha"}, routes); err != nil {
		return nil, err
	}
	time.Sleep(time.Second)
	hosts := map[string]*host{}
	for i, m := range l.sides {
		h, err := l.startHost(m, fmt.Sprintf("i-host%d", i+1), "alpha", "")
		if err != nil {
			return nil, err
		}
		hosts[h.id] = h
	}
	if err := l.awaitReady(); err != nil {
		return nil, err
	}
	pause := shortPause
	if l.trouble {
		pause = longPause
	}
	const flowsPerClient = 10
	var wg sync.WaitGroup
	var mu sync.Mutex
	var broken []string
	answered, failed := 0, 0
	for i, zone := range []string{"z1", "z2"} {
		c, err := l.newClient(i, zone)
		if err != nil {
			return nil, err
		}
		for n := range flowsPerClient {
			wg.Add(1)
			go func() {
				defer wg.Done()
				time.Sleep(time.Duration(n) * 50 * time.Millisecond)
				id := fmt.Sprintf("req-%s-%d", zone, n)
				f, failure := c.dial(front)
				if failure != "" {
					l.rec.logf("client: flow %s: %s", f.key, failure)
					mu.Lock()
					defer mu.Unlock()
					failed++
					return
				}
				f.acknowledge()
				l.rec.logf("client: flow %s is open", f.key)
				time.Sleep(pause)
				holder := ""
				for _, h := range hosts {
					if h.holdsOpen(f.key) {
						holder = h.id
					}
				}
				l.rec.logf("client: sends %s on flow %s, open at host %q", id, f.key, holder)
				outcome, answer := f.request(id, "POST", "/move", 5*time.Second)
				still := holder != "" && hosts[holder].holdsOpen(f.key)
				l.rec.logf("client: %s on flow %s: %s %s; open at the host: %v", id, f.key, outcome, header(answer, "Poppywall-Server-Seal"), still)
				mu.Lock()
				defer mu.Unlock()
				switch {
				case outcome == outcomeAnswered:
					answered++
				case outcome == outcomeReset && still:
					broken = append(broken, fmt.Sprintf("FLOW: the client of flow %s got a reset that host %s, which lives and holds the flow open, did not send; request %s is lost", f.key, holder, id))
				default:
					failed++
				}
				f.close()
			}()
		}
	}
	wg.Wait()
	l.rec.logf("%d requests answered, %d reset, %d otherwise failed", answered, len(broken), failed)
	if ends := l.ownEnds(); len(ends) > 0 {
		return nil, fmt.Errorf("processes ended: %v", ends)
	}
	if len(broken) == 0 && answered == 0 {
		return nil, fmt.Errorf("no request was answered")
	}
	return broken, nil
}
