package main

import (
	"fmt"
	"time"
)

func init() { cases["starve"] = starve }

const (
	engines, engineSlots = 9, 16
	engineTokens         = 47645
	lostAfter            = 5 * time.Second
)

// starve has a trainer ask for two steps. The prompts of the first are larger than the memory of
// a server, which rejects them as if it were full. The second is an ordinary step.
func starve(w *world) int {
	w.sendConfig(1, batchRoutes(), "m0")
	var servers []*server
	for i := range engines {
		s := &server{
			world: w, id: fmt.Sprintf("i-engine-%d", i), service: "huvo11a", zone: fmt.Sprintf("z%d", i%4), ip: w.ip(201), slots: engineSlots,
			kvTokens: engineTokens, model: "m0", eventTime: 20 * time.Millisecond, eventBytes: 400,
		}
		s.start()
		servers = append(servers, s)
	}
	w.addHosts(6, 134, []string{"z0", "z1", "z2", "z3"})
	shared := 255
	if w.trouble {
		shared = 60000
	}
	first, _ := w.newBatch(0, 17, 8, 600, shared)
	second, ids := w.newBatch(1, 33, 8, 600, 255)
	firstID, secondID := w.id(), w.id()
	if r := w.submit(firstID, first, 0); r.status != 202 {
		fail("the first batch was not accepted")
	}
	time.Sleep(500 * time.Millisecond)
	asked := time.Now()
	if r := w.submit(secondID, second, 1); r.status != 202 {
		fail("the second batch was not accepted")
	}
	// Both are read until the second is complete or out of time.
	listed, mostRunning, next := map[string]bool{}, 0, asked.Add(500*time.Millisecond)
	after := 0
	for len(listed) < len(ids) && time.Since(asked) < trainerBudget {
		running, rejected, runs := 0, 0, 0
		for _, s := range servers {
			s.mu.Lock()
			running, rejected, runs = running+s.running, rejected+s.rejected, runs+s.runs
			s.mu.Unlock()
		}
		if time.Since(asked) > trainerBudget-lostAfter {
			mostRunning = max(mostRunning, running)
		}
		if time.Now().After(next) {
			next = next.Add(500 * time.Millisecond)
			p, r := w.read(secondID, after, 2)
			for _, result := range p.Results {
				listed[result.ID] = true
			}
			after = max(after, p.Next)
			w.note("trainer: step 1: %s, %d of %d listed; at servers now %d, runs %d, rejected %d", r, len(listed), len(ids), running, runs, rejected)
		}
		time.Sleep(10 * time.Millisecond)
	}
	end := time.Now()
	for _, id := range []string{secondID, firstID} {
		w.note("trainer: end of %s: %s", id, call("DELETE", w.hosts[3].front(), hostName, "/lots/"+id, nil, nil, 4*time.Second))
	}
	return w.judgeStep(servers, ids, listed, asked, end, mostRunning)
}

// judgeStep looks for items of the step that count as lost.
func (w *world) judgeStep(servers []*server, ids []string, listed map[string]bool, asked, end time.Time, mostRunning int) int {
	begun, lost := 0, 0
	for _, id := range ids {
		last, finished, ran := asked, false, false
		for _, s := range servers {
			for _, i := range s.intervals(id) {
				ran, finished = true, finished || i.finished
				if i.ended.IsZero() {
					last = end
				} else if i.ended.After(last) {
					last = i.ended
				}
			}
		}
		if ran {
			begun++
		}
		if !finished && !listed[id] && end.Sub(last) >= lostAfter {
			lost++
		}
	}
	w.note("step 1 ended after %.1f s: %d of %d items listed, %d had begun; %d items that no server finished were at no server for the last 5 s; "+
		"meanwhile servers ran %d requests at most, of %d", end.Sub(asked).Seconds(), len(listed), len(ids), begun, lost, mostRunning, engines*engineSlots)
	if lost > 0 && begun > 0 && 2*mostRunning < engines*engineSlots {
		return broken
	}
	return held
}
