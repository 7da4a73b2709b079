// Command standin-2 plays the cases of the second review: a sound platform, its servers and
// its clients, with the hosts of the product as separate processes.
package main

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"runtime"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
	"unsafe"
)

// world is the platform, its servers and the hosts of the product.
type world struct {
	binary, folder string
	began          time.Time
	// trouble is false if the case is played without its disruption.
	trouble bool
	// cores is how many cores a machine of the system exposes.
	cores int

	store     *store
	storeAddr string
	hosts     []*host
	ports     [3]int

	recordMu sync.Mutex
	record   *os.File
	ids      atomic.Uint64
}

func (w *world) now() float64 { return time.Since(w.began).Seconds() }

// note writes a line of the record.
func (w *world) note(format string, args ...any) {
	w.recordMu.Lock()
	defer w.recordMu.Unlock()
	fmt.Fprintf(w.record, "%8.3f %s\n", w.now(), fmt.Sprintf(format, args...))
}

// id returns a new id of a request, a batch or an item.
func (w *world) id() string { return fmt.Sprintf("%016x", w.ids.Add(1)*0x9e3779b97f4a7c15) }

// ip returns an address of the loopback range. Cases that run at once have different ones.
func (w *world) ip(n int) string {
	pid := os.Getpid()
	return fmt.Sprintf("127.%d.%d.%d", 20+pid/250%200, 1+pid%250, n)
}

// serve serves a handler on a free port of the address.
func (w *world) serve(ip string, handler http.Handler) (net.Listener, *http.Server) {
	listener, err := net.Listen("tcp", ip+":0")
	if err != nil {
		panic(err)
	}
	server := &http.Server{Handler: handler}
	go func() { _ = server.Serve(listener) }()
	return listener, server
}

// The settings that small deployments have in common.
var bounds = map[string]any{
	"seedLagS": 3, "reuseDelayS": 2, "contactMs": 3000, "ackMs": 4000, "catchUpS": 5.6, "drainMs": 2000, "graceS": 8,
	"lossSlackMs": 200, "configApplyMs": 2000, "rollbackSlackMs": 250, "outerMs": 5000, "recoveryS": 12, "passMs": 120,
	"retryAfterS": 0, "finishS": 10, "statusS": 120, "cancelMs": 3000, "settleMs": 1000, "quotaOverage": 0.1, "fencing": false,
	"leaseMs": 3000, "thawSlackMs": 300, "ttl_max_s": 5,
}

// host is a machine of the system with one process.
type host struct {
	world    *world
	name, ip string
	zone     string
	memoryMB int
	// firstCore is the first core of this machine that the process may use.
	firstCore int
	settings  string
	log       string

	mu      sync.Mutex
	process *exec.Cmd
	starts  int
	// ends counts the ends of the process that no disruption caused: own ones, and those by
	// the machine because of its memory.
	ends   int
	peakMB float64
	closed bool
}

func (h *host) front() string     { return fmt.Sprintf("%s:%d", h.ip, h.world.ports[0]) }
func (h *host) directory() string { return fmt.Sprintf("%s:%d", h.ip, h.world.ports[1]) }
func (h *host) ready() string     { return fmt.Sprintf("%s:%d", h.ip, h.world.ports[2]) }

// freePort returns a port that is free at the address.
func freePort(ip string) int {
	listener, err := net.Listen("tcp", ip+":0")
	if err != nil {
		panic(err)
	}
	defer func() { _ = listener.Close() }()
	return listener.Addr().(*net.TCPAddr).Port
}

