package main

import (
	"fmt"
	"net/http"
	"sync"
	"time"
)

func init() { cases["silent-reader"] = silentReader }

const (
	addedPrefix = "/added/"
	// configApply is the bound configApplyMs, and turnedAway how long the store leaves a host
	// without answers.
	configApply = 2 * time.Second
	turnedAway  = 9 * time.Second
	rounds      = 3
)

// silentReader adds a route to plain requests, several times, each time just after the store
// has begun to leave one host without answers. Clients send requests on the route to the other
// hosts later than the bound for new configurations.
func silentReader(f *fleet) string {
	for n := range 2 {
		f.servers = append(f.servers, &server{id: fmt.Sprintf("record-%d", n), service: plains, slots: 6, workTime: 5 * time.Millisecond})
	}
	var mu sync.Mutex
	watches := map[string]int{}
	f.onStoreCall = func(n *node, r *http.Request) {
		if r.URL.Path == "/kv-watch" && r.URL.Query().Get("prefix") == "op/" {
			mu.Lock()
			watches[n.name]++
			mu.Unlock()
		}
	}
	f.start(6)
	mu.Lock()
	clear(watches)
	mu.Unlock()
	time.Sleep(4 * time.Second)
	var readers []*node
	for _, n := range f.nodes {
		mu.Lock()
		if watches[n.name] > 0 {
			readers = append(readers, n)
		}
		mu.Unlock()
	}
	if len(readers) == 0 {
		check(fmt.Errorf("no host watches the store"))
	}
	refused, sent, worst := 0, 0, time.Duration(0)
	for round := range rounds {
		away := readers[round%len(readers)]
		if f.trouble {
			f.record.printf("the store leaves %s without answers", away.name)
			away.toStore.setSilent(true)
		}
		time.Sleep(100 * time.Millisecond)
		prefix := fmt.Sprintf("%s%d/", addedPrefix, round)
		f.store.put("op/config", config(round+2, map[string]any{
			"name": "added", "host": routeHost, "prefix": prefix, "kind": "idempotent", "timeoutMs": 2000, "latencySloMs": 150,
			"priority": 2, "service": plains, "maxAttempts": 2,
		}))
		confirmed := time.Now()
		f.record.printf("configuration %d with the route %s is confirmed", round+2, prefix)
		time.Sleep(configApply + 20*time.Millisecond)
		for time.Since(confirmed) < turnedAway-200*time.Millisecond {
			for _, n := range f.nodes {
				if n == away {
					continue
				}
				sentAfter := time.Since(confirmed)
				id := fmt.Sprintf("request-%d-%s-%d", round, n.name, sentAfter.Microseconds())
				status, _ := f.call(n, http.MethodPost, prefix+"x", map[string]string{"X-Request-Id": id, "X-Deadline-Ms": "2000"}, []byte("body"), 2*time.Second)
				sent++
				if status == http.StatusNotFound {
					refused++
					worst = max(worst, sentAfter)
					f.record.printf("request %s to %s, sent %.3f s after the confirmation, is answered with 404", id, n.name, sentAfter.Seconds())
				}
			}
			time.Sleep(50 * time.Millisecond)
		}
		away.toStore.setSilent(false)
		f.record.printf("the store serves %s again", away.name)
		time.Sleep(6 * time.Second)
	}
	f.record.printf("%d of %d requests on routes that were confirmed over %s before got 404", refused, sent, configApply)
	if refused > 0 {
		return fmt.Sprintf("CONFIG: %d of %d requests to hosts in touch, sent up to %.1f s after the confirmation, got 404 though the route is there",
			refused, sent, worst.Seconds())
	}
	return ""
}
