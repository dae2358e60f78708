package main

import (
	"fmt"
	"strings"

	"github.com/integrii/flaggy"

	"github.com/bulrushfall/bulrushfall/standin/faultproxy"
)

type faultProxyCommand struct {
	control string
	links   []string
}

func newFaultProxyCommand() *faultProxyCommand {
	return &faultProxyCommand{control: "127.0.0.1:7300"}
}

func (c *faultProxyCommand) flags() *flaggy.Subcommand {
	s := flaggy.NewSubcommand("faultproxy")
	s.Description = "TCP and UDP proxy that injects faults"
	s.String(&c.control, "", "control", "loopback address of the control interface")
	s.StringSlice(&c.links, "", "link", "a link as name|network|listen|target; append |from|to, the groups of processes at its ends, to interrupt it in partitions; may be repeated")
	return s
}

func (c *faultProxyCommand) start() (func(), error) {
	links, err := parseLinks(c.links)
	if err != nil {
		return nil, err
	}
	p, err := faultproxy.Start(faultproxy.Config{Control: c.control, Links: links})
	if err != nil {
		return nil, err
	}
	printStatus("fault proxy is controlled at %s", p.ControlURL())
	for _, l := range p.Links() {
		printStatus("link %s: %s to %s", l.Name, l.Listen, l.Target)
	}
	return p.Close, nil
}

// parseLinks parses --link values. "|" separates their fields, because flaggy
// splits values at commas.
func parseLinks(values []string) ([]faultproxy.Link, error) {
	links := make([]faultproxy.Link, 0, len(values))
	for _, v := range values {
		f := strings.Split(v, "|")
		if len(f) != 4 && len(f) != 6 {
			return nil, fmt.Errorf("--link %q has %d fields: write name|tcp|listen|target or name|tcp|listen|target|from|to", v, len(f))
		}
		l := faultproxy.Link{Name: f[0], Network: faultproxy.Network(f[1]), Listen: f[2], Target: f[3]}
		if l.Network != faultproxy.TCP && l.Network != faultproxy.UDP {
			return nil, fmt.Errorf("--link %q: network must be tcp or udp", v)
		}
		if len(f) == 6 {
			l.From, l.To = f[4], f[5]
		}
		links = append(links, l)
	}
	return links, nil
}
