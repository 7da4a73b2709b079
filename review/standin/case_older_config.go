package main

import (
	"fmt"
	"net/http"
	"time"
)

func init() { cases["older-config"] = olderConfig }

const (
	newPrefix = "/batches-2/"
	// refusal is how long the store turns one host away.
	refusal = 6 * time.Second
)

// olderConfig adds a route for batches while the store leaves one host without answers: the
// host that runs the batches of the model. A client submits a batch on the new route at
// another host.
func olderConfig(f *fleet) string {
	for n := range 4 {
		f.servers = append(f.servers, &server{id: fmt.Sprintf("engine-%d", n), service: engines, model: modelName, slots: 16, eventTime: 8 * time.Millisecond})
	}
	f.start(6)
	owner := f.findOwner("first")
	f.record.printf("%s runs the batches", owner.name)
	if f.trouble {
		f.record.printf("the store turns %s away", owner.name)
		owner.toStore.setSilent(true)
		time.AfterFunc(refusal, func() {
			f.record.printf("the store serves %s again", owner.name)
			owner.toStore.setSilent(false)
		})
	}
	f.record.printf("the operator writes a configuration with the route %s", newPrefix)
	f.store.put("op/config", config(2, batchRoute("more", newPrefix)))
	time.Sleep(200 * time.Millisecond)
	second := newBatch(newPrefix, "second", 17, 4, 20, 15)
	// A host that doesn't know the route yet answers with 404; the client turns to the next.
	var accepting *node
	for _, n := range f.nodes {
		if n != owner && accepting == nil && f.submit(n, second, 3*time.Second) == http.StatusAccepted {
			accepting = n
		}
	}
	if accepting == nil {
		check(fmt.Errorf("no host accepted the second batch"))
	}
	var results []result
	whole := f.readAll(accepting, second, &results, 15*time.Second)
	dead, failed := 0, 0
	for _, r := range results {
		if r.State == "dead" {
			dead++
		}
		if r.State == "completed" && r.Text != itemText(r.ID, second.events[r.ID]) {
			return fmt.Sprintf("MIXED: the text of %s is not whole", r.ID)
		}
	}
	for _, s := range f.servers {
		for _, a := range s.received() {
			if second.groups[a.id] != "" {
				failed++
			}
		}
	}
	f.record.printf("%d of %d results are dead; servers received %d requests for items and answered none with 422 or 500", dead, len(results), failed)
	if dead > 0 {
		return fmt.Sprintf("MIXED: %d of %d results are dead, though no server failed one and the batch, its route and maxQueueS had not ended", dead, len(results))
	}
	if !whole {
		return "LOST: the second batch did not complete in 15 s"
	}
	return ""
}
