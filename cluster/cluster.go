package cluster

import (
	"bytes"
	"context"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"time"

	"github.com/pkg/errors"

	"github.com/bulrushfall/bulrushfall/ident"
	"github.com/bulrushfall/bulrushfall/infra"
	"github.com/bulrushfall/bulrushfall/standin/faultproxy"
	standin "github.com/bulrushfall/bulrushfall/standin/platform"
)

// pollInterval is the time between two evaluations of a condition.
const pollInterval = 50 * time.Millisecond

// Entry is the process of an entry instance.
type Entry struct {
	*Process
	Instance        ident.InstanceID
	DataCentre      ident.DataCentre
	CallerAddress   string
	PeerAddress     string
	OperatorAddress string
	// AdvertisedPeerAddress is the peer address that other instances dial. It
	// differs from PeerAddress behind a fault proxy.
	AdvertisedPeerAddress string
	// PlatformURL is the platform's URL for this instance, which may lead through
	// a fault proxy.
	PlatformURL  string
	settingsFile string
}

// Cluster is a set of running daemon and stand-in processes.
type Cluster struct {
	cfg           Config
	dir           string
	PlatformURL   string
	Platform      *Process
	Entries       []*Entry
	Engines       []*Process
	Orders        []*Process
	relay         *Process
	documentFiles []string
	network       *network
	// Backends are the backend servers with the addresses that they listen on,
	// not those of a fault proxy.
	Backends []infra.Instance
	// Proxy is the fault proxy between the processes, or nil if the cluster has
	// none.
	Proxy *faultproxy.Proxy
}

// Start starts all processes of a cluster and waits until every entry instance
// is ready.
func Start(ctx context.Context, cfg Config) (*Cluster, error) {
	dir, err := os.MkdirTemp("", "bulrushfall-")
	if err != nil {
		return nil, errors.Wrap(err, "create directory for settings and logs")
	}
	c := &Cluster{cfg: cfg, dir: dir}
	if c.network, err = reserveNetwork(); err != nil {
		_ = os.RemoveAll(dir)
		return nil, err
	}
	if err := c.start(ctx); err != nil {
		logs := c.Logs()
		c.Close()
		return nil, errors.Wrap(err, logs)
	}
	return c, nil
}

func (c *Cluster) start(ctx context.Context) error {
	for i, doc := range c.cfg.Documents {
		file := filepath.Join(c.dir, fmt.Sprintf("service-%d.yaml", i))
		if err := os.WriteFile(file, []byte(doc), 0o600); err != nil {
			return errors.Wrap(err, "write service document")
		}
		c.documentFiles = append(c.documentFiles, file)
	}
	if err := c.startPlatform(ctx); err != nil {
		return err
	}
	if err := c.startBackends(); err != nil {
		return err
	}
	backends := c.cfg.OrderSystems + c.cfg.EnginesPerDataCentre*len(c.cfg.DataCentres)
	if err := c.waitForListedInstances(ctx, backends); err != nil {
		return err
	}
	c.assignEntryAddresses()
	var err error
	if c.Backends, err = c.Instances(ctx); err != nil {
		return err
	}
	if c.cfg.UseFaultProxy {
		if err := c.startProxy(); err != nil {
			return err
		}
	}
	if err := c.startEntries(); err != nil {
		return err
	}
	if err := c.waitForListedInstances(ctx, backends+c.cfg.Entries); err != nil {
		return err
	}
	return c.WaitReady(ctx)
}

// waitForListedInstances waits until the platform's instance list, which lags
// behind changes, has a number of instances.
func (c *Cluster) waitForListedInstances(ctx context.Context, want int) error {
	return WaitUntil(ctx, startTimeout, "all instances are listed", func() bool {
		instances, err := c.Instances(ctx)
		return err == nil && len(instances) == want
	})
}

func (c *Cluster) startStandIn(name string, args ...string) (*Process, error) {
	return startProcess(name, c.dir, filepath.Join(c.cfg.BinDir, "bulrush-standin"), args...)
}

func (c *Cluster) startPlatform(ctx context.Context) error {
	address := c.network.address(platformHost, portCallers)
	var err error
	c.Platform, err = c.startStandIn("platform", append([]string{"platform", "--listen", address}, c.cfg.PlatformFlags...)...)
	if err != nil {
		return err
	}
	c.PlatformURL = "http://" + address
	return WaitUntil(ctx, startTimeout, "the platform stand-in answers", func() bool {
		_, err := infra.NewClient(c.PlatformURL).Instances(ctx)
		return err == nil
	})
}

