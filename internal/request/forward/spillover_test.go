package forward

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"strconv"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/nutmegway/nutmegway/internal/backend/inventory"
)

// The load of a play: three zones of 20 hosts and one server each, and requests of 25 ms.
const (
	playZones    = 3
	playHosts    = 20
	playSlots    = 6
	playQueue    = 24
	playCapacity = 240 // requests per second of a zone
	playLength   = 8 * time.Second
	playLate     = 150 * time.Millisecond
)

// A play simulates the requests without a network. Hosts know a server's load from the
// answers that they got.
type play struct {
	choose  playPolicy
	events  playEvents
	hosts   []*playHost
	now     time.Duration
	random  *rand.Rand
	servers [playZones]playServer
	// asked, crossed, late and lost count by zone.
	asked, crossed, late, lost [playZones]int
}

type playPolicy func(c Chooser, candidates []inventory.Candidate, tried map[string]struct{}, sample float64) (inventory.Candidate, bool)

type playHost struct {
	id       string
	zone     int
	inFlight [playZones]int
	reported [playZones]int
	at       [playZones]time.Duration
}

type playServer struct {
	gone, slow bool
	running    int
	waiting    []func()
}

type playEvent struct {
	at time.Duration
	do func()
}

type playEvents []playEvent

func (e playEvents) Len() int           { return len(e) }
func (e playEvents) Less(i, j int) bool { return e[i].at < e[j].at }
func (e playEvents) Swap(i, j int)      { e[i], e[j] = e[j], e[i] }
func (e *playEvents) Push(x any)        { *e = append(*e, x.(playEvent)) } //nolint:forcetypeassert // It holds only these.
func (e *playEvents) Pop() any {
	last := (*e)[len(*e)-1]
	*e = (*e)[:len(*e)-1]
	return last
}

func (p *play) after(d time.Duration, do func()) { heap.Push(&p.events, playEvent{p.now + d, do}) }

func (p *play) candidates(h *playHost) []inventory.Candidate {
	var candidates []inventory.Candidate
	for z := range playZones {
		if p.servers[z].gone {
			continue
		}
		c := testCandidate(strconv.Itoa(z), strconv.Itoa(z))
		c.InFlight, c.ReportedRequests = h.inFlight[z], -1
		if h.at[z] > 0 && p.now-h.at[z] < time.Second {
			c.ReportedRequests = h.reported[z]
		}
		candidates = append(candidates, c)
	}
	return candidates
}

// request plays the attempts of one request that began at began.
func (p *play) request(h *playHost, tried map[string]struct{}, began time.Duration) {
	c, ok := p.choose(Chooser{Self: h.id, Zone: strconv.Itoa(h.zone)}, p.candidates(h), tried, p.random.Float64())
	if !ok {
		p.lost[h.zone]++
		return
	}
	tried[c.ID] = struct{}{}
	z := int(c.ID[0] - '0')
	s, delay := &p.servers[z], 200*time.Microsecond
	if z != h.zone {
		delay = 900 * time.Microsecond
		p.crossed[h.zone]++
	}
	h.inFlight[z]++
	answer := func(ran bool) {
		load := s.running + len(s.waiting)
		p.after(delay, func() {
			h.inFlight[z]--
			h.reported[z], h.at[z] = load, p.now
			switch {
			case !ran:
				p.request(h, tried, began)
			case p.now-began > playLate:
				p.late[h.zone]++
			}
		})
	}
	p.after(delay, func() {
		switch {
		case s.gone || len(s.waiting) == playQueue:
			answer(false)
		case s.running == playSlots:
			s.waiting = append(s.waiting, func() { p.run(s, answer) })
		default:
			p.run(s, answer)
		}
	})
}

func (p *play) run(s *playServer, answer func(bool)) {
	s.running++
	work := time.Duration((0.5 + 0.5*p.random.ExpFloat64()) * float64(playSlots*time.Second/playCapacity))
	if s.slow {
		work = work * 5 / 2
	}
	p.after(work, func() {
		s.running--
		if len(s.waiting) > 0 {
			next := s.waiting[0]
			s.waiting = s.waiting[1:]
			next()
		}
		answer(true)
	})
}

