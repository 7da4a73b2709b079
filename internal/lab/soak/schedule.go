package soak

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"time"
)

// Action is one trouble, planned stop or reload.
type Action string

// The actions.
const (
	ActionAllKill         Action = "all-kill"
	ActionCallerBurst     Action = "caller-burst"
	ActionHostKill        Action = "host-kill"
	ActionHostPause       Action = "host-pause"
	ActionHostReload      Action = "host-reload"
	ActionHostSeries      Action = "host-series"
	ActionHostStop        Action = "host-stop"
	ActionLinkBlackhole   Action = "link-blackhole"
	ActionLinkDelay       Action = "link-delay"
	ActionLinkOneWay      Action = "link-one-way"
	ActionLinkReset       Action = "link-reset"
	ActionServerBreaks    Action = "server-breaks"
	ActionServerCrash     Action = "server-crash"
	ActionServerFails     Action = "server-fails"
	ActionServerLink      Action = "server-link-reset"
	ActionServerLoseOrder Action = "server-loses-order"
	ActionServerOneWay    Action = "server-link-one-way"
	ActionServerSilent    Action = "server-silent"
	ActionStoreDown       Action = "store-down"
	ActionStoreEndsLeases Action = "store-ends-leases"
	ActionStoreForgets    Action = "store-forgets-history"
	ActionStoreLate       Action = "store-writes-late"
	ActionStoreLoses      Action = "store-loses-answers"
	ActionStoreSlow       Action = "store-slow"
)

// stormActions are what a storm draws from; each comes before any comes again.
var stormActions = []Action{
	ActionAllKill, ActionHostKill, ActionHostKill, ActionHostPause, ActionHostReload, ActionHostSeries, ActionHostStop,
	ActionLinkBlackhole, ActionLinkDelay, ActionLinkOneWay, ActionLinkReset, ActionServerBreaks, ActionServerCrash, ActionServerFails,
	ActionServerLink, ActionServerLoseOrder, ActionServerOneWay, ActionServerSilent, ActionStoreDown, ActionStoreEndsLeases,
	ActionStoreForgets, ActionStoreLate, ActionStoreLoses, ActionStoreSlow,
}

// suspends reports whether a host goes on after it without having noticed.
func (a Action) suspends() bool {
	switch a {
	case ActionHostPause, ActionHostSeries, ActionLinkBlackhole, ActionLinkDelay, ActionLinkOneWay, ActionServerLink, ActionServerOneWay:
		return true
	default:
		return false
	}
}

const (
	// A cycle is a burst of callers and a storm, a calm that is longer than the time after which promises
	// hold again, one planned stop, and a calm in which it ends.
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

// Event is one action of a schedule.
type Event struct {
	Action Action
	At     time.Duration
	// Last is how long it lasts.
	Last time.Duration
	// Target selects the host or server, modulo their number.
	Target int
}

// String returns the event as one line.
func (e Event) String() string {
	return fmt.Sprintf("at=%s action=%s target=%d last=%s", e.At, e.Action, e.Target, e.Last)
}

// Schedule returns the events of a run. The same seed and length give the same
// events.
func Schedule(seed uint64, length time.Duration) []Event {
	random := rand.New(rand.NewPCG(seed, uint64(length)))
	var events []Event
	var bag []Action
	for cycle := time.Duration(0); cycle+cycleTime <= length; cycle += cycleTime {
		events = append(events, Event{Action: ActionCallerBurst, At: cycle})
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
				events = append(events, Event{
					Action: bag[0], At: at, Last: min(last, cycle+stormTime-at).Round(time.Millisecond), Target: random.IntN(1 << 16),
				})
				bag = bag[1:]
			}
		}
		events = append(events, Event{Action: ActionHostStop, At: cycle + stormTime + calmTime, Target: random.IntN(1 << 16)})
	}
	return events
}