func (c *Cluster) startBackends() error {
	for _, dc := range c.cfg.DataCentres {
		if c.cfg.EnginesPerDataCentre == 0 {
			break
		}
		p, err := c.startStandIn("engines-"+string(dc), append([]string{
			"engine", "--listen", "127.0.0.1:0",
			"--count", fmt.Sprint(c.cfg.EnginesPerDataCentre),
			"--domain-size", fmt.Sprint(c.cfg.DomainSize),
			"--platform", c.PlatformURL, "--prefix", "worker-" + string(dc),
			"--region", string(c.cfg.Region), "--data-centre", string(dc), "--domain", "domain-" + string(dc),
		}, c.cfg.EngineFlags...)...)
		if err != nil {
			return err
		}
		c.Engines = append(c.Engines, p)
	}
	for i := range c.cfg.OrderSystems {
		dc := c.cfg.DataCentres[i%len(c.cfg.DataCentres)]
		name := fmt.Sprintf("orders-%d", i)
		p, err := c.startStandIn(name, "orders", "--listen", "127.0.0.1:0", "--platform", c.PlatformURL,
			"--prefix", name, "--service", OrderService, "--region", string(c.cfg.Region), "--data-centre", string(dc))
		if err != nil {
			return err
		}
		c.Orders = append(c.Orders, p)
	}
	return nil
}

// assignEntryAddresses creates the entry instances with their addresses. It
// starts no process.
func (c *Cluster) assignEntryAddresses() {
	for i := range c.cfg.Entries {
		peers := c.network.address(firstEntryHost+i, portPeers)
		c.Entries = append(c.Entries, &Entry{
			Instance:              ident.InstanceID(fmt.Sprintf("entry-%d", i)),
			DataCentre:            c.cfg.DataCentres[i%len(c.cfg.DataCentres)],
			CallerAddress:         c.network.address(firstEntryHost+i, portCallers),
			PeerAddress:           peers,
			AdvertisedPeerAddress: peers,
			OperatorAddress:       c.network.address(firstEntryHost+i, portOperators),
			PlatformURL:           c.PlatformURL,
		})
	}
}

func (c *Cluster) startEntries() error {
	var listed []infra.Instance
	for _, e := range c.Entries {
		listed = append(listed, c.entryInstance(e))
	}
	if err := c.ChangeInstances(standin.InstanceChange{Put: listed, Immediate: true}); err != nil {
		return err
	}
	for _, e := range c.Entries {
		if err := c.StartEntry(e); err != nil {
			return err
		}
	}
	return nil
}

// entryInstance returns the record of an entry instance for the platform's
// instance list.
func (c *Cluster) entryInstance(e *Entry) infra.Instance {
	return infra.Instance{
		ID: e.Instance, Kind: infra.KindEntry, State: infra.StateLive,
		Address: e.CallerAddress, PeerAddress: e.AdvertisedPeerAddress, Region: c.cfg.Region, DataCentre: e.DataCentre,
	}
}

// StartEntry writes the settings of an entry instance and starts its process. It
// may be called again after the process has ended.
func (c *Cluster) StartEntry(e *Entry) error {
	e.settingsFile = filepath.Join(c.dir, string(e.Instance)+".yaml")
	if err := os.WriteFile(e.settingsFile, []byte(c.settingsYAML(e)), 0o600); err != nil {
		return errors.Wrap(err, "write settings")
	}
	args := []string{"--settings", e.settingsFile}
	for _, d := range c.documentFiles {
		args = append(args, "--document", d)
	}
	p, err := startProcess(string(e.Instance), c.dir, filepath.Join(c.cfg.BinDir, "bulrushfalld"), args...)
	e.Process = p
	return err
}

// settingsYAML returns the settings file of an entry instance.
func (c *Cluster) settingsYAML(e *Entry) string {
	var seeds strings.Builder
	for _, other := range c.Entries {
		if other != e {
			fmt.Fprintf(&seeds, "\n    - %s", other.AdvertisedPeerAddress)
		}
	}
	level := c.cfg.LogLevel
	if level == "" {
		level = "info"
	}
	return fmt.Sprintf(`instance: %s
region: %s
data_centre: %s
listen:
  callers: %s
  peers: %s
  operators: %s
advertise:
  peers: %s
dial_from: %s
platform:
  url: %s
peers:
  secret: %s
  seeds:%s
operators:
  - team: %s
    token_sha256: [%s]
lookup_ttl: 1s
log_level: %s
%s`, e.Instance, c.cfg.Region, e.DataCentre, e.CallerAddress, e.PeerAddress, e.OperatorAddress,
		e.AdvertisedPeerAddress, e.dialHost(), e.PlatformURL, peerSecret,
		seeds.String(), Team, sha256Hex(TeamToken), level, c.cfg.ExtraSettings)
}

