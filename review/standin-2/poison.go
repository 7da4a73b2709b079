package main

import (
	"bytes"
	"encoding/base64"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"
)

func init() { cases["poison"] = poisonReward }

const (
	poisonBody = "this crashes a server"
	// A server that has crashed is back after backAfter.
	backAfter = 2 * time.Second
	// contact is contactMs, and allowedRetries how many retries may reach servers later than that
	// after the third crash.
	contact        = 3 * time.Second
	allowedRetries = 3
)

// crashing is a server of a plain service that crashes when it begins to run one request.
type crashing struct {
	*server
	crash   func(id string)
	crashed atomic.Bool
}

// open starts the server's process, at the address that it had.
func (c *crashing) open(address string) {
	var listener net.Listener
	var err error
	for range 50 {
		if listener, err = net.Listen("tcp", address); err == nil {
			break
		}
		time.Sleep(20 * time.Millisecond)
	}
	if err != nil {
		panic(err)
	}
	c.mu.Lock()
	c.address, c.born, c.running = listener.Addr().String(), time.Now().UnixMilli(), 0
	c.http = &http.Server{Handler: c.server}
	c.mu.Unlock()
	c.crashed.Store(false)
	go func() { _ = c.http.Serve(listener) }()
	c.register()
}

// poisonReward has an item whose reward call crashes each server that runs it.
func poisonReward(w *world) int {
	routes := batchRoutes()
	w.sendConfig(1, routes, "m0")
	for i := range engines {
		(&server{
			world: w, id: fmt.Sprintf("i-engine-%d", i), service: "huvo11a", zone: fmt.Sprintf("z%d", i%4), ip: w.ip(201), slots: engineSlots,
			kvTokens: engineTokens, model: "m0", eventTime: 20 * time.Millisecond, eventBytes: 400,
		}).start()
	}
	var mu sync.Mutex
	var crashes []time.Time
	for i := range 4 {
		c := &crashing{server: &server{world: w, id: fmt.Sprintf("i-app-%d", i), service: "wuno96b", zone: fmt.Sprintf("z%d", i), ip: w.ip(202), slots: 6, work: 25 * time.Millisecond}}
		c.perID = map[string][]*interval{}
		c.answer = func(_ http.ResponseWriter, r *http.Request, body []byte) bool {
			if !bytes.Equal(body, []byte(poisonBody)) {
				return false
			}
			if !c.crashed.CompareAndSwap(false, true) {
				panic(http.ErrAbortHandler)
			}
			mu.Lock()
			crashes = append(crashes, time.Now())
			n := len(crashes)
			mu.Unlock()
			w.note("server %s: crash %d, under reward call %s", c.id, n, r.Header.Get("X-Request-Id"))
			address := c.address
			_ = c.http.Close()
			time.AfterFunc(backAfter, func() { c.open(address) })
			panic(http.ErrAbortHandler)
		}
		c.open(w.ip(202) + ":0")
		go func() {
			for range time.Tick(1200 * time.Millisecond) {
				if !c.crashed.Load() {
					c.register()
				}
			}
		}()
	}
	w.addHosts(4, 134, []string{"z0", "z1", "z2", "z3"})
	var served, refused atomic.Int64
	done := make(chan struct{})
	var clients sync.WaitGroup
	for n, h := range w.hosts {
		clients.Add(1)
		go func() {
			defer clients.Done()
			for {
				select {
				case <-done:
					return
				case <-time.After(400 * time.Millisecond):
				}
				id := w.id()
				r := call("POST", h.front(), hostName, singlePrefix+"2f", map[string]string{"X-Request-Id": id, "X-Deadline-Ms": "2000"}, []byte("x"), 2*time.Second)
				if r.err == nil && r.status == 200 {
					served.Add(1)
				} else {
					refused.Add(1)
				}
				w.note("client %d: ordinary request %s to %s: %s", n, id, h.name, r)
			}
		}()
	}
	body, ids := w.newBatch(0, 5, 8, 600, 255)
	var decoded map[string]any
	if err := json.Unmarshal(body, &decoded); err != nil {
		panic(err)
	}
	for n, i := range decoded["items"].([]any) {
		text := fmt.Sprintf("score %d", n)
		if w.trouble && n == 0 {
			text = poisonBody
		}
		i.(map[string]any)["scorer"] = map[string]any{
			"id": w.id(), "host": hostName, "path": singlePrefix + "5e07", "body": base64.StdEncoding.EncodeToString([]byte(text)),
		}
	}
	body, _ = json.Marshal(decoded)
	id, asked := w.id(), time.Now()
	if r := w.submit(id, body, 0); r.status != 202 {
		fail("the batch was not accepted")
	}
	after, listed := 0, 0
	for listed < len(ids) && time.Since(asked) < trainerBudget {
		p, r := w.read(id, after, 1)
		after, listed = max(after, p.Next), listed+len(p.Results)
		w.note("trainer: %s, %d of %d listed", r, listed, len(ids))
		time.Sleep(500 * time.Millisecond)
	}
	w.note("trainer: end of %s: %s", id, call("DELETE", w.hosts[0].front(), hostName, "/lots/"+id, nil, nil, 4*time.Second))
	close(done)
	clients.Wait()
	mu.Lock()
	defer mu.Unlock()
	late := 0
	for _, at := range crashes {
		if len(crashes) >= 3 && at.Sub(crashes[2]) > contact {
			late++
		}
	}
	w.note("the reward call crashed servers %d times, %d of them more than %s after the third; ordinary requests: %d served, %d not; %d of %d items listed",
		len(crashes), late, contact, served.Load(), refused.Load(), listed, len(ids))
	if late > allowedRetries {
		return broken
	}
	return held
}