// start plays the requests; load is the demand of a zone as a share of its capacity.
func (p *play) start(load func(zone int, at time.Duration) float64) {
	for z := range playZones {
		for n := range playHosts {
			p.hosts = append(p.hosts, &playHost{id: fmt.Sprintf("h%d-%d", z, n), zone: z})
		}
		var arrive func()
		arrive = func() {
			if p.now > playLength {
				return
			}
			p.asked[z]++
			p.request(p.hosts[z*playHosts+p.random.IntN(playHosts)], map[string]struct{}{}, p.now)
			p.after(time.Duration(p.random.ExpFloat64()/(load(z, p.now)*playCapacity)*float64(time.Second)), arrive)
		}
		p.after(0, arrive)
	}
	for len(p.events) > 0 {
		e := heap.Pop(&p.events).(playEvent) //nolint:forcetypeassert // It holds only these.
		p.now = e.at
		e.do()
	}
}

// inTrouble reports whether a moment is in the middle half of a play.
func inTrouble(at time.Duration) bool { return at > playLength/4 && at < 3*playLength/4 }

func steady(load float64) func(int, time.Duration) float64 {
	return func(int, time.Duration) float64 { return load }
}

// TestRequestsLeaveTheZoneWhenItPays plays loads with the decision on leaving the zone, and
// with the choice among all servers by their load alone.
func TestRequestsLeaveTheZoneWhenItPays(t *testing.T) {
	cases := map[string]struct {
		load func(zone int, at time.Duration) float64
		// begin plays what happens to the servers.
		begin func(*play)
		// crossed is the most that may leave, as a share of the attempts, in zone 0 and in
		// the others.
		crossed, othersCrossed float64
	}{
		"half full":   {load: steady(0.4), crossed: 0.01, othersCrossed: 0.01},
		"nearly full": {load: steady(0.7), crossed: 0.08, othersCrossed: 0.08},
		"one zone's demand tripled": {
			load: func(zone int, at time.Duration) float64 {
				if zone == 0 && inTrouble(at) {
					return 1.2
				}
				return 0.4
			}, crossed: 0.35, othersCrossed: 0.04,
		},
		"one zone's server gone": {load: steady(0.4), crossed: 0.55, othersCrossed: 0.04, begin: func(p *play) {
			p.after(playLength/4, func() { p.servers[0].gone = true })
			p.after(3*playLength/4, func() { p.servers[0].gone = false })
		}},
		"servers slow by turns": {load: steady(0.4), crossed: 0.15, othersCrossed: 0.15, begin: func(p *play) {
			for z := range playZones {
				for at := time.Duration(z) * time.Second; at < playLength; at += 4 * time.Second {
					p.after(at, func() { p.servers[z].slow = true })
					p.after(at+600*time.Millisecond, func() { p.servers[z].slow = false })
				}
			}
		}},
		"all full": {load: steady(1.3), crossed: 0.95, othersCrossed: 0.95},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			near := runPlays(func(chooser Chooser, candidates []inventory.Candidate, tried map[string]struct{}, sample float64) (inventory.Candidate, bool) {
				candidate, _, ok := chooser.ChooseNear(candidates, tried, sample)
				return candidate, ok
			}, c.load, c.begin)
			all := runPlays(func(chooser Chooser, candidates []inventory.Candidate, tried map[string]struct{}, _ float64) (inventory.Candidate, bool) {
				return chooser.Choose(candidates, tried)
			}, c.load, c.begin)
			t.Logf("left, late, lost: %.3f %.4f %.4f; by load alone: %.3f %.4f %.4f",
				near.crossed[0], near.late, near.lost, all.crossed[0], all.late, all.lost)
			is.True(near.crossed[0] <= c.crossed)
			is.True(near.crossed[1] <= c.othersCrossed)
			is.True(near.crossed[0] < all.crossed[0])
			is.True(near.late+near.lost <= all.late+all.lost+0.01) // callers are served as well
		})
	}
}

// outcome holds shares of the requests: those that left zone 0 and the others, and those
// late and lost.
type outcome struct {
	crossed    [2]float64
	late, lost float64
}

func runPlays(choose playPolicy, load func(int, time.Duration) float64, begin func(*play)) outcome {
	var asked, crossed [2]float64
	var late, lost float64
	for seed := range uint64(2) {
		p := &play{choose: choose, random: rand.New(rand.NewPCG(seed, 1))}
		if begin != nil {
			begin(p)
		}
		p.start(load)
		for z := range playZones {
			asked[min(z, 1)] += float64(p.asked[z])
			crossed[min(z, 1)] += float64(p.crossed[z])
			late += float64(p.late[z])
			lost += float64(p.lost[z])
		}
	}
	total := asked[0] + asked[1]
	return outcome{crossed: [2]float64{crossed[0] / asked[0], crossed[1] / asked[1]}, late: late / total, lost: lost / total}
}
