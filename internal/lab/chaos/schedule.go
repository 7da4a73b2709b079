package chaos

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"time"
)

// Action is the kind of an event: a failure, a planned stop or racing edits.
type Action string

// The actions.
const (
	ActionCrossedAnswer  Action = "crossed-answer"
	ActionExpireLeases   Action = "end-leases"
	ActionEngineCrash    Action = "engine-crash"
	ActionEngineHang     Action = "engine-hang"
	ActionEngineLeave    Action = "engine-leave"
	ActionEngineReset    Action = "engine-reset"
	ActionEngineSlow     Action = "engine-slow"
	ActionHostsDown      Action = "hosts-down"
	ActionLinkBlackhole  Action = "link-blackhole"
	ActionLinkHalfOpen   Action = "link-half-open"
	ActionLinkReset      Action = "link-reset"
	ActionLoseAnswer     Action = "lose-answer"
	ActionLoseOrderReply Action = "lose-order-reply"
	ActionNodeDrain      Action = "node-drain"
	ActionNodeKill       Action = "node-kill"
	ActionNodePause      Action = "node-pause"
	ActionPlainCrash     Action = "plain-crash"
	ActionPoison         Action = "poison"
	ActionRacingEdits    Action = "racing-edits"
	ActionStoreDown      Action = "store-down"
	ActionStoreLoseReply Action = "store-lose-reply"
	ActionStoreSlow      Action = "store-slow"
	ActionSwapPartway    Action = "swap-partway"
	ActionZoneLoss       Action = "zone-loss"
)

// actions are the actions that a schedule draws from. An action that is listed more
// than once is drawn as often as it is listed.
var actions = []Action{
	ActionCrossedAnswer, ActionExpireLeases, ActionEngineCrash, ActionEngineCrash, ActionEngineHang, ActionEngineLeave,
	ActionEngineReset, ActionEngineSlow, ActionHostsDown, ActionLinkBlackhole,
	ActionLinkHalfOpen, ActionLinkReset, ActionLoseAnswer, ActionLoseOrderReply, ActionNodeDrain,
	ActionNodeDrain, ActionNodeDrain, ActionNodeDrain, ActionNodeKill, ActionPlainCrash, ActionPoison, ActionRacingEdits, ActionRacingEdits,
	ActionStoreDown, ActionStoreLoseReply, ActionStoreSlow, ActionSwapPartway, ActionZoneLoss,
}

const (
	eventInterval = 400 * time.Millisecond
	maxDuration   = 3 * time.Second
	minDuration   = 300 * time.Millisecond
	quietDivisor  = 5
	pairOneIn     = 4
	startDelay    = 500 * time.Millisecond
)

// Event is one action of a schedule and its time.
type Event struct {
	Action Action
	At     time.Duration
	// Duration is how long the failure lasts.
	Duration time.Duration
	// Target, modulo the number of candidates, is the index of the entry host, backend
	// server or availability zone that the action affects.
	Target int
}

// String formats the event as key=value pairs on one line.
func (e Event) String() string {
	return fmt.Sprintf("at=%s action=%s target=%d last=%s", e.At, e.Action, e.Target, e.Duration)
}

// Schedule returns the events of a run. It is deterministic for a given seed, length
// and extra actions. After the first two events, actions are drawn without replacement
// and reshuffled once all have been drawn. Some events start in pairs. The last fifth
// of the run has no events.
func Schedule(seed uint64, length time.Duration, extra ...Action) []Event {
	random := rand.New(rand.NewPCG(seed, uint64(length)))
	// These come first because their checks take the longest time.
	pool := []Action{ActionEngineLeave, ActionNodeDrain}
	var events []Event
	end := length - length/quietDivisor
	for at := startDelay; at < end; at += eventInterval {
		count := 1
		if random.IntN(pairOneIn) == 0 {
			count = 2
		}
		for range count {
			if len(pool) == 0 {
				pool = slices.Concat(actions, extra)
				random.Shuffle(len(pool), func(i, j int) { pool[i], pool[j] = pool[j], pool[i] })
			}
			duration := minDuration + time.Duration(random.Int64N(int64(maxDuration-minDuration)))
			events = append(events, Event{
				Action: pool[0], At: at, Duration: min(duration, end-at).Round(time.Millisecond), Target: random.IntN(1 << 16),
			})
			pool = pool[1:]
		}
	}
	return events
}
