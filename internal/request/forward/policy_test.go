package forward

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/nutmegway/nutmegway/internal/backend/inventory"
)

func server(id, zone string) inventory.Candidate {
	return inventory.Candidate{Server: inventory.Server{ID: id, Slots: 6, Zone: zone}}
}

func chosen(t *testing.T, self string, candidates ...inventory.Candidate) string {
	t.Helper()
	c, ok := Chooser{Self: self, Zone: "a"}.Choose(candidates, nil)
	is.New(t).True(ok)
	return c.ID
}

func TestChooseKeepsToOneServerUntilItIsLoaded(t *testing.T) {
	is := is.New(t)
	first := chosen(t, "h1", server("s1", "a"), server("s2", "a"), server("s3", "b"))
	is.True(first != "s3") // there are servers in the own zone
	for range 20 {
		is.Equal(chosen(t, "h1", server("s1", "a"), server("s2", "a"), server("s3", "b")), first)
	}
	loaded := []inventory.Candidate{server("s1", "a"), server("s2", "a"), server("s3", "b")}
	for i := range loaded {
		if loaded[i].ID == first {
			loaded[i].Reported = 2
		}
	}
	is.Equal(chosen(t, "h1", loaded...), first) // half of its slots are still free
	for i := range loaded {
		if loaded[i].ID == first {
			loaded[i].Reported = 4
		}
	}
	is.True(chosen(t, "h1", loaded...) != first) // it is nearly full
	is.True(chosen(t, "h1", loaded...) != "s3")  // before another zone
}

// TestConnectionsOfALoad plays look-ups of 56 hosts at 5 servers that close a
// connection after some idle seconds, 14 a second for a minute. Compared are the
// connections that have to be opened with those of a choice at random, as all
// servers are idle nearly all the time.
func TestConnectionsOfALoad(t *testing.T) {
	const (
		hosts, servers = 56, 5
		closedAfter    = 6 * time.Second
		interval       = time.Second / 14
	)
	random := rand.New(rand.NewPCG(1, 2))
	var candidates []inventory.Candidate
	for i := range servers {
		candidates = append(candidates, server(fmt.Sprintf("s%d", i), fmt.Sprintf("z%d", i)))
	}
	play := func(choose func(host int) string) (opened, most int) {
		used := map[string]time.Duration{}
		shares := map[string]int{}
		for now := time.Duration(0); now < time.Minute; now += interval {
			host := random.IntN(hosts)
			id := choose(host)
			key := fmt.Sprintf("%d/%s", host, id)
			if last, ok := used[key]; !ok || now-last > closedAfter {
				opened++
			}
			used[key] = now
			shares[id]++
			most = max(most, shares[id])
		}
		return opened, most
	}
	kept, most := play(func(host int) string {
		return chosen(t, fmt.Sprintf("h%d", host), candidates...)
	})
	scattered, _ := play(func(int) string { return candidates[random.IntN(servers)].ID })
	is := is.New(t)
	is.True(kept*5 < scattered*4)                       // a fifth less at the least
	is.True(most < 2*int(time.Minute/interval)/servers) // no server has twice its share
	t.Logf("opened %d, at random %d; busiest %d", kept, scattered, most)
}
