package batchrun_test

import (
	"fmt"
	"net/http"
	"strconv"
	"strings"
	"testing"

	"github.com/matryer/is"

	"github.com/nutmegway/nutmegway/internal/backend/inventory"
	"github.com/nutmegway/nutmegway/internal/rollout/batch"
	"github.com/nutmegway/nutmegway/internal/standin/kvmemory"
)

// writeAs makes an engine write texts in the manner of a software version. The first run of
// an item ends after breakAfter events without an end of the stream; zero breaks none.
func (e *engineServer) writeAs(software string, breakAfter int) {
	broken := false
	e.handle = func(w http.ResponseWriter, r *http.Request) bool {
		e.mu.Lock()
		last := eventsPerItem
		if breakAfter > 0 && !broken {
			last, broken = breakAfter, true
		}
		e.mu.Unlock()
		w.Header().Set("Content-Type", "text/event-stream")
		w.Header().Set("X-Request-Id", r.Header.Get("X-Request-Id"))
		w.Header().Set("Weight-Version", "1")
		from, _ := strconv.Atoi(r.Header.Get("Resume-After"))
		for n := from + 1; n <= last; n++ {
			fmt.Fprintf(w, "id: %d\ndata: %s-%d\n\n", n, software, n)
			_ = http.NewResponseController(w).Flush()
		}
		if last < eventsPerItem {
			panic(http.ErrAbortHandler)
		}
		return true
	}
}

// setSoftware sets the software version of the engine n of a host and its weight versions.
// An engine that holds no weights runs no items.
func (h *host) setSoftware(n int, software string, holdsWeights bool) {
	s, _ := h.inventory.Get(fmt.Sprint("e", n))
	s.Software = software
	s.Versions = map[string]int64{}
	if holdsWeights {
		s.Versions["m"] = 1
	}
	h.inventory.Set(s)
}

func textOf(software string) string {
	var events []string
	for n := range eventsPerItem {
		events = append(events, fmt.Sprintf("%s-%d", software, n+1))
	}
	return strings.Join(events, "\n")
}

func TestTextIsNotJoinedFromTwoSoftwareVersions(t *testing.T) {
	cases := map[string]struct {
		// third is the software of the engine that runs items beside one of version b,
		// after the engine of version a broke off.
		third    string
		want     string
		requests []string
	}{
		"an engine of the version serves": {third: "a", want: textOf("a"), requests: []string{"x-i0@3"}},
		"no engine of the version serves": {third: "c", want: textOf("c"), requests: []string{"x-i0@"}},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			engines := []*engineServer{newEngine(t), newEngine(t), newEngine(t)}
			engines[0].writeAs("a", 3)
			engines[1].writeAs("b", 0)
			engines[2].writeAs(c.third, 0)
			h := newHost(t, "h", &kvmemory.Store{}, engines...)
			h.setSoftware(0, "a", true)
			h.setSoftware(1, "b", false)
			h.setSoftware(2, c.third, false)
			inner := engines[0].handle
			engines[0].handle = func(w http.ResponseWriter, r *http.Request) bool {
				// The others may run items once this engine has broken off.
				h.setSoftware(1, "b", c.third == "a")
				h.setSoftware(2, c.third, true)
				return inner(w, r)
			}
			is.NoErr(h.service.Submit(t.Context(), sampleBatch(1)))
			results := readAll(t, h.service)
			is.Equal(results[0].Text, c.want)
			is.Equal(engines[2].requests(), c.requests)
			is.Equal(len(engines[1].requests()), 0)
		})
	}
}

// TestKeptTextIsNotJoinedFromTwoSoftwareVersions has the next owner of a batch know engines
// of another version only, or a text that was kept without the version that began it.
func TestKeptTextIsNotJoinedFromTwoSoftwareVersions(t *testing.T) {
	cases := map[string]struct {
		kept      batch.Partial
		available string
		requests  []string
	}{
		"another version":   {kept: batch.Partial{Software: "a"}, available: "b", requests: []string{"x-i0@"}},
		"the same version":  {kept: batch.Partial{Software: "b"}, available: "b", requests: []string{"x-i0@2"}},
		"version not known": {available: "b", requests: []string{"x-i0@"}},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			store := &kvmemory.Store{}
			batches := &batch.Store{KV: store}
			c.kept.Item, c.kept.LastEvent, c.kept.Events, c.kept.Versions = "x-i0", "2", []string{"b-1", "b-2"}, []int64{1}
			is.NoErr(batches.SavePartials(t.Context(), "x", []batch.Partial{c.kept}))
			engine := newEngine(t)
			engine.writeAs("b", 0)
			h := newHost(t, "h", store, engine)
			h.setSoftware(0, c.available, true)
			_, _, err := batches.Accept(t.Context(), sampleBatch(1), batch.Owner{})
			is.NoErr(err)
			results := readAll(t, h.service)
			is.Equal(results[0].Text, textOf("b"))
			is.Equal(engine.requests(), c.requests)
		})
	}
}

// TestServerThatCameBackWithOtherSoftwareDoesNotGoOn has an engine start again under its id
// with other software while its old entry is still known.
func TestServerThatCameBackWithOtherSoftwareDoesNotGoOn(t *testing.T) {
	is := is.New(t)
	e := newEngine(t)
	e.writeAs("a", 3)
	first := e.handle
	h := newHost(t, "h", &kvmemory.Store{}, e)
	h.setSoftware(0, "a", true)
	runs := 0
	e.handle = func(w http.ResponseWriter, r *http.Request) bool {
		if runs++; runs == 1 {
			return first(w, r)
		}
		if runs == 2 {
			e.writeAs("b", 0)
			second := e.handle
			h.inventory.Set(inventory.Server{
				Address: strings.TrimPrefix(e.URL, "http://"), ID: "e0", Service: "s", Slots: 4, Software: "b", Started: 2,
				Versions: map[string]int64{"m": 1},
			})
			return second(w, r)
		}
		return false
	}
	is.NoErr(h.service.Submit(t.Context(), sampleBatch(1)))
	is.Equal(readAll(t, h.service)[0].Text, textOf("b"))
}

// TestTextIsKeptWhileItsEnginesBackOff has the only engine break off, so that no engine could
// generate the text from the start either.
func TestTextIsKeptWhileItsEnginesBackOff(t *testing.T) {
	is := is.New(t)
	e := newEngine(t)
	e.writeAs("a", 3)
	h := newHost(t, "h", &kvmemory.Store{}, e)
	h.setSoftware(0, "a", true)
	is.NoErr(h.service.Submit(t.Context(), sampleBatch(1)))
	is.Equal(readAll(t, h.service)[0].Text, textOf("a"))
	is.Equal(e.requests(), []string{"x-i0@", "x-i0@3"})
}

// TestTextStartsOverIfItIsNotResumed has an engine that begins anew whatever it is asked.
func TestTextStartsOverIfItIsNotResumed(t *testing.T) {
	is := is.New(t)
	e := newEngine(t)
	broken := false
	e.handle = func(w http.ResponseWriter, r *http.Request) bool {
		e.mu.Lock()
		first := !broken
		broken = true
		e.mu.Unlock()
		r.Header.Del("Resume-After")
		if !first {
			return false
		}
		e.stream(w, r, 3)
		panic(http.ErrAbortHandler)
	}
	h := newHost(t, "h", &kvmemory.Store{}, e)
	is.NoErr(h.service.Submit(t.Context(), sampleBatch(1)))
	is.Equal(readAll(t, h.service)[0].Text, expectedText("x-i0"))
	is.Equal(e.requests(), []string{"x-i0@", "x-i0@3", "x-i0@"})
}
