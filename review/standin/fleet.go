package main

import (
	"bytes"
	"context"
	"encoding/base64"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"syscall"
	"time"
)

// record is the file to which a case writes what was sent, answered and run.
type record struct {
	mu    sync.Mutex
	file  *os.File
	start time.Time
}

func (r *record) printf(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	fmt.Fprintf(r.file, "%8.3f s  %s\n", time.Since(r.start).Seconds(), fmt.Sprintf(format, args...))
}

// errCannotRun is the panic of a case that could not be set up.
type errCannotRun struct{ error }

func check(err error) {
	if err != nil {
		panic(errCannotRun{err})
	}
}

// node is a host of the system, run as a process of its own.
type node struct {
	name, front, ready string
	settings           string
	cmd                *exec.Cmd
	log                *os.File
	fleet              *fleet
	// toStore is the host's way to the store.
	toStore *gate
}

// fleet is a small deployment.
type fleet struct {
	dir     string
	nodes   []*node
	record  *record
	servers []*server
	store   *store
	trouble bool
	// onStoreCall, if set, is called for each call of a host to the store.
	onStoreCall func(*node, *http.Request)
	// names are the names of the hosts; those that are missing get a number.
	names []string
}

const (
	routeHost   = "review.example"
	batchPrefix = "/batches/"
	plainPrefix = "/look-ups/"
	modelName   = "drafter"
	// itemBytes is the size of an item's body, as on the sheet of the site.
	itemBytes = 600
	engines   = "generators"
	plains    = "records"
)

// start starts the store, the servers and the hosts, and waits until all hosts are ready.
func (f *fleet) start(hosts int) {
	f.store.put("op/config", config(1))
	go f.store.expireLeases(context.Background())
	for _, s := range f.servers {
		s.record, s.store = f.record, f.store
		s.start()
	}
	for n := range hosts {
		listener, err := net.Listen("tcp", "127.0.0.1:0")
		check(err)
		node := f.newNode(n, listener.Addr().String())
		node.toStore = &gate{store: f.store}
		handler := http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			if f.onStoreCall != nil {
				f.onStoreCall(node, r)
			}
			node.toStore.ServeHTTP(w, r)
		})
		go func() { _ = (&http.Server{Handler: handler}).Serve(listener) }()
		f.nodes = append(f.nodes, node)
	}
	for _, n := range f.nodes {
		n.run()
	}
	for _, n := range f.nodes {
		n.awaitReady(20 * time.Second)
	}
	time.Sleep(3 * time.Second)
}

// batchRoute is a route for batch submissions.
func batchRoute(name, prefix string) map[string]any {
	return map[string]any{
		"name": name, "host": routeHost, "prefix": prefix, "kind": "rollout", "timeoutMs": 10000, "latencySloMs": 500,
		"priority": 1, "service": engines, "maxAttempts": 3, "maxQueueS": 40.0, "runTargetMs": 7500, "singleVersion": false,
		"sticky": true, "resumable": true,
	}
}

// config is a configuration of the operator with some routes besides the two that are always
// there.
func config(version int, more ...map[string]any) map[string]any {
	routes := []map[string]any{
		batchRoute("batches", batchPrefix),
		{
			"name": "look-ups", "host": routeHost, "prefix": plainPrefix, "kind": "idempotent", "timeoutMs": 2000, "latencySloMs": 150,
			"priority": 2, "service": plains, "maxAttempts": 2,
		},
	}
	return map[string]any{
		"version": version, "routes": append(routes, more...),
		"services": []map[string]any{
			{
				"name": engines, "healthPath": "/healthz", "maxConns": 180, "protocol": "h1", "tls": false,
				"engine": map[string]any{"slots": 16, "kvTokens": 47645, "models": []map[string]any{{"name": modelName}}},
			},
			{"name": plains, "healthPath": "/healthz", "maxConns": 110, "protocol": "h1", "tls": false},
		},
		"limits": map[string]any{"maxHeaderBytes": 16384, "maxBodyBytes": 33554432, "headerTimeoutMs": 3000, "idleTimeoutMs": 15000},
	}
}

