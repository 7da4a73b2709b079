package forward

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/nutmegway/nutmegway/internal/backend/inventory"
)

// testCandidate returns a candidate with six slots.
func testCandidate(id, zone string) inventory.Candidate {
	return inventory.Candidate{Server: inventory.Server{ID: id, Slots: 6, Zone: zone}}
}

// mustChoose returns the id of the server that host self in zone a chooses.
func mustChoose(t *testing.T, self string, candidates ...inventory.Candidate) string {
	t.Helper()
	c, ok := Chooser{Self: self, Zone: "a"}.Choose(candidates, nil)
	is.New(t).True(ok)
	return c.ID
}

func TestChoosePrefersOneServerUntilLoaded(t *testing.T) {
	is := is.New(t)
	first := mustChoose(t, "h1", testCandidate("s1", "a"), testCandidate("s2", "a"), testCandidate("s3", "b"))
	is.True(first != "s3") // the host's own zone has servers
	for range 20 {
		is.Equal(mustChoose(t, "h1", testCandidate("s1", "a"), testCandidate("s2", "a"), testCandidate("s3", "b")), first)
	}
	loaded := []inventory.Candidate{testCandidate("s1", "a"), testCandidate("s2", "a"), testCandidate("s3", "b")}
	for i := range loaded {
		if loaded[i].ID == first {
			loaded[i].ReportedRequests = 2
		}
	}
	is.Equal(mustChoose(t, "h1", loaded...), first) // half of its slots are used with this request
	for i := range loaded {
		if loaded[i].ID == first {
			loaded[i].ReportedRequests = 4
		}
	}
	is.True(mustChoose(t, "h1", loaded...) != first) // five of its six slots are used with this request
	is.True(mustChoose(t, "h1", loaded...) != "s3")  // a server in the host's own zone goes first
}

// TestPreferredServerSavesConnections simulates one minute in which 56 hosts together send
// 14 requests per second to 5 servers. A server closes a connection that has been idle for
// closedAfter. The preferred servers must save connections compared with a random choice.
// Load plays no part in the choice, as all servers are idle nearly all the time.
func TestPreferredServerSavesConnections(t *testing.T) {
	const (
		hosts, servers = 56, 5
		closedAfter    = 6 * time.Second
		interval       = time.Second / 14
	)
	random := rand.New(rand.NewPCG(1, 2))
	var candidates []inventory.Candidate
	for i := range servers {
		candidates = append(candidates, testCandidate(fmt.Sprintf("s%d", i), fmt.Sprintf("z%d", i)))
	}
	simulate := func(choose func(host int) string) (opened, busiest int) {
		lastUsed := map[string]time.Duration{}
		requests := map[string]int{}
		for now := time.Duration(0); now < time.Minute; now += interval {
			host := random.IntN(hosts)
			id := choose(host)
			key := fmt.Sprintf("%d/%s", host, id)
			if last, ok := lastUsed[key]; !ok || now-last > closedAfter {
				opened++
			}
			lastUsed[key] = now
			requests[id]++
			busiest = max(busiest, requests[id])
		}
		return opened, busiest
	}
	preferred, busiest := simulate(func(host int) string {
		return mustChoose(t, fmt.Sprintf("h%d", host), candidates...)
	})
	scattered, _ := simulate(func(int) string { return candidates[random.IntN(servers)].ID })
	is := is.New(t)
	is.True(preferred*5 < scattered*4)                     // at least a fifth fewer connections
	is.True(busiest < 2*int(time.Minute/interval)/servers) // no server gets twice its share
	t.Logf("connections opened: %d, with random choice: %d; requests at the busiest server: %d", preferred, scattered, busiest)
}
