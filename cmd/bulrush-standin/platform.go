package main

import (
	"github.com/integrii/flaggy"

	"github.com/bulrushfall/bulrushfall/standin/orders"
	"github.com/bulrushfall/bulrushfall/standin/platform"
)

type platformCommand struct {
	cfg platform.Config
}

func newPlatformCommand() *platformCommand {
	cfg := platform.DefaultConfig()
	cfg.Address = "127.0.0.1:7000"
	return &platformCommand{cfg: cfg}
}

func (c *platformCommand) flags() *flaggy.Subcommand {
	s := flaggy.NewSubcommand("platform")
	s.Description = "table, object store, instance list and weight store"
	s.String(&c.cfg.Address, "", "listen", "loopback address")
	s.Float64(&c.cfg.WritesPerSecond, "", "writes", "table writes per second")
	s.Float64(&c.cfg.ReadsPerSecond, "", "reads", "table reads per second")
	s.Duration(&c.cfg.InstanceLag, "", "instance-lag", "lag of the instance list")
	s.Float64(&c.cfg.WeightBytesPerSecond, "", "weight-rate", "bytes per second of the weight store")
	s.Int(&c.cfg.WeightSlots, "", "weight-slots", "concurrent loads of the weight store")
	return s
}

func (c *platformCommand) start() (func(), error) {
	s, err := platform.Start(c.cfg)
	if err != nil {
		return nil, err
	}
	printStatus("platform listens on %s", s.URL())
	return s.Close, nil
}

type ordersCommand struct {
	cfg      orders.Config
	registry registrar
}

func newOrdersCommand() *ordersCommand {
	cfg := orders.DefaultConfig()
	cfg.Address = "127.0.0.1:7200"
	return &ordersCommand{cfg: cfg, registry: registrar{prefix: "orders", service: "orders"}}
}

func (c *ordersCommand) flags() *flaggy.Subcommand {
	s := flaggy.NewSubcommand("orders")
	s.Description = "an order system that counts how often each order ran"
	s.String(&c.cfg.Address, "", "listen", "loopback address")
	s.Int(&c.cfg.Faults.DelayMillis, "", "delay", "milliseconds between the run of an order and its answer")
	c.registry.flags(s)
	s.String(&c.registry.service, "", "service", "service that the instance serves")
	return s
}

func (c *ordersCommand) start() (func(), error) {
	s, err := orders.Start(c.cfg)
	if err != nil {
		return nil, err
	}
	printStatus("order system listens on %s", s.Addr())
	if err := c.registry.registerPlain(s.Addr()); err != nil {
		s.Close()
		return nil, err
	}
	return s.Close, nil
}
