package server_test

import (
	"net"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/nutmegway/nutmegway/internal/external/hostlist"
	"github.com/nutmegway/nutmegway/internal/fleet/server"
)

func TestAnySourceMarksServerLeaving(t *testing.T) {
	now := time.Unix(1_800_000_000, 0)
	hosts := []hostlist.Host{{ID: "s1", Service: "a", State: hostlist.StateLive, Role: hostlist.RoleEngine}}
	leavingHosts := []hostlist.Host{{ID: "s1", Service: "a", State: hostlist.StateLeaving, Role: hostlist.RoleEngine}}
	for name, source := range map[string]func(d *server.Directory){
		"host list":          func(d *server.Directory) { d.SetHosts(leavingHosts) },
		"server report":      func(d *server.Directory) { d.SetReportedLeaving("s1", true) },
		"refused connection": func(d *server.Directory) { d.ConnectionRefused("s1") },
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

func TestReportedLeavingOutlivesStaleHostList(t *testing.T) {
	is := is.New(t)
	hosts := []hostlist.Host{{ID: "s1", Service: "a", State: hostlist.StateLive, Role: hostlist.RolePlain}}
	d := &server.Directory{}
	d.SetHosts(hosts)
	d.SetReportedLeaving("s1", true)
	d.SetHosts(hosts) // the host list may be 30 s behind the server
	is.True(d.Servers("a")[0].Leaving)
	d.SetHosts(nil)
	d.SetHosts(hosts) // the server was removed and listed again
	is.Equal(d.Servers("a")[0].Leaving, false)
}

func TestRefusalBackoffDoubles(t *testing.T) {
	is := is.New(t)
	now := time.Unix(1_800_000_000, 0)
	d := &server.Directory{Now: func() time.Time { return now }}
	d.SetHosts([]hostlist.Host{{ID: "s1", Service: "a", Role: hostlist.RoleEngine}})
	leaving := func() bool { return d.Servers("a")[0].Leaving }
	d.ConnectionRefused("s1")
	d.ConnectionRefused("s1") // a concurrent connection, counted once
	now = now.Add(time.Second)
	is.Equal(leaving(), false)
	d.ConnectionRefused("s1")
	now = now.Add(time.Second)
	is.True(leaving())
	now = now.Add(time.Second)
	is.Equal(leaving(), false)
	d.ConnectionAccepted("s1")
	d.ConnectionRefused("s1")
	now = now.Add(time.Second)
	is.Equal(leaving(), false)
}

func TestDialerReportsRefusals(t *testing.T) {
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
