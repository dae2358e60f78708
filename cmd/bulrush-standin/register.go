package main

import (
	"bytes"
	"encoding/json"
	"fmt"
	"net/http"

	"github.com/integrii/flaggy"
	"github.com/pkg/errors"

	"github.com/bulrushfall/bulrushfall/ident"
	"github.com/bulrushfall/bulrushfall/infra"
	standin "github.com/bulrushfall/bulrushfall/standin/platform"
)

// registrar registers the instances of a process with the platform stand-in.
type registrar struct {
	platformURL string
	prefix      string
	region      string
	dataCentre  string
	domain      string
	partner     string
	service     string
}

func (g *registrar) flags(s *flaggy.Subcommand) {
	s.String(&g.platformURL, "", "platform", "base URL of the platform stand-in to register at")
	s.String(&g.prefix, "", "prefix", "prefix of instance names")
	s.String(&g.region, "", "region", "region")
	s.String(&g.dataCentre, "", "data-centre", "data centre")
	s.String(&g.domain, "", "domain", "fabric domain, or its prefix")
	s.String(&g.partner, "", "partner", "partner firm that runs the instances")
}

func (g *registrar) instance(id, address string, kind infra.InstanceKind) infra.Instance {
	return infra.Instance{
		ID: ident.InstanceID(id), Kind: kind, State: infra.StateLive, Address: address,
		Region: ident.Region(g.region), DataCentre: ident.DataCentre(g.dataCentre),
		Domain: ident.Domain(g.domain), Partner: ident.Partner(g.partner),
	}
}

// registerPlain registers one instance of a plain service.
func (g *registrar) registerPlain(address string) error {
	i := g.instance(g.prefix, address, infra.KindPlain)
	i.Service = ident.ServiceName(g.service)
	return g.register([]infra.Instance{i})
}

// register adds instances to the platform's instance list. Without a platform
// URL it does nothing.
func (g *registrar) register(instances []infra.Instance) error {
	if g.platformURL == "" {
		return nil
	}
	b, err := json.Marshal(standin.InstanceChange{Put: instances})
	if err != nil {
		return errors.Wrap(err, "encode instances")
	}
	resp, err := http.Post(g.platformURL+"/debug/instances", "application/json", bytes.NewReader(b))
	if err != nil {
		return errors.Wrap(err, "register with the platform stand-in: check --platform")
	}
	_ = resp.Body.Close()
	if resp.StatusCode != http.StatusNoContent {
		return fmt.Errorf("register with the platform stand-in: status %d", resp.StatusCode)
	}
	return nil
}
