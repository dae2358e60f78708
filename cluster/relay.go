package cluster

import (
	"context"
	"net/http"
	"strings"
)

// relayHost is the host number of the relay in the cluster's network.
const relayHost = 2

// Relay is a running relay process.
type Relay struct {
	*Process
	CallerAddress  string
	MetricsAddress string
}

// StartRelay starts the plain HTTP relay that the daemon is compared with.
// Cluster.Close ends it.
func (c *Cluster) StartRelay(ctx context.Context, targets []string) (*Relay, error) {
	r := &Relay{
		CallerAddress:  c.network.address(relayHost, portCallers),
		MetricsAddress: c.network.address(relayHost, portOperators),
	}
	var err error
	r.Process, err = c.startStandIn("relay", "relay", "--listen", r.CallerAddress, "--metrics", r.MetricsAddress,
		"--targets", strings.Join(targets, ","))
	if err != nil {
		return nil, err
	}
	c.relay = r.Process
	return r, WaitUntil(ctx, startTimeout, "the relay answers", func() bool {
		status, err := httpStatus(ctx, "http://"+r.MetricsAddress+"/metrics")
		return err == nil && status == http.StatusOK
	})
}
