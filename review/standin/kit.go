// Command standin runs the cases of the review: it starts the daemon as separate processes, with
// stand-ins of the platform's store, of workers and of clients in this process, all on loopback
// addresses, and checks one rule by what these stand-ins have seen.
package main

import (
	"encoding/json"
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"regexp"
	"runtime"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

// Exit codes of a case.
const (
	exitHeld   = 0
	exitBroken = 1
	exitNotRun = 2
)

// Ports of a machine, the same on all machines of a run.
const (
	portFront     = 8227
	portReady     = 8220
	portControl   = 8229
	portDirectory = 8224
	portPeers     = 7340
	portMetrics   = 7355
)

// clientKey is the API key of the only tenant.
const clientKey = "n2ctnfzs989anu6wsjnb"

var start = time.Now()

func sinceStart() time.Duration { return time.Since(start) }

// record is what the case writes to record.txt.
type record struct {
	mu sync.Mutex
	f  *os.File
}

func newRecord(path string) *record {
	f, err := os.Create(path)
	if err != nil {
		notRun("create the record: %v", err)
	}
	return &record{f: f}
}

func (r *record) line(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	_, _ = fmt.Fprintf(r.f, "%9.3f %s\n", sinceStart().Seconds(), fmt.Sprintf(format, args...))
}

// say writes to the record and to standard output.
func (r *record) say(format string, args ...any) {
	r.line(format, args...)
	fmt.Printf("%7.2f %s\n", sinceStart().Seconds(), fmt.Sprintf(format, args...))
}

// current is stopped before the process exits.
var current *fleet

func notRun(format string, args ...any) {
	fmt.Printf("the case could not run: "+format+"\n", args...)
	exit(exitNotRun)
}

func exit(code int) {
	if current != nil {
		current.stopAll()
	}
	os.Exit(code)
}

// entry is one machine of the system with its process.
type entry struct {
	name, zone, ip string
	settings       string
	log            *os.File

	mu      sync.Mutex
	cmd     *exec.Cmd
	running bool
	stopped bool // by the case, for good
	ends    int  // number of times that the process has ended by itself
	signals int  // number of times that the platform has ended it
}

func (e *entry) front() string     { return net.JoinHostPort(e.ip, strconv.Itoa(portFront)) }
func (e *entry) ready() string     { return net.JoinHostPort(e.ip, strconv.Itoa(portReady)) }
func (e *entry) directory() string { return net.JoinHostPort(e.ip, strconv.Itoa(portDirectory)) }

// fleet is the set of machines.
type fleet struct {
	root, dir string
	run       []string
	rec       *record
	entries   []*entry
	restart   time.Duration
	wg        sync.WaitGroup
}

// fleetConfig describes the machines of a case.
type fleetConfig struct {
	zones    []string
	perZone  int
	store    string
	memoryMB int
	graceS   float64
}

var runLine = regexp.MustCompile(`(?m)^run = "([^"]+)"`)

// freeBlock returns the first three bytes of loopback addresses whose ports are free.
func freeBlock() string {
	for range 50 {
		block := fmt.Sprintf("127.%d.%d", 20+rand.IntN(200), 1+rand.IntN(250))
		l, err := net.Listen("tcp4", fmt.Sprintf("%s.1:%d", block, portFront))
		if err != nil {
			continue
		}
		_ = l.Close()
		return block
	}
	notRun("no free loopback addresses")
	return ""
}

// newFleet writes the settings of the machines. The processes are not started.
func newFleet(rec *record, block string, c fleetConfig) *fleet {
	root, err := os.Getwd()
	if err != nil {
		notRun("%v", err)
	}
	deploy, err := os.ReadFile(filepath.Join(root, "deploy", "system.toml"))
	if err != nil {
		notRun("read the deploy file: %v", err)
	}
	m := runLine.FindSubmatch(deploy)
	if m == nil {
		notRun("the deploy file has no command")
	}
	dir, err := os.MkdirTemp("", "bulrushfall-review-")
	if err != nil {
		notRun("%v", err)
	}
	f := &fleet{root: root, dir: dir, run: strings.Fields(string(m[1])), rec: rec, restart: 500 * time.Millisecond}
	if _, err := os.Stat(f.run[0]); err != nil {
		notRun("%v: run the build of the deploy file first", err)
	}
	zones := make(map[string]string)
	for _, z := range c.zones {
		zones[z] = "cz-central"
	}
	var seeds []string
	for i := range c.zones {
		for j := range c.perZone {
			n := len(f.entries) + 1
			e := &entry{name: fmt.Sprintf("front-%s-%d", c.zones[i], j+1), zone: c.zones[i], ip: fmt.Sprintf("%s.%d", block, n)}
			e.settings = filepath.Join(dir, e.name+".json")
			f.entries = append(f.entries, e)
			if j == 0 {
				seeds = append(seeds, net.JoinHostPort(e.ip, strconv.Itoa(portControl)))
			}
		}
	}
	for _, e := range f.entries {
		s := map[string]any{
			"NodeName": e.name, "Role": "entry", "MachineClass": "front", "Serves": []string{"front", "directory", "control"},
			"Ip": e.ip, "Zone": e.zone, "Region": "cz-central", "Zones": zones,
			"Listen": map[string]string{
				"Front": e.front(), "Ready": e.ready(), "Directory": e.directory(),
				"Control": net.JoinHostPort(e.ip, strconv.Itoa(portControl)),
			},
			"PortRange": []int{portPeers, portMetrics}, "Seeds": seeds[:min(3, len(seeds))], "Bootstrap": true, "CountsAsLoss": false,
			"Limits":    map[string]any{"CpuShare": 0.4, "Cores": 1, "MemoryMb": c.memoryMB, "MaxFds": 4200, "LinkMbps": 1000.0, "DiskMb": 0},
			"Discovery": "platform", "Entry": "directory", "HeartbeatMs": 1200,
			"Contracts":      []string{"base", "drain", "config", "cost", "retry", "recover", "engine", "stream", "tenants", "places", "pressure", "platform", "gangs"},
			"FaultTolerance": map[string]int{"Machines": 1, "Zones": 1, "Regions": 0},
			"Bounds":         bounds(c.graceS),
			"Platform": map[string]any{
				"Address": c.store, "form": "table", "WritesPerS": 400, "ReadsPerS": 2000, "TxMs": 5.0, "PartWritesPerS": 200, "RowBytes": 65536,
				"Across": false, "HistoryS": 20, "BlobBytes": 8388608, "BlobMs": 25.0, "BlobMbPerS": 80.0,
			},
		}
		e.write(s)
	}
	current = f
	return f
}

func (e *entry) write(settings map[string]any) {
	b, err := json.MarshalIndent(settings, "", "  ")
	if err == nil {
		err = os.WriteFile(e.settings, b, 0o600)
	}
	if err != nil {
		notRun("write settings: %v", err)
	}
}

// rewrite changes fields of the settings of a machine; they take effect at its next start.
func (e *entry) rewrite(change func(map[string]any)) {
	b, err := os.ReadFile(e.settings)
	if err != nil {
		notRun("%v", err)
	}
	var s map[string]any
	if err := json.Unmarshal(b, &s); err != nil {
		notRun("%v", err)
	}
	change(s)
	e.write(s)
}

// bounds are those of the sheet of the small deployments.
func bounds(graceS float64) map[string]any {
	return map[string]any{
		"SeedLagS": 3, "AddrReuseS": 2, "StabilityMs": 3000, "AckMs": 4000, "CatchUpS": 4, "DrainMs": 2000, "GraceS": graceS,
		"LossSlackMs": 200, "ConfigApplyMs": 2000, "RollbackSlackMs": 250, "OuterMs": 5000, "StrictRevoke": false, "RevokeMs": 5000,
		"RetryBudgetRatio": 0.2, "RetryWindowS": 10, "RetrySlack": 132, "ColdOver": 1.5, "ColdSlack": 5, "EvacMs": 5000, "RecoverS": 12,
		"PassMs": 120, "RetryAfterS": 0, "StallMs": 4000, "RequireFence": true, "CeilingWindowS": 5, "CeilingOver": 1.1, "ttl_max_s": 5,
	}
}

// start starts the process of a machine and, as the platform does, starts it again when it ends.
func (f *fleet) start(e *entry) {
	log, err := os.OpenFile(filepath.Join(f.dir, e.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		notRun("%v", err)
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.stopped {
		return
	}
	e.log = log
	cmd := exec.Command(filepath.Join(f.root, f.run[0]), f.run[1:]...)
	cmd.Dir = f.root
	cmd.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), "LANG=C", "BULRUSHFALL_BOOT=" + e.settings}
	cmd.Stdout, cmd.Stderr = log, log
	// A case that is ended from outside leaves no process behind.
	cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := startOnLastingThread(cmd); err != nil {
		notRun("start the daemon: %v", err)
	}
	e.cmd, e.running = cmd, true
	f.wg.Go(func() {
		err := cmd.Wait()
		_ = log.Close()
		e.mu.Lock()
		e.running = false
		again := !e.stopped
		e.mu.Unlock()
		f.rec.say("process of %s ended: %v", e.name, err)
		if again {
			time.Sleep(f.restart)
			e.rewrite(func(s map[string]any) { s["Bootstrap"] = false })
			f.start(e)
		}
	})
}

// starts holds the processes to start.
var starts = make(chan func())

// startOnLastingThread starts a process from a thread that never ends, because the process gets its
// signal when the thread that has started it ends.
func startOnLastingThread(cmd *exec.Cmd) error {
	done := make(chan error)
	starts <- func() { done <- cmd.Start() }
	return <-done
}

func runStarts() {
	runtime.LockOSThread()
	for f := range starts {
		f()
	}
}

// signal sends a signal to the process of a machine.
func (e *entry) signal(s syscall.Signal) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.running {
		_ = e.cmd.Process.Signal(s)
	}
}

