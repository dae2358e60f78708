package main

import (
	"encoding/json"
	"fmt"
	"math/rand"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"syscall"
	"time"
)

// machine is one process of the system.
type machine struct {
	name, ip, front, ready, directory string
	cmd                               *exec.Cmd
	settings, logPath                 string
	done                              chan struct{}
}

// system is the system under test: its processes, the store and the operator.
type system struct {
	rec      *record
	dir      string
	store    *store
	machines []*machine
	// spares are machines that may be added.
	spares []*machine
}

// deployFileCommand is the command of the deploy file's role.
var deployFileCommand = []string{"target/bulrushfalld", "platform"}

var zones = []string{"brno-a", "brno-b", "brno-c"}

// freePorts returns the addresses of n machines and the first of 24 ports that are free on all.
func freePorts(n int) ([]string, int, error) {
	for range 100 {
		a, b, base := 60+rand.Intn(120), 1+rand.Intn(250), 21000+rand.Intn(9000)
		var ips []string
		free := true
		for i := range n {
			ip := fmt.Sprintf("127.%d.%d.%d", a, b, 10+i)
			ips = append(ips, ip)
			for p := base; p < base+24 && free; p++ {
				l, err := net.Listen("tcp", fmt.Sprintf("%s:%d", ip, p))
				if err != nil {
					free = false
					break
				}
				l.Close()
			}
		}
		if free {
			return ips, base, nil
		}
	}
	return nil, 0, fmt.Errorf("no free ports")
}

// startSystem starts the processes of n machines, and prepares the given number of spare ones. The
// configuration and the workers' entries are in the store already.
func startSystem(rec *record, dir string, st *store, n, spare int) (*system, error) {
	s := &system{rec: rec, dir: dir, store: st}
	ips, base, err := freePorts(n + spare)
	if err != nil {
		return nil, err
	}
	at := func(ip string, port int) string { return fmt.Sprintf("%s:%d", ip, port) }
	var seeds []string
	for _, ip := range ips[:min(3, n)] {
		seeds = append(seeds, at(ip, base+2))
	}
	zoneMap := make(map[string]string)
	for _, z := range zones {
		zoneMap[z] = "cz-central"
	}
	for i, ip := range ips {
		m := &machine{name: fmt.Sprintf("front-%s-%d", zones[i%3], i/3+1), ip: ip, front: at(ip, base), ready: at(ip, base+1), directory: at(ip, base+3)}
		settings := map[string]any{
			"NodeName": m.name, "Role": "entry", "MachineClass": "front", "Serves": []string{"front", "directory", "control"},
			"Ip": ip, "Zone": zones[i%3], "Region": "cz-central", "Zones": zoneMap,
			"Listen":    map[string]string{"Front": m.front, "Ready": m.ready, "Control": at(ip, base+2), "Directory": m.directory},
			"PortRange": []int{base + 8, base + 23}, "Seeds": seeds, "Bootstrap": i < n, "CountsAsLoss": false,
			"Limits":  map[string]any{"CpuShare": 0.4, "Cores": 1, "MemoryMb": 284, "MaxFds": 4200, "LinkMbps": 1000.0, "DiskMb": 0},
			"DataDir": nil, "Discovery": "platform", "Entry": "directory", "HeartbeatMs": 1200,
			"Contracts":      []string{"base", "drain", "config", "cost", "retry", "recover", "engine", "stream", "tenants", "places", "pressure", "platform", "gangs"},
			"FaultTolerance": map[string]int{"Machines": 1, "Zones": 1, "Regions": 0},
			"Bounds": map[string]any{
				"SeedLagS": 3, "AddrReuseS": 2, "StabilityMs": 3000, "AckMs": 4000, "CatchUpS": 4, "DrainMs": 2000, "GraceS": 8,
				"LossSlackMs": 200, "ConfigApplyMs": 2000, "RollbackSlackMs": 250, "OuterMs": 5000, "StrictRevoke": false, "RevokeMs": 5000,
				"RetryBudgetRatio": 0.2, "RetryWindowS": 10, "RetrySlack": 132, "ColdOver": 1.5, "ColdSlack": 5, "EvacMs": 5000,
				"RecoverS": 12, "PassMs": 120, "RetryAfterS": 0, "StallMs": 4000, "RequireFence": true, "CeilingWindowS": 5,
				"CeilingOver": 1.1, "ttl_max_s": 5,
			},
			"Platform": map[string]any{"Address": st.address, "form": "table", "WritesPerS": 400, "ReadsPerS": 2000, "TxMs": 5.0, "PartWritesPerS": 200, "RowBytes": 65536, "Across": false, "HistoryS": 20, "BlobBytes": 8388608, "BlobMs": 25.0, "BlobMbPerS": 80.0},
		}
		m.settings, m.logPath = filepath.Join(dir, m.name+".json"), filepath.Join(dir, m.name+".log")
		b, err := json.Marshal(settings)
		if err != nil {
			return nil, err
		}
		if err := os.WriteFile(m.settings, b, 0o600); err != nil {
			return nil, err
		}
		if i >= n {
			s.spares = append(s.spares, m)
			continue
		}
		s.machines = append(s.machines, m)
		if err := s.start(m); err != nil {
			return s, err
		}
	}
	for _, m := range s.machines {
		if err := s.awaitReady(m, 15*time.Second); err != nil {
			return s, err
		}
	}
	return s, nil
}