// newNode writes the settings of a host. Each host has a loopback address of its own.
func (f *fleet) newNode(number int, storeAddress string) *node {
	ip := fmt.Sprintf("127.%d.%d.%d", 64+os.Getpid()>>8&63, os.Getpid()&255, number+1)
	at := func(port int) string { return fmt.Sprintf("%s:%d", ip, port) }
	name := fmt.Sprintf("edge-%d", number+1)
	if number < len(f.names) {
		name = f.names[number]
	}
	n := &node{name: name, front: at(8263), ready: at(8268), fleet: f}
	data, err := json.Marshal(map[string]any{
		"node": n.name, "role": "entry", "machineClass": "edge", "serves": []string{"edge", "registry"}, "ip": ip, "zone": "zone-a",
		"region": "region", "zones": map[string]string{"zone-a": "region"},
		"listen":    map[string]string{"front": n.front, "ready": n.ready, "control": at(8262), "directory": at(8260)},
		"portRange": []int{7300, 7315}, "seeds": []string{}, "bootstrap": true, "inTolerance": false,
		"limits":    map[string]any{"cpuShare": 0.4, "cores": 1, "memoryMb": 134, "maxFds": 4100, "linkMbps": 1000.0, "diskMb": 0},
		"discovery": "platform", "entry": "registry", "heartbeatMs": 1200,
		"contracts": []string{"base", "drain", "config", "cost", "recover", "samples", "stream", "engine", "batch", "platform"},
		"bounds": map[string]any{
			"seedLagS": 3, "reuseDelayS": 2, "contactMs": 3000, "ackMs": 4000, "catchUpS": 5.6, "drainMs": 2000, "graceS": 8,
			"lossSlackMs": 200, "configApplyMs": 2000, "rollbackSlackMs": 250, "outerMs": 5000, "recoveryS": 12, "passMs": 120,
			"finishS": 10, "statusS": 120, "cancelMs": 3000, "settleMs": 1000, "quotaOverage": 0.1, "fencing": false, "leaseMs": 3000,
			"thawSlackMs": 300, "ttl_max_s": 5,
		},
		"platform": map[string]any{
			"address": storeAddress, "form": "kv", "writesPerS": 400, "readsPerS": 2000, "historyS": 20, "valueBytes": 1048576, "minTtlMs": 1000,
		},
	})
	check(err)
	n.settings = filepath.Join(f.dir, n.name+".json")
	check(os.WriteFile(n.settings, data, 0o600))
	n.log, err = os.Create(filepath.Join(f.dir, n.name+".log"))
	check(err)
	return n
}

// run starts the process of the host with the command of the deploy file.
func (n *node) run() {
	n.cmd = exec.Command("target/nutmegway", "host")
	n.cmd.Env = append(os.Environ(), "NUTMEGWAY_NODE_FILE="+n.settings)
	n.cmd.Stdout, n.cmd.Stderr = n.log, n.log
	n.cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	check(n.cmd.Start())
	n.fleet.record.printf("host %s started", n.name)
}

func (n *node) awaitReady(limit time.Duration) {
	for end := time.Now().Add(limit); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
		response, err := http.Get("http://" + n.ready + "/ready")
		if err != nil {
			continue
		}
		_ = response.Body.Close()
		if response.StatusCode == http.StatusOK {
			return
		}
	}
	check(errors.New(n.name + " is not ready"))
}

func (n *node) signal(s os.Signal) {
	n.fleet.record.printf("host %s gets signal %s", n.name, s)
	check(n.cmd.Process.Signal(s))
}

// stop ends all hosts.
func (f *fleet) stop() {
	for _, n := range f.nodes {
		if n.cmd != nil && n.cmd.Process != nil {
			_ = n.cmd.Process.Kill()
			_ = n.cmd.Wait()
		}
	}
}

// batch is a batch submission.
type batch struct {
	id     string
	events map[string]int
	groups map[string]string
	body   []byte
	prefix string
	target int
}

// newBatch returns a batch submission with groups of items that ask for a number of events.
func newBatch(prefix, id string, groups, size, events, target int) *batch {
	b := &batch{id: id, events: map[string]int{}, groups: map[string]string{}, prefix: prefix, target: target}
	var items []map[string]any
	for g := range groups {
		for i := range size {
			item, group := fmt.Sprintf("%s-g%d-i%d", id, g, i), fmt.Sprintf("%s-g%d", id, g)
			b.events[item], b.groups[item] = events, group
			items = append(items, map[string]any{
				"id": item, "path": prefix + "1/" + item, "group": group, "tokens": 300 + 10*events,
				"headers": map[string]string{"X-Model": modelName, "X-Token-Count": fmt.Sprintf("300,%d", 10*events), "X-Prompt-Prefix": "9c2e41:300"},
				"body":    base64.StdEncoding.EncodeToString(fmt.Appendf(nil, "%-*d", itemBytes, events)),
			})
		}
	}
	var err error
	b.body, err = json.Marshal(map[string]any{"step": 0, "model": modelName, "minVersion": 1, "targetGroups": target, "items": items})
	check(err)
	return b
}

// result is a result of a batch submission.
type result struct {
	ID       string  `json:"id"`
	State    string  `json:"state"`
	Text     string  `json:"text"`
	Versions []int64 `json:"versions"`
}