func (e *entry) pid() int {
	e.mu.Lock()
	defer e.mu.Unlock()
	if !e.running {
		return 0
	}
	return e.cmd.Process.Pid
}

func (f *fleet) startAll() {
	for _, e := range f.entries {
		f.start(e)
	}
}

func (f *fleet) stopAll() {
	for _, e := range f.entries {
		e.mu.Lock()
		e.stopped = true
		if e.running {
			_ = e.cmd.Process.Signal(syscall.SIGCONT)
			_ = e.cmd.Process.Kill()
		}
		e.mu.Unlock()
	}
	f.wg.Wait()
	if os.Getenv("KEEP") == "" {
		_ = os.RemoveAll(f.dir)
	} else {
		fmt.Println("logs in", f.dir)
	}
}

// isReady asks a machine whether it is ready.
func (e *entry) isReady() bool {
	c := http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	resp, err := c.Get("http://" + e.ready() + "/readyz")
	if err != nil {
		return false
	}
	_ = resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}

// waitReady waits until all machines are ready.
func (f *fleet) waitReady(limit time.Duration) {
	end := time.Now().Add(limit)
	for _, e := range f.entries {
		for !e.isReady() {
			if time.Now().After(end) {
				notRun("%s is not ready after %v", e.name, limit)
			}
			time.Sleep(50 * time.Millisecond)
		}
	}
}