// add adds a spare machine.
func (s *system) add() error {
	m := s.spares[0]
	s.spares, s.machines = s.spares[1:], append(s.machines, m)
	if err := s.start(m); err != nil {
		return err
	}
	return s.awaitReady(m, 15*time.Second)
}

// start starts the process of a machine.
func (s *system) start(m *machine) error {
	log, err := os.OpenFile(m.logPath, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	m.cmd = exec.Command(deployFileCommand[0], deployFileCommand[1:]...)
	m.cmd.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), "BULRUSHFALL_BOOT=" + m.settings}
	m.cmd.Stdout, m.cmd.Stderr = log, log
	m.cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := m.cmd.Start(); err != nil {
		return err
	}
	m.done = make(chan struct{})
	go func(c *exec.Cmd, done chan struct{}) {
		c.Wait()
		log.Close()
		close(done)
	}(m.cmd, m.done)
	s.rec.logf("process of %s started at %s, id %d", m.name, m.ip, m.cmd.Process.Pid)
	return nil
}

// awaitReady waits until a machine says that it is ready.
func (s *system) awaitReady(m *machine, limit time.Duration) error {
	client := http.Client{Timeout: time.Second}
	for end := time.Now().Add(limit); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
		if resp, err := client.Get("http://" + m.ready + "/readyz"); err == nil {
			resp.Body.Close()
			if resp.StatusCode == http.StatusOK {
				s.rec.logf("%s is ready", m.name)
				return nil
			}
		}
	}
	return fmt.Errorf("%s is not ready", m.name)
}

// stop ends all processes.
func (s *system) stop() {
	for _, m := range s.machines {
		if m.cmd != nil && m.cmd.Process != nil {
			m.cmd.Process.Kill()
			<-m.done
		}
	}
}

// resolve asks a machine's directory where to connect.
func (s *system) resolve(m *machine) ([]string, error) {
	client := http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	resp, err := client.Get("http://" + m.directory + "/resolve?Name=desk.example&Region=cz-central&Zone=brno-a")
	if err != nil {
		return nil, err
	}
	defer resp.Body.Close()
	var a struct{ Addresses []string }
	if err := json.NewDecoder(resp.Body).Decode(&a); err != nil {
		return nil, err
	}
	if len(a.Addresses) == 0 {
		return nil, fmt.Errorf("no addresses")
	}
	return a.Addresses, nil
}
