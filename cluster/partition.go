package cluster

import (
	"net"
	"slices"

	"github.com/bulrushfall/bulrushfall/ident"
	"github.com/bulrushfall/bulrushfall/standin/faultproxy"
	standin "github.com/bulrushfall/bulrushfall/standin/platform"
)

// PlatformName is the name of the platform in the cuts of the fault proxy. Entry
// instances and backend servers are named by their instance ids.
const PlatformName = "platform"

// dialHost returns the IP address that the entry instance dials from.
func (e *Entry) dialHost() string {
	host, _, _ := net.SplitHostPort(e.PeerAddress) // The cluster built the address, so it is valid.
	return host
}

// startProxy adds a proxy link in front of each address that entry instances
// dial. The proxy identifies an entry instance by the address it dials from.
func (c *Cluster) startProxy() error {
	sources := make(map[string]string)
	for _, e := range c.Entries {
		sources[e.dialHost()] = string(e.Instance)
	}
	var err error
	if c.Proxy, err = faultproxy.Start(faultproxy.Config{Sources: sources}); err != nil {
		return err
	}
	address, err := c.Proxy.Add(faultproxy.Link{
		Name: PlatformName, Target: c.network.address(platformHost, portCallers), To: PlatformName,
	})
	if err != nil {
		return err
	}
	for i, e := range c.Entries {
		e.PlatformURL = "http://" + address
		e.AdvertisedPeerAddress = c.network.address(firstProxyHost+i, portPeers)
		for _, n := range []faultproxy.Network{faultproxy.TCP, faultproxy.UDP} {
			link := faultproxy.Link{
				Name: string(e.Instance) + "-" + string(n), Network: n,
				Listen: e.AdvertisedPeerAddress, Target: e.PeerAddress, To: string(e.Instance),
			}
			if _, err := c.Proxy.Add(link); err != nil {
				return err
			}
		}
	}
	return c.proxyBackends()
}

// proxyBackends adds a proxy link in front of each backend server and puts the
// link's address into the platform's instance list.
func (c *Cluster) proxyBackends() error {
	instances := slices.Clone(c.Backends)
	for i := range instances {
		inst := &instances[i]
		link := faultproxy.Link{Name: string(inst.ID), Target: inst.Address, To: string(inst.ID)}
		address, err := c.Proxy.Add(link)
		if err != nil {
			return err
		}
		inst.Address = address
	}
	return c.ChangeInstances(standin.InstanceChange{Put: instances, Immediate: true})
}

// IsolateDataCentre blocks the links between the entry instances and backend servers
// of a data centre and those of other data centres and the platform. It replaces
// earlier cuts.
func (c *Cluster) IsolateDataCentre(dc ident.DataCentre) {
	inside, outside := []string{}, []string{PlatformName}
	add := func(location ident.DataCentre, id ident.InstanceID) {
		if location == dc {
			inside = append(inside, string(id))
		} else {
			outside = append(outside, string(id))
		}
	}
	for _, e := range c.Entries {
		add(e.DataCentre, e.Instance)
	}
	for _, b := range c.Backends {
		add(b.DataCentre, b.ID)
	}
	var cuts []faultproxy.Partition
	for _, a := range inside {
		for _, b := range outside {
			cuts = append(cuts, faultproxy.Partition{A: a, B: b})
		}
	}
	c.Proxy.SetPartitions(cuts...)
}
