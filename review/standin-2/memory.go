package main

import (
	"fmt"
	"sync"
	"time"
)

// The day counts nothing if processes of machinesAtFault machines (more in large deployments) end
// by themselves ownEnds times.
const ownEnds, machinesAtFault = 3, 2

// startApps starts the servers of a plain service.
func (w *world) startApps() {
	for i := range 4 {
		(&server{world: w, id: fmt.Sprintf("i-app-%d", i), service: "wuno96b", zone: fmt.Sprintf("z%d", i), ip: w.ip(202), slots: 6, work: 25 * time.Millisecond}).start()
	}
}

// ordinaryClients sends an ordinary request to each node each second until stop is called.
func (w *world) ordinaryClients() (stop func()) {
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
				case <-time.After(time.Second):
				}
				id := w.id()
				r := call("POST", h.front(), hostName, singlePrefix+"2f", map[string]string{"X-Request-Id": id, "X-Deadline-Ms": "2000"}, []byte("x"), 2*time.Second)
				w.note("client %d: ordinary request %s to %s: %s", n, id, h.name, r)
			}
		}()
	}
	return func() {
		close(done)
		clients.Wait()
	}
}

// judgeEnds counts the machines whose processes ended by themselves too often.
func (w *world) judgeEnds() int {
	atFault := 0
	for _, h := range w.hosts {
		h.mu.Lock()
		w.note("%s: ended %d times by itself, at most %.0f MB of %d MB", h.name, h.ends, h.peakMB, h.memoryMB)
		if h.ends >= ownEnds {
			atFault++
		}
		h.mu.Unlock()
	}
	w.note("machines with %d ends or more: %d of %d", ownEnds, atFault, len(w.hosts))
	if atFault >= machinesAtFault {
		return broken
	}
	return held
}
