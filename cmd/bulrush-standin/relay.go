package main

import (
	"strings"

	"github.com/integrii/flaggy"

	"github.com/bulrushfall/bulrushfall/standin/relay"
)

type relayCommand struct {
	cfg     relay.Config
	targets string
}

func newRelayCommand() *relayCommand {
	return &relayCommand{cfg: relay.Config{Listen: "127.0.0.1:7400", Metrics: "127.0.0.1:7401"}}
}

func (c *relayCommand) flags() *flaggy.Subcommand {
	s := flaggy.NewSubcommand("relay")
	s.Description = "plain HTTP relay, the baseline of the path experiment"
	s.String(&c.cfg.Listen, "", "listen", "loopback address for callers")
	s.String(&c.cfg.Metrics, "", "metrics", "loopback address of the process metrics")
	s.String(&c.targets, "", "targets", "targets as host:port, separated by commas")
	return s
}

func (c *relayCommand) start() (func(), error) {
	c.cfg.Targets = strings.FieldsFunc(c.targets, func(r rune) bool { return r == ',' })
	r, err := relay.Start(c.cfg)
	if err != nil {
		return nil, err
	}
	printStatus("relay listens on %s", c.cfg.Listen)
	return r.Close, nil
}