// residentMB returns the resident memory of a process in MB, or 0 if it has ended.
func residentMB(pid int) int {
	if pid == 0 {
		return 0
	}
	b, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid))
	if err != nil {
		return 0
	}
	for line := range strings.SplitSeq(string(b), "\n") {
		if rest, ok := strings.CutPrefix(line, "VmRSS:"); ok {
			kb, _ := strconv.Atoi(strings.TrimSpace(strings.TrimSuffix(strings.TrimSpace(rest), "kB")))
			return kb / 1024
		}
	}
	return 0
}

// keepMemoryLimit kills a process that exceeds the memory of its machine, as the platform does, and
// returns the most that each had.
func (f *fleet) keepMemoryLimit(limitMB int, stop <-chan struct{}) *atomic.Int64 {
	var most atomic.Int64
	go func() {
		for {
			select {
			case <-stop:
				return
			case <-time.After(10 * time.Millisecond):
			}
			for _, e := range f.entries {
				pid := e.pid()
				mb := residentMB(pid)
				if int64(mb) > most.Load() {
					most.Store(int64(mb))
				}
				if mb > limitMB {
					f.rec.say("%s holds %d MB, over its limit of %d MB: the platform kills its process", e.name, mb, limitMB)
					e.mu.Lock()
					e.signals++
					e.mu.Unlock()
					e.signal(syscall.SIGKILL)
					time.Sleep(50 * time.Millisecond)
				}
			}
		}
	}()
	return &most
}

func isClosed(err error) bool { return errors.Is(err, net.ErrClosed) }

func troubled() bool { return os.Getenv("TROUBLE") != "0" }
