package main

import (
	"encoding/json"
	"errors"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"syscall"
	"time"
)

// Entry is one process of the system, started with the command of deploy/system.toml.
type Entry struct {
	Name, IP, Zone          string
	Front, Ready, Directory string
	boot                    string
	log                     *os.File
	cmd                     *exec.Cmd
	done                    chan struct{}
}

// System is a set of entry instances with settings like those of a small deployment
// (vatelin-svaz: 7 machines in 3 zones).
type System struct {
	Dir     string
	Entries []*Entry
}

// repository is the root of the repository; run.sh starts the cases there.
func repository() string {
	wd, err := os.Getwd()
	if err != nil {
		panic(err)
	}
	return wd
}

func freePort(ip string) (int, error) {
	l, err := net.Listen("tcp4", ip+":0")
	if err != nil {
		return 0, err
	}
	defer func() { _ = l.Close() }()
	return l.Addr().(*net.TCPAddr).Port, nil
}

// freePorts returns ports that are free on all addresses.
func freePorts(ips []string, n int) ([]int, error) {
	var out []int
	for tries := 0; len(out) < n && tries < 200; tries++ {
		p, err := freePort(ips[0])
		if err != nil {
			return nil, err
		}
		ok := true
		for _, ip := range ips {
			l, err := net.Listen("tcp4", fmt.Sprintf("%s:%d", ip, p))
			if err != nil {
				ok = false
				break
			}
			_ = l.Close()
			u, err := net.ListenPacket("udp4", fmt.Sprintf("%s:%d", ip, p))
			if err != nil {
				ok = false
				break
			}
			_ = u.Close()
		}
		for _, o := range out {
			ok = ok && o != p
		}
		if ok {
			out = append(out, p)
		}
	}
	if len(out) < n {
		return nil, errors.New("no free ports")
	}
	return out, nil
}

// StartSystem starts n entry instances against a store.
func StartSystem(n int, store string) (*System, error) {
	dir, err := os.MkdirTemp("", "review3-")
	if err != nil {
		return nil, err
	}
	s := &System{Dir: dir}
	zones := []string{"brno-a", "brno-b", "brno-c"}
	base := 1 + os.Getpid()%200
	var ips []string
	for i := range n {
		ips = append(ips, fmt.Sprintf("127.%d.%d.%d", 10+base%100, 1+i%3, 10+i))
	}
	ports, err := freePorts(ips, 6)
	if err != nil {
		return s, err
	}
	var seeds []string
	for i := range min(3, n) {
		seeds = append(seeds, fmt.Sprintf("%s:%d", ips[i], ports[2]))
	}
	for i, ip := range ips {
		e := &Entry{Name: fmt.Sprintf("front-%s-%d", zones[i%3], i/3+1), IP: ip, Zone: zones[i%3]}
		e.Front, e.Ready = fmt.Sprintf("%s:%d", ip, ports[0]), fmt.Sprintf("%s:%d", ip, ports[1])
		e.Directory = fmt.Sprintf("%s:%d", ip, ports[3])
		settings := map[string]any{
			"NodeName": e.Name, "Role": "entry", "MachineClass": "front", "Serves": []string{"front", "control", "directory"},
			"Ip": ip, "Zone": e.Zone, "Region": "cz-central",
			"Zones":     map[string]string{"brno-a": "cz-central", "brno-b": "cz-central", "brno-c": "cz-central"},
			"Listen":    map[string]string{"Front": e.Front, "Ready": e.Ready, "Control": fmt.Sprintf("%s:%d", ip, ports[2]), "Directory": e.Directory},
			"PortRange": []int{ports[4], ports[5]}, "Seeds": seeds, "Bootstrap": true, "CountsAsLoss": false,
			"Limits":  map[string]any{"CpuShare": 0.4, "Cores": 1, "MemoryMb": 284, "MaxFds": 4200, "LinkMbps": 1000.0, "DiskMb": 0},
			"DataDir": nil, "Discovery": "platform", "Entry": "directory", "HeartbeatMs": 1200,
			"Contracts":      []string{"base", "drain", "config", "cost", "retry", "recover", "engine", "stream", "tenants", "places", "pressure", "platform", "gangs"},
			"FaultTolerance": map[string]int{"Machines": 1, "Zones": 1, "Regions": 0},
			"Bounds": map[string]any{
				"SeedLagS": 3, "AddrReuseS": 2, "StabilityMs": 3000, "AckMs": 4000, "CatchUpS": 4, "DrainMs": 2000, "GraceS": 8, "LossSlackMs": 200,
				"ConfigApplyMs": 2000, "RollbackSlackMs": 250, "OuterMs": 5000, "StrictRevoke": false, "RevokeMs": 5000, "RetryBudgetRatio": 0.2,
				"RetryWindowS": 10, "RetrySlack": 132, "ColdOver": 1.5, "ColdSlack": 5, "EvacMs": 5000, "RecoverS": 12, "PassMs": 120, "RetryAfterS": 0,
				"StallMs": 4000, "RequireFence": true, "CeilingWindowS": 5, "CeilingOver": 1.1, "ttl_max_s": 5,
			},
			"Platform": map[string]any{
				"Address": store, "form": "table", "WritesPerS": 400, "ReadsPerS": 2000, "TxMs": 5.0, "PartWritesPerS": 200, "RowBytes": 65536,
				"Across": false, "HistoryS": 20, "BlobBytes": 8388608, "BlobMs": 25.0, "BlobMbPerS": 80.0,
			},
		}
		b, err := json.MarshalIndent(settings, "", "  ")
		if err != nil {
			return s, err
		}
		e.boot = filepath.Join(dir, e.Name+".json")
		if err := os.WriteFile(e.boot, b, 0o600); err != nil {
			return s, err
		}
		if e.log, err = os.Create(filepath.Join(dir, e.Name+".log")); err != nil {
			return s, err
		}
		s.Entries = append(s.Entries, e)
		if err := e.Start(); err != nil {
			return s, err
		}
	}
	return s, nil
}

