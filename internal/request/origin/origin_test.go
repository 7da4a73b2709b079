package origin_test

import (
	"context"
	"log/slog"
	"strconv"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
	"golang.org/x/sync/errgroup"

	"github.com/nutmegway/nutmegway/internal/request/origin"
	"github.com/nutmegway/nutmegway/internal/standin/kvmemory"
)

const originPrefix = "nutmegway/stream-origins/"

// recentVersions is what hosts know of the versions of a service.
type recentVersions struct {
	versions []string
	complete bool
}

func newOrigins(store *kvmemory.Store, recent *recentVersions) *origin.Origins {
	return &origin.Origins{
		Confirm: func(context.Context, string) ([]string, bool) { return recent.versions, recent.complete },
		Logger:  slog.New(slog.DiscardHandler), Recent: func(string) ([]string, bool) { return recent.versions, recent.complete }, Store: store,
	}
}

// run runs the origins for a while.
func run(t *testing.T, o *origin.Origins) {
	t.Helper()
	ctx, cancel := context.WithTimeout(t.Context(), time.Second)
	defer cancel()
	var group errgroup.Group
	group.Go(func() error { return o.Run(ctx) })
	_ = group.Wait()
}

func TestFind(t *testing.T) {
	cases := map[string]struct {
		recent recentVersions
		// recorded is the version of the stream that another host, which is gone, had.
		recorded string
		id       string
		services []string
		want     string
		ok       bool
	}{
		"recorded while there were two versions":  {recent: recentVersions{versions: []string{"a", "b"}, complete: true}, recorded: "a", id: "x", services: []string{"s"}, want: "a", ok: true},
		"recorded while versions weren't certain": {recent: recentVersions{versions: []string{"b"}}, recorded: "a", id: "x", services: []string{"s"}, want: "a", ok: true},
		"not recorded, two versions":              {recent: recentVersions{versions: []string{"a", "b"}, complete: true}, id: "x", services: []string{"s"}},
		"not recorded, one version":               {recent: recentVersions{versions: []string{"b"}, complete: true}, id: "x", services: []string{"s"}, want: "b", ok: true},
		"not recorded, perhaps one version":       {recent: recentVersions{versions: []string{"b"}}, id: "x", services: []string{"s"}},
		"no id, one version":                      {recent: recentVersions{versions: []string{"b"}, complete: true}, services: []string{"s"}, want: "b", ok: true},
		"no id, two versions":                     {recent: recentVersions{versions: []string{"a", "b"}, complete: true}, services: []string{"s"}},
		"not recorded, two services":              {recent: recentVersions{versions: []string{"b"}, complete: true}, id: "x", services: []string{"s", "r"}},
		"recorded, two services":                  {recent: recentVersions{versions: []string{"b"}, complete: true}, recorded: "a", id: "x", services: []string{"s", "r"}, want: "a", ok: true},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				store := &kvmemory.Store{}
				if c.recorded != "" {
					gone := newOrigins(store, &c.recent)
					gone.Record("x", origin.Origin{Service: "s", Software: c.recorded}, len(c.services))
					run(t, gone)
				}
				found, ok := newOrigins(store, &c.recent).Find(t.Context(), c.id, c.services)
				is.Equal(ok, c.ok)
				is.Equal(found.Software, c.want)
			})
		})
	}
}

// TestOriginsAreWrittenOnceTheyAreNeeded has many streams begin at the only version of a
// service, and another version appear.
func TestOriginsAreWrittenOnceTheyAreNeeded(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		store := &kvmemory.Store{}
		recent := &recentVersions{versions: []string{"a"}, complete: true}
		o := newOrigins(store, recent)
		for n := range 100 {
			o.Record(strconv.Itoa(n), origin.Origin{Service: "s", Software: "a"}, 1)
		}
		run(t, o)
		entries, _, err := store.List(t.Context(), originPrefix)
		is.NoErr(err)
		is.Equal(len(entries), 0)
		recent.versions = []string{"a", "b"}
		run(t, o)
		entries, _, err = store.List(t.Context(), originPrefix)
		is.NoErr(err)
		is.Equal(len(entries), 100)
		_, ok := newOrigins(store, recent).Find(t.Context(), "99", []string{"s"})
		is.True(ok)
	})
}

func TestOriginsAreWrittenAfterStoreOutage(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		store := &kvmemory.Store{}
		recent := &recentVersions{versions: []string{"a", "b"}, complete: true}
		o := newOrigins(store, recent)
		o.Record("x", origin.Origin{Service: "s", Software: "a"}, 1)
		store.Inject(func(string) kvmemory.Fault { return kvmemory.FaultRefused })
		run(t, o)
		found, ok := o.Find(t.Context(), "x", []string{"s"}) // this host knows it
		is.True(ok)
		is.Equal(found.Software, "a")
		store.Inject(nil)
		run(t, o)
		found, ok = newOrigins(store, recent).Find(t.Context(), "x", []string{"s"})
		is.True(ok)
		is.Equal(found.Software, "a")
	})
}

// TestOnlyKnownVersionIsNotTakenForOriginWhileTheStoreIsAway has the store fail at a host that
// knows one version. Others may have come since it last heard from the store.
func TestOnlyKnownVersionIsNotTakenForOriginWhileTheStoreIsAway(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := &kvmemory.Store{}
		store.Inject(func(string) kvmemory.Fault { return kvmemory.FaultRefused })
		o := newOrigins(store, &recentVersions{versions: []string{"a"}, complete: true})
		_, ok := o.Find(t.Context(), "x", []string{"s"})
		is.New(t).True(!ok)
	})
}
