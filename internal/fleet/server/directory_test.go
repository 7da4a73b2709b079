package server_test

import (
	"net"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/nutmegway/nutmegway/internal/external/hostlist"
	"github.com/nutmegway/nutmegway/internal/fleet/server"
)

func TestEarliestSourceWins(t *testing.T) {
	now := time.Unix(1_800_000_000, 0)
	hosts := []hostlist.Host{{ID: "s1", Service: "a", State: hostlist.StateLive, Role: hostlist.RoleEngine}}
	leavingHosts := []hostlist.Host{{ID: "s1", Service: "a", State: hostlist.StateLeaving, Role: hostlist.RoleEngine}}
	for name, source := range map[string]func(d *server.Directory){
		"host list":          func(d *server.Directory) { d.SetHosts(leavingHosts) },
		"own flag":           func(d *server.Directory) { d.SetLeaving("s1", true) },
		"refused connection": func(d *server.Directory) { d.Refused("s1") },
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			d := &server.Directory{Now: func() time.Time { return now }}
			d.SetHosts(hosts)
			is.Equal(d.Servers("a")[0].Leaving, false)
			source(d)
			is.Equal(d.Servers("a")[0].Leaving, true)
		})
	}
}

func TestOwnFlagOutlivesALateHostList(t *testing.T) {
	is := is.New(t)
	hosts := []hostlist.Host{{ID: "s1", Service: "a", State: hostlist.StateLive, Role: hostlist.RolePlain}}
	d := &server.Directory{}
	d.SetHosts(hosts)
	d.SetLeaving("s1", true)
	d.SetHosts(hosts) // thirty seconds behind
	is.True(d.Servers("a")[0].Leaving)
	d.SetHosts(nil)
	d.SetHosts(hosts) // replaced
	is.Equal(d.Servers("a")[0].Leaving, false)
}

func TestRefusalsWaitLonger(t *testing.T) {
	is := is.New(t)
	now := time.Unix(1_800_000_000, 0)
	d := &server.Directory{Now: func() time.Time { return now }}
	d.SetHosts([]hostlist.Host{{ID: "s1", Service: "a", Role: hostlist.RoleEngine}})
	leaving := func() bool { return d.Servers("a")[0].Leaving }
	d.Refused("s1")
	d.Refused("s1") // at the same moment
	now = now.Add(time.Second)
	is.Equal(leaving(), false)
	d.Refused("s1")
	now = now.Add(time.Second)
	is.True(leaving())
	now = now.Add(time.Second)
	is.Equal(leaving(), false)
	d.Answered("s1")
	d.Refused("s1")
	now = now.Add(time.Second)
	is.Equal(leaving(), false)
}

func TestDialerNoticesRefusals(t *testing.T) {
	is := is.New(t)
	var config net.ListenConfig
	listener, err := config.Listen(t.Context(), "tcp", "127.0.0.1:0")
	is.NoErr(err)
	address := listener.Addr().String()
	now := time.Unix(1_800_000_000, 0)
	d := &server.Directory{Now: func() time.Time { return now }}
	d.SetHosts([]hostlist.Host{{Address: address, ID: "s1", Service: "a", Role: hostlist.RoleEngine}})
	dialer := &server.Dialer{Directory: d}
	conn, err := dialer.DialContext(t.Context(), "tcp", address)
	is.NoErr(err)
	is.NoErr(conn.Close())
	is.Equal(d.Servers("a")[0].Leaving, false)
	is.NoErr(listener.Close())
	_, err = dialer.DialContext(t.Context(), "tcp", address)
	is.True(err != nil)
	is.True(d.Servers("a")[0].Leaving)
}
