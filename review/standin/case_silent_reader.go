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
	turnedAway  = 5 * time.Second
	rounds      = 7
)

// silentReader adds a route to plain requests, several times, each time just after the store
// has begun to leave one host without answers. Clients send requests on the route to the other
// hosts later than the bound for new configurations.
func silentReader(f *fleet) string {
	for n := range 2 {
		f.servers = append(f.servers, &server{id: fmt.Sprintf("record-%d", n), service: plains, slots: 6, workTime: 5 * time.Millisecond})
	}
	watches := &watchLog{last: map[*node]time.Time{}, longest: map[*node]time.Duration{}}
	watching := make(chan *node)
	f.onStoreCall = func(n *node, r *http.Request) {
		if r.URL.Path != "/kv-watch" || r.URL.Query().Get("prefix") != "op/" {
			return
		}
		watches.add(n)
		select {
		case watching <- n:
		default:
		}
	}
	f.start(6)
	watches.reset(f.nodes)
	time.Sleep(16 * time.Second)
	var readers []*node
	for _, n := range f.nodes {
		if watches.longestPause(n) < 2*time.Second {
			readers = append(readers, n)
			f.record.printf("%s watches the configuration at the store all the time", n.name)
		}
	}
	if len(readers) == 0 {
		check(fmt.Errorf("no host watches the configuration at the store all the time"))
	}
	refused, sent, worst := 0, 0, time.Duration(0)
	for round := range rounds {
		away := readers[round%len(readers)]
		if !awaitWatch(watching, away) {
			f.record.printf("no watch of %s has reached the store", away.name)
			continue
		}
		time.Sleep(20 * time.Millisecond)
		if f.trouble {
			f.record.printf("the store leaves %s without answers", away.name)
			away.toStore.setSilent(true)
		}
		time.Sleep(20 * time.Millisecond)
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
		time.Sleep(4 * time.Second)
	}
	f.record.printf("%d of %d requests on routes that were confirmed over %s before got 404", refused, sent, configApply)
	if sent == 0 {
		check(fmt.Errorf("no request was sent"))
	}
	if refused > 0 {
		return fmt.Sprintf("CONFIG: %d of %d requests to hosts in touch, sent up to %.1f s after the confirmation, got 404 though the route is there",
			refused, sent, worst.Seconds())
	}
	return ""
}

// watchLog holds the longest time between two watches of each host.
type watchLog struct {
	mu      sync.Mutex
	last    map[*node]time.Time
	longest map[*node]time.Duration
}

func (w *watchLog) add(n *node) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if last, ok := w.last[n]; ok {
		w.longest[n] = max(w.longest[n], time.Since(last))
	}
	w.last[n] = time.Now()
}

// reset begins a new observation of the hosts.
func (w *watchLog) reset(nodes []*node) {
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, n := range nodes {
		w.last[n], w.longest[n] = time.Now(), 0
	}
}

func (w *watchLog) longestPause(n *node) time.Duration {
	w.mu.Lock()
	defer w.mu.Unlock()
	return max(w.longest[n], time.Since(w.last[n]))
}

// awaitWatch waits until a watch of a host has reached the store. It returns false if none
// does for some seconds.
func awaitWatch(watching <-chan *node, host *node) bool {
	limit := time.After(5 * time.Second)
	for {
		select {
		case n := <-watching:
			if n == host {
				return true
			}
		case <-limit:
			return false
		}
	}
}
