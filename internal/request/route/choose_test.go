package route

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/nutmegway/nutmegway/internal/base/kind"
	"github.com/nutmegway/nutmegway/internal/fleet/server"
	"github.com/nutmegway/nutmegway/internal/request/admission"
	"github.com/nutmegway/nutmegway/internal/request/dispatch"
	"github.com/nutmegway/nutmegway/internal/request/owner"
)

var start = time.Date(2026, 12, 4, 3, 0, 0, 0, time.UTC)

func newTestState(n int) (*serviceState, []server.Server) {
	st := newServiceState("reviewer")
	st.createdAt = start.Add(-time.Hour)
	servers := make([]server.Server, n)
	for i := range servers {
		servers[i] = server.Server{ID: fmt.Sprintf("engine-%04d", i)}
		st.firstSeen[servers[i].ID] = start.Add(-time.Hour)
		st.updateSummary(owner.Summary{
			At: start, Server: servers[i].ID, Version: 7, Summary: admission.Summary{InFlight: 4, Limit: 8, TokensPerSecond: 100},
		})
	}
	return st, servers
}

func TestDuplicatesOfNewContentStayOnTwoServers(t *testing.T) {
	is := is.New(t)
	st, servers := newTestState(10)
	used := map[string]bool{}
	var tried []string
	for range 30 {
		st.callStarted(start, 5)
		s, err := st.choose(start, servers, query{fingerprint: 5, affinityKey: 5})
		is.NoErr(err)
		st.attemptSent(s.ID)
		used[s.ID] = true
	}
	is.True(len(used) <= 2)
	for id := range used {
		tried = append(tried, id)
	}
	for len(tried) < 2 {
		s, err := st.choose(start, servers, query{fingerprint: 5, affinityKey: 5, tried: tried})
		is.NoErr(err)
		tried = append(tried, s.ID)
	}
	_, err := st.choose(start, servers, query{fingerprint: 5, affinityKey: 5, tried: tried})
	is.True(kind.Is(err, kind.Overloaded))
	_, err = st.choose(start, servers, query{fingerprint: 5, permitted: true, affinityKey: 5, tried: tried})
	is.NoErr(err) // Permission of the gate allows the call to spill over.
}

func TestFastFailingServerGetsLessThanItsShare(t *testing.T) {
	is := is.New(t)
	st, servers := newTestState(4)
	broken := servers[2].ID
	st.updateSummary(owner.Summary{At: start.Add(time.Millisecond), Server: broken, Version: 7, Summary: admission.Summary{Limit: 8}})
	st.recordOutcome(start, broken, true, len(servers))
	st.recordOutcome(start, broken, true, len(servers))
	got := 0
	for i := range uint64(200) {
		st.markSafe(start, i)
		s, err := st.choose(start, servers, query{fingerprint: i, affinityKey: i})
		is.NoErr(err)
		if s.ID == broken {
			got++
		}
	}
	is.True(got < 50) // Less than its share of a quarter, although it appears idle.
	st.recordOutcome(start, broken, true, len(servers))
	for i := range uint64(200) {
		s, err := st.choose(start, servers, query{fingerprint: i, affinityKey: i})
		is.NoErr(err)
		is.True(s.ID != broken)
	}
}

func TestNewServerSlowStart(t *testing.T) {
	is := is.New(t)
	st, servers := newTestState(4)
	servers = append(servers, server.Server{ID: "new"})
	share := func(now time.Time) int {
		got := 0
		for i := range uint64(400) {
			st.markSafe(now, i)
			for _, s := range servers {
				st.updateSummary(owner.Summary{At: now, Server: s.ID, Version: 7, Summary: admission.Summary{InFlight: 1, Limit: 8}})
			}
			s, err := st.choose(now, servers, query{fingerprint: i, affinityKey: i})
			is.NoErr(err)
			if s.ID == "new" {
				got++
			}
		}
		return got
	}
	is.Equal(share(start), 0)
	is.True(share(start.Add(time.Minute)) > 40)
}

func TestMinVersionExcludesOlderServers(t *testing.T) {
	is := is.New(t)
	st, servers := newTestState(3)
	_, err := st.choose(start, servers, query{call: dispatch.Call{MinVersion: 8}, fingerprint: 1, affinityKey: 1})
	is.True(kind.Is(err, kind.Unavailable))
	is.Equal(kind.Of(err).Ran, kind.RanNo)
	st.updateSummary(owner.Summary{At: start.Add(time.Millisecond), Server: servers[1].ID, Version: 8})
	s, err := st.choose(start, servers, query{call: dispatch.Call{MinVersion: 8}, fingerprint: 1, affinityKey: 1})
	is.NoErr(err)
	is.Equal(s.ID, servers[1].ID)
}

// BenchmarkChoose measures the choice among the 440 engines of a large service.
func BenchmarkChoose(b *testing.B) {
	st, servers := newTestState(440)
	b.ReportAllocs()
	for i := uint64(0); b.Loop(); i++ {
		_, _ = st.choose(start, servers, query{fingerprint: i, affinityKey: i})
	}
}