// addHosts starts the hosts and waits until all are ready. Each has an address of its own.
func (w *world) addHosts(n, memoryMB int, zones []string) {
	for i := range w.ports {
		w.ports[i] = freePort(w.ip(10))
	}
	peer := freePort(w.ip(10))
	zoneMap := map[string]string{}
	for _, zone := range zones {
		zoneMap[zone] = "review"
	}
	for i := range n {
		h := &host{world: w, name: fmt.Sprintf("edge-%d", i+1), ip: w.ip(10 + i), zone: zones[i%len(zones)], memoryMB: memoryMB, firstCore: i}
		h.settings, h.log = filepath.Join(w.folder, h.name+".json"), filepath.Join(w.folder, h.name+".log")
		settings := map[string]any{
			"node": h.name, "role": "entry", "machineClass": "edge", "serves": []string{"edge", "registry"}, "ip": h.ip,
			"zone": h.zone, "region": "review", "zones": zoneMap,
			"listen":    map[string]any{"front": h.front(), "ready": h.ready(), "directory": h.directory()},
			"portRange": []int{peer, peer + 15}, "seeds": []string{}, "bootstrap": true, "inTolerance": false,
			"limits": map[string]any{
				"cpuShare": 0.4, "cores": w.cores, "memoryMb": memoryMB, "maxFds": 4100, "linkMbps": 1000.0, "diskMb": 0,
			},
			"dataDir": nil, "discovery": "platform", "entry": "registry", "heartbeatMs": 1200,
			"contracts":      []string{"base", "drain", "config", "cost", "recover", "samples", "stream", "engine", "batch", "platform"},
			"faultTolerance": map[string]any{"machines": 1, "zones": 0, "regions": 0}, "bounds": bounds,
			"platform": map[string]any{
				"address": w.storeAddr, "form": "kv", "writesPerS": 400, "readsPerS": 2000, "historyS": 20,
				"valueBytes": 1048576, "minTtlMs": 1000,
			},
		}
		encoded, err := json.MarshalIndent(settings, "", " ")
		if err != nil {
			panic(err)
		}
		if err := os.WriteFile(h.settings, encoded, 0o600); err != nil {
			panic(err)
		}
		w.hosts = append(w.hosts, h)
		h.start()
	}
	deadline := time.Now().Add(15 * time.Second)
	for _, h := range w.hosts {
		for !h.isReady() {
			if time.Now().After(deadline) {
				fail("host %s did not become ready", h.name)
			}
			time.Sleep(50 * time.Millisecond)
		}
	}
	time.Sleep(1500 * time.Millisecond)
}

// startOnCores starts a command whose process has as many cores as its machine exposes.
func startOnCores(command *exec.Cmd, first, cores int) error {
	runtime.LockOSThread()
	defer runtime.UnlockOSThread()
	var before [16]uint64
	size := unsafe.Sizeof(before)
	if _, _, errno := syscall.RawSyscall(syscall.SYS_SCHED_GETAFFINITY, 0, size, uintptr(unsafe.Pointer(&before))); errno != 0 {
		return errno
	}
	var allowed []int
	for i := range 64 * len(before) {
		if before[i/64]&(1<<(i%64)) != 0 {
			allowed = append(allowed, i)
		}
	}
	var some [16]uint64
	for n := range cores {
		cpu := allowed[(first+n)%len(allowed)]
		some[cpu/64] |= 1 << (cpu % 64)
	}
	if _, _, errno := syscall.RawSyscall(syscall.SYS_SCHED_SETAFFINITY, 0, size, uintptr(unsafe.Pointer(&some))); errno != 0 {
		return errno
	}
	defer syscall.RawSyscall(syscall.SYS_SCHED_SETAFFINITY, 0, size, uintptr(unsafe.Pointer(&before)))
	return command.Start()
}

func (h *host) isReady() bool {
	client := http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	r, err := client.Get("http://" + h.ready() + "/ready")
	if err != nil {
		return false
	}
	_ = r.Body.Close()
	return r.StatusCode == http.StatusOK
}