// page is the answer to a read of a batch submission.
type page struct {
	Total   int      `json:"total"`
	Next    int      `json:"next"`
	Results []result `json:"results"`
}

// call sends one call of a client on a connection of its own. Status 0 means that no answer
// came.
func (f *fleet) call(n *node, method, path string, header map[string]string, body []byte, limit time.Duration) (int, []byte) {
	ctx, cancel := context.WithTimeout(context.Background(), limit)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, method, "http://"+n.front+path, bytes.NewReader(body))
	check(err)
	request.Host = routeHost
	for name, value := range header {
		request.Header.Set(name, value)
	}
	transport := &http.Transport{DisableKeepAlives: true, DisableCompression: true}
	response, err := transport.RoundTrip(request)
	if err != nil {
		return 0, nil
	}
	defer func() { _ = response.Body.Close() }()
	data, err := io.ReadAll(response.Body)
	if err != nil {
		return 0, nil
	}
	return response.StatusCode, data
}

// submit submits a batch at a host.
func (f *fleet) submit(n *node, b *batch, limit time.Duration) int {
	f.record.printf("client sends batch %s to %s", b.id, n.name)
	header := map[string]string{"X-Request-Id": b.id, "Content-Type": "application/json", "X-Deadline-Ms": "12000"}
	status, _ := f.call(n, http.MethodPost, b.prefix+b.id, header, b.body, limit)
	f.record.printf("batch %s at %s is answered with %d", b.id, n.name, status)
	return status
}

// read reads results of a batch from a position on.
func (f *fleet) read(n *node, id string, after int, wait time.Duration) (int, page) {
	header := map[string]string{}
	if wait > 0 {
		header["X-Wait-Ms"] = fmt.Sprint(wait.Milliseconds())
	}
	status, data := f.call(n, http.MethodGet, fmt.Sprintf("/lots/%s?after=%d", id, after), header, nil, wait+1500*time.Millisecond)
	var p page
	if status == http.StatusOK {
		if err := json.Unmarshal(data, &p); err != nil {
			f.record.printf("read of %s at %s is no JSON: %.100q", id, n.name, data)
			return -1, page{}
		}
	}
	f.record.printf("read of %s from %d at %s: status %d, %d results, next %d of %d", id, after, n.name, status, len(p.Results), p.Next, p.Total)
	return status, p
}

// end ends a batch.
func (f *fleet) end(n *node, id string) int {
	status, _ := f.call(n, http.MethodDelete, "/lots/"+id, nil, nil, 3*time.Second)
	f.record.printf("end of batch %s at %s is answered with %d", id, n.name, status)
	return status
}

// readAll reads a batch until all or the awaited groups are listed, or until limit.
func (f *fleet) readAll(n *node, b *batch, results *[]result, limit time.Duration) bool {
	missing := map[string]int{}
	for _, group := range b.groups {
		missing[group]++
	}
	whole := 0
	for _, r := range *results {
		if missing[b.groups[r.ID]]--; missing[b.groups[r.ID]] == 0 {
			whole++
		}
	}
	for end := time.Now().Add(limit); time.Now().Before(end); {
		if whole >= b.target {
			return true
		}
		status, p := f.read(n, b.id, len(*results), time.Second)
		if status != http.StatusOK {
			time.Sleep(200 * time.Millisecond)
			continue
		}
		for _, r := range p.Results {
			*results = append(*results, r)
			if missing[b.groups[r.ID]]--; missing[b.groups[r.ID]] == 0 {
				whole++
			}
		}
	}
	return whole >= b.target
}

// owner returns the host that runs a batch. It only chooses the host to disturb.
func (f *fleet) owner(id string) *node {
	var head struct {
		Owner struct {
			Host string `json:"host"`
		} `json:"owner"`
	}
	_ = json.Unmarshal(f.store.value("nutmegway/live/batches/"+id), &head)
	for _, n := range f.nodes {
		if n.name == head.Owner.Host {
			return n
		}
	}
	return nil
}

// findOwner lets a small batch run and returns the host that ran it, which also runs the later
// batches of the model.
func (f *fleet) findOwner(id string) *node {
	first := newBatch(batchPrefix, id, 2, 2, 5, 2)
	var results []result
	if f.submit(f.nodes[0], first, 3*time.Second) != http.StatusAccepted || !f.readAll(f.nodes[0], first, &results, 10*time.Second) {
		check(errors.New("the small batch did not complete"))
	}
	owner := f.owner(first.id)
	if owner == nil {
		check(errors.New("nobody ran the small batch"))
	}
	f.end(f.nodes[0], first.id)
	return owner
}
