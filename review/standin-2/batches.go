package main

import (
	"crypto/rand"
	"encoding/json"
	"fmt"
	"time"
)

const (
	batchPrefix  = "/pufi791/"
	singlePrefix = "/lohu930/"
	// trainerBudget is how long a trainer waits for a step.
	trainerBudget = 12 * time.Second
)

// batchRoutes are the routes of a small deployment.
func batchRoutes() []map[string]any {
	return []map[string]any{
		route("r-batch", batchPrefix, "rollout", "huvo11a", map[string]any{"runTargetMs": 7500, "maxQueueS": 40}),
		route("r-single", singlePrefix, "idempotent", "wuno96b", map[string]any{"timeoutMs": 2000, "latencySloMs": 150, "priority": 2, "maxAttempts": 4}),
	}
}

// newBatch returns the body of a batch submission and the ids of its items. The prompt of each
// item has a shared part of the given number of tokens.
func (w *world) newBatch(step, groups, groupSize, itemBytes, sharedTokens int) (body []byte, ids []string) {
	var list []map[string]any
	for n := range groups * groupSize {
		data := make([]byte, itemBytes)
		_, _ = rand.Read(data)
		id, group := w.id(), n/groupSize
		ids = append(ids, id)
		list = append(list, map[string]any{
			"id": id, "path": batchPrefix + "3/" + id[:4], "group": fmt.Sprintf("g%d-%d", step, group), "body": data,
			"tokens": sharedTokens + 16 + 64,
			"headers": map[string]string{
				"X-Model": "m0", "X-Token-Count": fmt.Sprintf("%d,64", sharedTokens+16),
				"X-Prompt-Prefix": fmt.Sprintf("9c%02x%04x:%d,%s:16", step, group, sharedTokens, id[:8]),
			},
		})
	}
	body, err := json.Marshal(map[string]any{
		"step": step, "model": "m0", "minVersion": 1, "targetGroups": (groups*9 + 9) / 10, "items": list,
	})
	if err != nil {
		panic(err)
	}
	return body, ids
}

// submit submits a batch as a trainer does: again, at another node, until it gets a 202.
func (w *world) submit(id string, body []byte, at int) reply {
	var r reply
	for n := range 6 {
		h := w.hosts[(at+n)%len(w.hosts)]
		r = call("POST", h.front(), hostName, batchPrefix+id[:6], map[string]string{"X-Request-Id": id, "Content-Type": "application/json"}, body, 5*time.Second)
		w.note("trainer: batch %s of %d bytes to %s: %s", id, len(body), h.name, r)
		if r.err == nil && r.status == 202 {
			return r
		}
		time.Sleep(300 * time.Millisecond)
	}
	return r
}

// page is a page of results.
type page struct {
	Total   int `json:"total"`
	Next    int `json:"next"`
	Results []struct {
		ID    string `json:"id"`
		State string `json:"state"`
		Text  string `json:"text"`
	} `json:"results"`
}

// read reads the results of a batch from a position on.
func (w *world) read(id string, after, at int) (page, reply) {
	h := w.hosts[at%len(w.hosts)]
	r := call("GET", h.front(), hostName, fmt.Sprintf("/lots/%s?after=%d", id, after), map[string]string{"X-Wait-Ms": "1000"}, nil, 4*time.Second)
	var p page
	if r.err == nil && r.status == 200 {
		if err := json.Unmarshal(r.body, &p); err != nil {
			r.err = err
		}
	}
	return p, r
}
