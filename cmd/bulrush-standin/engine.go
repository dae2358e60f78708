package main

import (
	"fmt"
	"net"
	"strconv"

	"github.com/integrii/flaggy"
	"github.com/pkg/errors"

	"github.com/bulrushfall/bulrushfall/ident"
	"github.com/bulrushfall/bulrushfall/infra"
	"github.com/bulrushfall/bulrushfall/standin/engine"
)

type engineCommand struct {
	cfg           engine.Config
	registry      registrar
	count         int
	domainSize    int
	accelerators  int
	ignoreFencing bool
}

func newEngineCommand() *engineCommand {
	cfg := engine.DefaultConfig()
	cfg.Address = "127.0.0.1:7100"
	return &engineCommand{
		cfg: cfg, count: 1, accelerators: 4,
		registry: registrar{prefix: "worker", domain: "domain"},
	}
}

func (c *engineCommand) flags() *flaggy.Subcommand {
	s := flaggy.NewSubcommand("engine")
	s.Description = "model engines on consecutive ports"
	s.String(&c.cfg.Address, "", "listen", "loopback address of the first engine; port 0 picks free ports")
	s.Int(&c.count, "", "count", "number of engines")
	s.Int(&c.domainSize, "", "domain-size", "engines per fabric domain, or 0 for one domain")
	s.Int(&c.accelerators, "", "accelerators", "accelerators per engine")
	c.registry.flags(s)
	s.Int(&c.cfg.Limit, "", "limit", "requests that run at a time")
	s.Int(&c.cfg.ColdLimit, "", "cold-limit", "requests during a cold start above which an engine crashes")
	s.Int(&c.cfg.TokenCapacity, "", "token-capacity", "held tokens above which an engine crashes")
	s.Int(&c.cfg.CacheTokens, "", "cache-tokens", "memory of the prefix cache in tokens")
	s.Int(&c.cfg.DefaultMaxTokens, "", "max-tokens", "length of answers to requests that name no limit")
	s.Duration(&c.cfg.TokenInterval, "", "token-interval", "time between tokens")
	s.Duration(&c.cfg.PrefillPerToken, "", "prefill", "time per prompt token that is not cached")
	s.Duration(&c.cfg.LoadTime, "", "load-time", "time to load weights")
	s.Duration(&c.cfg.PreloadedLoadTime, "", "preloaded-load-time", "time to load weights that are in memory")
	s.Duration(&c.cfg.ColdTime, "", "cold-time", "time from ready to warm")
	s.Duration(&c.cfg.RestartDelay, "", "restart-delay", "time from crash to restart")
	s.Duration(&c.cfg.ReportLag, "", "report-lag", "interval at which the load fields of status reports are updated")
	s.Duration(&c.cfg.CacheEventDelay, "", "cache-event-delay", "delay of cache events")
	s.Int(&c.cfg.CacheEventGap, "", "cache-event-gap", "drop each n-th cache event")
	s.String(&c.cfg.PoisonMarker, "", "poison", "a prompt with this text crashes the engine")
	s.String(&c.cfg.WeightStore, "", "weight-store", "base URL of the weight store")
	s.Int64(&c.cfg.WeightBytes, "", "weight-bytes", "bytes of one load")
	s.Bool(&c.ignoreFencing, "", "ignore-fencing", "execute commands that carry a stale fencing token")
	return s
}

func (c *engineCommand) start() (func(), error) {
	host, port, err := net.SplitHostPort(c.cfg.Address)
	if err != nil {
		return nil, errors.Wrap(err, "parse --listen")
	}
	first, err := strconv.Atoi(port)
	if err != nil {
		return nil, errors.Wrap(err, "parse port of --listen")
	}
	engines := engine.NewRegistry()
	instances := make([]infra.Instance, 0, c.count)
	for i := range c.count {
		address := host + ":0"
		if first != 0 {
			address = net.JoinHostPort(host, strconv.Itoa(first+i))
		}
		instance, err := c.startEngine(engines, i, address)
		if err != nil {
			engines.Close()
			return nil, err
		}
		instances = append(instances, instance)
	}
	if err := c.registry.register(instances); err != nil {
		engines.Close()
		return nil, err
	}
	return engines.Close, nil
}

func (c *engineCommand) startEngine(engines *engine.Registry, i int, address string) (infra.Instance, error) {
	cfg := c.cfg
	id := fmt.Sprintf("%s-%d", c.registry.prefix, i)
	if c.count == 1 {
		id = c.registry.prefix
	}
	domain := c.registry.domain
	if c.domainSize > 0 {
		domain = fmt.Sprintf("%s-%d", domain, i/c.domainSize)
	}
	cfg.Instance, cfg.Domain, cfg.Address = ident.InstanceID(id), ident.Domain(domain), address
	cfg.ChecksFencing = !c.ignoreFencing
	e, err := engines.Start(cfg)
	if err != nil {
		return infra.Instance{}, err
	}
	printStatus("engine %s listens on %s", id, e.Addr())
	instance := c.registry.instance(id, e.Addr(), infra.KindEngine)
	instance.Domain, instance.Accelerators, instance.ChecksFencing = cfg.Domain, c.accelerators, cfg.ChecksFencing
	return instance, nil
}