// start starts the process with the command of the deploy file. When it ends by itself or by
// the machine, it starts again after a short delay, as on the platform.
func (h *host) start() {
	log, err := os.OpenFile(h.log, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		panic(err)
	}
	command := exec.Command(h.world.binary, "host")
	command.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), "LANG=C", "NUTMEGWAY_NODE_FILE=" + h.settings}
	command.Stdout, command.Stderr = log, log
	command.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := startOnCores(command, h.firstCore, h.world.cores); err != nil {
		panic(err)
	}
	h.mu.Lock()
	h.process = command
	h.starts++
	h.mu.Unlock()
	h.world.note("%s: process %d started", h.name, command.Process.Pid)
	ended := make(chan struct{})
	go h.watchMemory(command.Process.Pid, ended)
	go func() {
		err := command.Wait()
		close(ended)
		_ = log.Close()
		h.mu.Lock()
		closed := h.closed
		if !closed {
			h.ends++
		}
		h.mu.Unlock()
		if closed {
			return
		}
		h.world.note("%s: process ended: %v", h.name, err)
		time.Sleep(500 * time.Millisecond)
		h.mu.Lock()
		closed = h.closed
		h.mu.Unlock()
		if !closed {
			h.start()
		}
	}()
}

// watchMemory kills the process once its own memory, without the pages of files, is beyond that
// of the machine.
func (h *host) watchMemory(pid int, ended chan struct{}) {
	for {
		select {
		case <-ended:
			return
		case <-time.After(10 * time.Millisecond):
		}
		mb := anonymousMB(pid)
		h.mu.Lock()
		h.peakMB = max(h.peakMB, mb)
		h.mu.Unlock()
		if h.memoryMB > 0 && mb > float64(h.memoryMB) {
			h.world.note("%s: process uses %.0f MB, the machine has %d MB: killed", h.name, mb, h.memoryMB)
			_ = syscall.Kill(pid, syscall.SIGKILL)
			return
		}
	}
}

func anonymousMB(pid int) float64 {
	data, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid))
	if err != nil {
		return 0
	}
	for _, line := range strings.Split(string(data), "\n") {
		if fields := strings.Fields(line); len(fields) > 1 && fields[0] == "RssAnon:" {
			kb, _ := strconv.ParseFloat(fields[1], 64)
			return kb / 1024
		}
	}
	return 0
}

// signal sends a signal to the process.
func (h *host) signal(s syscall.Signal) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.world.note("%s: %s sent", h.name, s)
	_ = h.process.Process.Signal(s)
}

// close ends all processes that were started.
func (w *world) close() {
	for _, h := range w.hosts {
		h.mu.Lock()
		h.closed = true
		if h.process != nil {
			_ = h.process.Process.Kill()
		}
		h.mu.Unlock()
	}
	time.Sleep(100 * time.Millisecond)
}

// reply is what a client got.
type reply struct {
	status int
	header http.Header
	body   []byte
	err    error
}

func (r reply) String() string {
	if r.err != nil {
		return "error " + r.err.Error()
	}
	return fmt.Sprintf("%d with %d bytes", r.status, len(r.body))
}

// call sends a request on a connection of its own.
func call(method, address, hostName, target string, header map[string]string, body []byte, timeout time.Duration) reply {
	r, err := http.NewRequest(method, "http://"+address+target, bytes.NewReader(body))
	if err != nil {
		return reply{err: err}
	}
	r.Host = hostName
	for name, value := range header {
		r.Header.Set(name, value)
	}
	client := http.Client{Timeout: timeout, Transport: &http.Transport{DisableKeepAlives: true, DisableCompression: true}}
	response, err := client.Do(r)
	if err != nil {
		return reply{err: err}
	}
	defer func() { _ = response.Body.Close() }()
	data, err := io.ReadAll(response.Body)
	return reply{status: response.StatusCode, header: response.Header, body: data, err: err}
}

func fail(format string, args ...any) {
	fmt.Fprintf(os.Stderr, "the case could not run: "+format+"\n", args...)
	panic(cannotRun{})
}

type cannotRun struct{}