// Start starts the process.
func (e *Entry) Start() error {
	e.cmd = exec.Command(filepath.Join(repository(), "target", "bulrushfalld"), "platform")
	e.cmd.Dir = repository()
	e.cmd.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), "BULRUSHFALL_BOOT=" + e.boot}
	e.cmd.Stdout, e.cmd.Stderr = e.log, e.log
	e.cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := e.cmd.Start(); err != nil {
		return err
	}
	done, cmd := make(chan struct{}), e.cmd
	e.done = done
	go func() { _ = cmd.Wait(); close(done) }()
	return nil
}

// Signal sends a signal to the process.
func (e *Entry) Signal(s syscall.Signal) { _ = e.cmd.Process.Signal(s) }

// Ended reports whether the process has ended.
func (e *Entry) Ended() bool {
	select {
	case <-e.done:
		return true
	default:
		return false
	}
}

// Stop ends all processes and removes the folder, unless KEEP is set.
func (s *System) Stop() {
	for _, e := range s.Entries {
		if e.cmd != nil && e.cmd.Process != nil {
			e.Signal(syscall.SIGCONT)
			e.Signal(syscall.SIGKILL)
			<-e.done
		}
	}
	if os.Getenv("KEEP") == "" {
		_ = os.RemoveAll(s.Dir)
	}
}

// WaitReady waits until all entry instances say that they are ready.
func (s *System) WaitReady(limit time.Duration) error {
	c := &http.Client{Timeout: time.Second}
	for until := time.Now().Add(limit); time.Now().Before(until); time.Sleep(100 * time.Millisecond) {
		n := 0
		for _, e := range s.Entries {
			if r, err := c.Get("http://" + e.Ready + "/readyz"); err == nil {
				_ = r.Body.Close()
				if r.StatusCode == http.StatusOK {
					n++
				}
			}
		}
		if n == len(s.Entries) {
			return nil
		}
	}
	return errors.New("the entry instances are not ready")
}