// WaitReady waits until every entry instance of the cluster is ready.
func (c *Cluster) WaitReady(ctx context.Context) error {
	return WaitUntil(ctx, startTimeout, "all entry instances are ready", func() bool {
		for _, e := range c.Entries {
			if status, err := httpStatus(ctx, "http://"+e.OperatorAddress+"/readyz"); err != nil || status != http.StatusOK {
				return false
			}
		}
		return true
	})
}

// ChangeInstances changes the platform's instance list.
func (c *Cluster) ChangeInstances(change standin.InstanceChange) error {
	return c.post("/debug/instances", change)
}

// SetFaults replaces the faults that the platform stand-in injects.
func (c *Cluster) SetFaults(f standin.Faults) error {
	return c.post("/debug/faults", f)
}

func (c *Cluster) post(path string, body any) error {
	b, err := json.Marshal(body)
	if err != nil {
		return errors.Wrap(err, "encode stand-in command")
	}
	resp, err := http.Post(c.PlatformURL+path, "application/json", bytes.NewReader(b))
	if err != nil {
		return errors.Wrap(err, "send command to the platform stand-in")
	}
	defer func() { _ = resp.Body.Close() }()
	if resp.StatusCode >= http.StatusBadRequest {
		return errors.Errorf("platform stand-in answered %s to %s", resp.Status, path)
	}
	return nil
}

// Instances returns the platform's instance list.
func (c *Cluster) Instances(ctx context.Context) ([]infra.Instance, error) {
	return infra.NewClient(c.PlatformURL).Instances(ctx)
}

// Logs returns the last part of each process's log.
func (c *Cluster) Logs() string {
	const tail = 2000
	files, _ := filepath.Glob(filepath.Join(c.dir, "*.log"))
	var out strings.Builder
	for _, f := range files {
		b, err := os.ReadFile(f)
		if err != nil || len(b) == 0 {
			continue
		}
		fmt.Fprintf(&out, "--- %s\n%s\n", filepath.Base(f), b[max(0, len(b)-tail):])
	}
	return out.String()
}

// Close kills every process and removes the settings and logs.
func (c *Cluster) Close() {
	for _, p := range c.processes() {
		p.Kill()
	}
	if c.Proxy != nil {
		c.Proxy.Close()
	}
	c.network.release()
	_ = os.RemoveAll(c.dir)
}

func (c *Cluster) processes() []*Process {
	var out []*Process
	for _, e := range c.Entries {
		if e.Process != nil {
			out = append(out, e.Process)
		}
	}
	out = append(out, c.Engines...)
	out = append(out, c.Orders...)
	for _, p := range []*Process{c.relay, c.Platform} {
		if p != nil {
			out = append(out, p)
		}
	}
	return out
}

// WaitUntil polls a condition until it holds, the limit passes or ctx is cancelled.
// what describes the condition in the error.
func WaitUntil(ctx context.Context, limit time.Duration, what string, cond func() bool) error {
	deadline := time.NewTimer(limit)
	defer deadline.Stop()
	tick := time.NewTicker(pollInterval)
	defer tick.Stop()
	for !cond() {
		select {
		case <-ctx.Done():
			return errors.Wrap(ctx.Err(), "wait for condition: "+what)
		case <-deadline.C:
			return errors.Errorf("timed out after %s waiting for condition: %s", limit, what)
		case <-tick.C:
		}
	}
	return nil
}

func httpStatus(ctx context.Context, url string) (int, error) {
	ctx, cancel := context.WithTimeout(ctx, time.Second)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
	if err != nil {
		return 0, err
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return 0, err
	}
	_, _ = io.Copy(io.Discard, resp.Body)
	return resp.StatusCode, resp.Body.Close()
}

func sha256Hex(s string) string {
	sum := sha256.Sum256([]byte(s))
	return hex.EncodeToString(sum[:])
}

// accountsYAML returns the accounts of a service document. All have weight 1,
// except the first one with weight 4.
func accountsYAML(n int) string {
	var out strings.Builder
	for i := range n {
		weight := 1
		if i == 0 {
			weight = 4
		}
		fmt.Fprintf(&out, "  - name: %s\n    key_sha256: %s\n    weight: %d\n    requests_per_second: 500\n    burst: 500\n    concurrency: 200\n",
			AccountName(i), sha256Hex(AccountKey(i)), weight)
	}
	return out.String()
}
