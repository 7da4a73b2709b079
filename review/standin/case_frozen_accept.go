package main

import (
	"fmt"
	"net/http"
	"strings"
	"syscall"
	"time"
)

func init() { cases["frozen-accept"] = frozenAccept }

const (
	// freeze is how long the host that accepts the batch stands still.
	freeze = 5 * time.Second
	// settle is the bound settleMs.
	settle = time.Second
	// freezes is how often a host is stopped, unless the rule is broken before, and checkTime
	// how long the results are read after each.
	freezes   = 4
	checkTime = 8 * time.Second
)

// frozenAccept freezes a host for some seconds right after it has accepted a batch, which
// another host runs. Meanwhile the client reads and ends the batch at a third host. The
// results must stay readable. If they do, it does the same with another batch.
func frozenAccept(f *fleet) string {
	for n := range 4 {
		f.servers = append(f.servers, &server{id: fmt.Sprintf("engine-%d", n), service: engines, model: modelName, slots: 16, eventTime: 8 * time.Millisecond})
	}
	f.start(10)
	for round := range freezes {
		if broken := f.freezeAccepting(round); broken != "" {
			return broken
		}
	}
	return ""
}

func (f *fleet) freezeAccepting(round int) string {
	owner := f.findOwner(fmt.Sprintf("small-%d", round))
	var others []*node
	for _, n := range f.nodes {
		if n != owner {
			others = append(others, n)
		}
	}
	accepting, other := others[round%2], others[1-round%2]
	f.record.printf("%s runs the batches, %s gets the next batch, %s serves the client afterwards", owner.name, accepting.name, other.name)
	b := newBatch(batchPrefix, fmt.Sprintf("step-%d", round), 33, 8, 20, 30)
	thawed := make(chan struct{})
	if f.submit(accepting, b, 3*time.Second) != http.StatusAccepted {
		check(fmt.Errorf("the batch was not accepted"))
	}
	if f.trouble {
		accepting.signal(syscall.SIGSTOP)
		time.AfterFunc(freeze, func() {
			accepting.signal(syscall.SIGCONT)
			close(thawed)
		})
	}
	var results []result
	if !f.readAll(other, b, &results, 15*time.Second) {
		return "LOST: the batch did not complete"
	}
	lastRead := time.Now()
	if f.end(other, b.id) != http.StatusOK {
		check(fmt.Errorf("the batch was not ended"))
	}
	if f.trouble {
		<-thawed
	}
	// The client reads from the start, at hosts that were not disturbed.
	empty, reads := 0, 0
	var since time.Time
	for end := time.Now().Add(checkTime); time.Now().Before(end); time.Sleep(500 * time.Millisecond) {
		for _, n := range []*node{other, owner} {
			status, p := f.read(n, b.id, 0, 0)
			if status != http.StatusOK {
				continue
			}
			reads++
			for i, r := range p.Results {
				if i < len(results) && (r.ID != results[i].ID || r.Text != results[i].Text || r.State != results[i].State) {
					return fmt.Sprintf("TWICE: position %d holds another result at %s", i, n.name)
				}
			}
			if len(p.Results) == 0 && time.Since(lastRead) > settle {
				empty++
				if since.IsZero() {
					since = time.Now()
				}
			}
		}
	}
	late := 0
	for _, s := range f.servers {
		for _, a := range s.received() {
			if strings.HasPrefix(a.id, b.id+"-") && a.at.Sub(lastRead) > 3*time.Second && a.ran {
				late++
			}
		}
	}
	f.record.printf("%d of %d reads showed none of the %d results; %d items ran later than 3 s after the end", empty, reads, len(results), late)
	if empty > 0 {
		return fmt.Sprintf("LOST: %d of %d reads at hosts in touch showed none of the %d results that had been read, first %.1f s after that",
			empty, reads, len(results), since.Sub(lastRead).Seconds())
	}
	return ""
}
