package soak

import (
	"math/rand/v2"
	"slices"
	"time"

	"github.com/nutmegway/nutmegway/internal/lab/chaos"
)

// The actions of a schedule: faults, caller bursts, planned stops and reloads.
const (
	ActionAllKill            chaos.Action = "all-kill"
	ActionCallerBurst        chaos.Action = "caller-burst"
	ActionHostKill           chaos.Action = "host-kill"
	ActionHostPause          chaos.Action = "host-pause"
	ActionHostReload         chaos.Action = "host-reload"
	ActionHostSeries         chaos.Action = "host-series"
	ActionHostStop           chaos.Action = "host-stop"
	ActionLinkBlackhole      chaos.Action = "link-blackhole"
	ActionLinkDelay          chaos.Action = "link-delay"
	ActionLinkHalfOpen       chaos.Action = "link-one-way"
	ActionLinkReset          chaos.Action = "link-reset"
	ActionServerResets       chaos.Action = "server-breaks"
	ActionServerCrash        chaos.Action = "server-crash"
	ActionServerFails        chaos.Action = "server-fails"
	ActionServerLeave        chaos.Action = "server-leaves"
	ActionServerLimit        chaos.Action = "server-names-limit"
	ActionServerLink         chaos.Action = "server-link-reset"
	ActionServerLoseOrder    chaos.Action = "server-loses-order"
	ActionServerOneWay       chaos.Action = "server-link-one-way"
	ActionServerHangs        chaos.Action = "server-silent"
	ActionStoreDown          chaos.Action = "store-down"
	ActionStoreExpiresLeases chaos.Action = "store-ends-leases"
	ActionStoreCompacts      chaos.Action = "store-forgets-history"
	ActionStoreLate          chaos.Action = "store-writes-late"
	ActionStoreLosesReplies  chaos.Action = "store-loses-answers"
	ActionStoreSlow          chaos.Action = "store-slow"
)

// faultActions are the actions that the fault phases draw from without replacement;
// the list is reshuffled once all have been drawn.
var faultActions = []chaos.Action{
	ActionAllKill, ActionHostKill, ActionHostKill, ActionHostPause, ActionHostPause, ActionHostPause, ActionHostReload, ActionHostSeries, ActionHostStop,
	ActionLinkBlackhole, ActionLinkDelay, ActionLinkHalfOpen, ActionLinkReset, ActionServerResets, ActionServerCrash, ActionServerFails,
	ActionServerLeave, ActionServerLimit, ActionServerLink, ActionServerLoseOrder, ActionServerOneWay, ActionServerHangs, ActionStoreDown, ActionStoreExpiresLeases,
	ActionStoreCompacts, ActionStoreLate, ActionStoreLosesReplies, ActionStoreSlow,
}

// delaysUnnoticed reports whether the action can hold up a host or its messages without
// the host noticing, so that the host continues with outdated state afterwards.
func delaysUnnoticed(a chaos.Action) bool {
	switch a {
	case ActionHostPause, ActionHostSeries, ActionLinkBlackhole, ActionLinkDelay, ActionLinkHalfOpen, ActionServerLink, ActionServerOneWay:
		return true
	default:
		return false
	}
}

const (
	// A cycle has three parts. The first is a phase of faults that begins with a caller
	// burst. The second has no faults and is longer than limits.recovery, so that the
	// guarantees hold again. The third is a planned stop with the time to complete it.
	faultPhaseTime  = 8 * time.Second
	recoveryTime    = 8 * time.Second
	plannedStopTime = 5 * time.Second
	cycleTime       = faultPhaseTime + recoveryTime + plannedStopTime
	// faultInterval is the time between the starts of faults in a phase. On average, two
	// faults start together at one of pairOneIn starts.
	faultInterval = 500 * time.Millisecond
	pairOneIn     = 3
	minDuration   = 200 * time.Millisecond
	maxDuration   = 4 * time.Second
)

// Schedule returns the events of a run. It is deterministic for a given seed and
// length.
func Schedule(seed uint64, length time.Duration) []chaos.Event {
	random := rand.New(rand.NewPCG(seed, uint64(length)))
	var events []chaos.Event
	var pool []chaos.Action
	for cycle := time.Duration(0); cycle+cycleTime <= length; cycle += cycleTime {
		events = append(events, chaos.Event{Action: ActionCallerBurst, At: cycle})
		for at := cycle; at < cycle+faultPhaseTime; at += faultInterval {
			count := 1
			if random.IntN(pairOneIn) == 0 {
				count = 2
			}
			for range count {
				if len(pool) == 0 {
					pool = slices.Clone(faultActions)
					random.Shuffle(len(pool), func(i, j int) { pool[i], pool[j] = pool[j], pool[i] })
				}
				duration := minDuration + time.Duration(random.Int64N(int64(maxDuration-minDuration)))
				events = append(events, chaos.Event{
					Action: pool[0], At: at, Duration: min(duration, cycle+faultPhaseTime-at).Round(time.Millisecond), Target: random.IntN(1 << 16),
				})
				pool = pool[1:]
			}
		}
		events = append(events, chaos.Event{Action: ActionHostStop, At: cycle + faultPhaseTime + recoveryTime, Target: random.IntN(1 << 16)})
	}
	return events
}
