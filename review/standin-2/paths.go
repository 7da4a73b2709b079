package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"time"
)

func init() { cases["paths"] = paths }

// paths has a client ask for paths whose bytes a server must get unchanged.
func paths(w *world) int {
	w.sendConfig(1, batchRoutes(), "m0")
	w.startApps()
	w.addHosts(4, 134, []string{"z0", "z1", "z2", "z3"})
	targets := []string{"plots/12", "plots/12?row=3", "a%2Fb", "a%7Cb", "a[1];x=2", "caf%C3%A9"}
	if w.trouble {
		targets = []string{"a|b", "plots/{12}", "caf\xc3\xa9", "plots/12#row", "plots/12?row=3#top", "a^b"}
	}
	changed, answered := 0, 0
	for n, target := range targets {
		sent := singlePrefix + target
		for _, h := range w.hosts {
			status, ran, err := w.ask(h, sent)
			if err != nil || status != http.StatusOK {
				w.note("client: %q to %s: status %d, %v", sent, h.name, status, err)
				continue
			}
			answered++
			if ran != sent {
				changed++
			}
			w.note("client: path %d, %q sent to %s, the server ran %q", n, sent, h.name, ran)
		}
	}
	w.note("%d requests, %d answered with success; at the servers %d ran with another path than was sent", len(targets)*len(w.hosts), answered, changed)
	if changed > 0 {
		return broken
	}
	return held
}

// ask sends a request whose target is exactly the given bytes. It returns the target that the
// server got, which is the third word of its answer.
func (w *world) ask(h *host, target string) (status int, ran string, err error) {
	conn, err := net.DialTimeout("tcp", h.front(), 2*time.Second)
	if err != nil {
		return 0, "", err
	}
	defer func() { _ = conn.Close() }()
	_ = conn.SetDeadline(time.Now().Add(3 * time.Second))
	if _, err = fmt.Fprintf(conn, "POST %s HTTP/1.1\r\nHost: %s\r\nX-Request-Id: %s\r\nX-Deadline-Ms: 2000\r\nContent-Length: 1\r\nConnection: close\r\n\r\nx", target, hostName, w.id()); err != nil {
		return 0, "", err
	}
	r, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err != nil {
		return 0, "", err
	}
	defer func() { _ = r.Body.Close() }()
	body, err := io.ReadAll(r.Body)
	if words := strings.SplitN(string(body), " ", 3); len(words) == 3 {
		ran = words[2]
	}
	return r.StatusCode, ran, err
}
