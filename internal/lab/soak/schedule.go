package soak

import (
	"math/rand/v2"
	"slices"
	"time"

	"github.com/nutmegway/nutmegway/internal/lab/chaos"
)

// The actions: troubles, planned stops and reloads.
const (
	ActionAllKill         chaos.Action = "all-kill"
	ActionCallerBurst     chaos.Action = "caller-burst"
	ActionHostKill        chaos.Action = "host-kill"
	ActionHostPause       chaos.Action = "host-pause"
	ActionHostReload      chaos.Action = "host-reload"
	ActionHostSeries      chaos.Action = "host-series"
	ActionHostStop        chaos.Action = "host-stop"
	ActionLinkBlackhole   chaos.Action = "link-blackhole"
	ActionLinkDelay       chaos.Action = "link-delay"
	ActionLinkOneWay      chaos.Action = "link-one-way"
	ActionLinkReset       chaos.Action = "link-reset"
	ActionServerBreaks    chaos.Action = "server-breaks"
	ActionServerCrash     chaos.Action = "server-crash"
	ActionServerFails     chaos.Action = "server-fails"
	ActionServerLeave     chaos.Action = "server-leaves"
	ActionServerLink      chaos.Action = "server-link-reset"
	ActionServerLoseOrder chaos.Action = "server-loses-order"
	ActionServerOneWay    chaos.Action = "server-link-one-way"
	ActionServerSilent    chaos.Action = "server-silent"
	ActionStoreDown       chaos.Action = "store-down"
	ActionStoreEndsLeases chaos.Action = "store-ends-leases"
	ActionStoreForgets    chaos.Action = "store-forgets-history"
	ActionStoreLate       chaos.Action = "store-writes-late"
	ActionStoreLoses      chaos.Action = "store-loses-answers"
	ActionStoreSlow       chaos.Action = "store-slow"
)

// stormActions are what a storm draws from; each comes before any comes again.
var stormActions = []chaos.Action{
	ActionAllKill, ActionHostKill, ActionHostKill, ActionHostPause, ActionHostPause, ActionHostPause, ActionHostReload, ActionHostSeries, ActionHostStop,
	ActionLinkBlackhole, ActionLinkDelay, ActionLinkOneWay, ActionLinkReset, ActionServerBreaks, ActionServerCrash, ActionServerFails,
	ActionServerLeave, ActionServerLink, ActionServerLoseOrder, ActionServerOneWay, ActionServerSilent, ActionStoreDown, ActionStoreEndsLeases,
	ActionStoreForgets, ActionStoreLate, ActionStoreLoses, ActionStoreSlow,
}

// suspends reports whether a host goes on after it without having noticed.
func suspends(a chaos.Action) bool {
	switch a {
	case ActionHostPause, ActionHostSeries, ActionLinkBlackhole, ActionLinkDelay, ActionLinkOneWay, ActionServerLink, ActionServerOneWay:
		return true
	default:
		return false
	}
}

const (
	// A cycle is a burst of callers and a storm, a calm that is longer than the time
	// after which promises hold again, one planned stop, and a calm in which it ends.
	stormTime = 8 * time.Second
	calmTime  = 8 * time.Second
	stopTime  = 5 * time.Second
	cycleTime = stormTime + calmTime + stopTime
	// stormEvery is the time between the troubles of a storm. Two come at once in
	// one of twiceIn.
	stormEvery = 500 * time.Millisecond
	twiceIn    = 3
	minLast    = 200 * time.Millisecond
	maxLast    = 4 * time.Second
)

// Schedule returns the events of a run. The same seed and length give the same
// events.
func Schedule(seed uint64, length time.Duration) []chaos.Event {
	random := rand.New(rand.NewPCG(seed, uint64(length)))
	var events []chaos.Event
	var bag []chaos.Action
	for cycle := time.Duration(0); cycle+cycleTime <= length; cycle += cycleTime {
		events = append(events, chaos.Event{Action: ActionCallerBurst, At: cycle})
		for at := cycle; at < cycle+stormTime; at += stormEvery {
			count := 1
			if random.IntN(twiceIn) == 0 {
				count = 2
			}
			for range count {
				if len(bag) == 0 {
					bag = slices.Clone(stormActions)
					random.Shuffle(len(bag), func(i, j int) { bag[i], bag[j] = bag[j], bag[i] })
				}
				last := minLast + time.Duration(random.Int64N(int64(maxLast-minLast)))
				events = append(events, chaos.Event{
					Action: bag[0], At: at, Last: min(last, cycle+stormTime-at).Round(time.Millisecond), Target: random.IntN(1 << 16),
				})
				bag = bag[1:]
			}
		}
		events = append(events, chaos.Event{Action: ActionHostStop, At: cycle + stormTime + calmTime, Target: random.IntN(1 << 16)})
	}
	return events
}
