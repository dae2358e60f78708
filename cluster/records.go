package cluster

import (
	"context"
	"encoding/json"
	"net/http"

	"github.com/pkg/errors"

	"github.com/bulrushfall/bulrushfall/infra"
	standinengine "github.com/bulrushfall/bulrushfall/standin/engine"
	"github.com/bulrushfall/bulrushfall/standin/orders"
	standin "github.com/bulrushfall/bulrushfall/standin/platform"
)

// OrderRuns returns how often each order ran, summed over all order systems.
func (c *Cluster) OrderRuns() (map[string]int, error) {
	runs := make(map[string]int)
	err := c.forEachBackend(infra.KindPlain, "/debug/counts", func(dec *json.Decoder) error {
		var r orders.Record
		if err := dec.Decode(&r); err != nil {
			return err
		}
		for id, n := range r.Counts {
			runs[id] += n
		}
		return nil
	})
	return runs, err
}

// EngineRecords returns the record of each engine.
func (c *Cluster) EngineRecords() ([]standinengine.Record, error) {
	var out []standinengine.Record
	err := c.forEachBackend(infra.KindEngine, "/debug/record", func(dec *json.Decoder) error {
		var r standinengine.Record
		if err := dec.Decode(&r); err != nil {
			return err
		}
		out = append(out, r)
		return nil
	})
	return out, err
}

// forEachBackend fetches a JSON document from each listed backend server of a
// kind and passes its decoder to read.
func (c *Cluster) forEachBackend(kind infra.InstanceKind, path string, read func(*json.Decoder) error) error {
	instances, err := c.Instances(context.Background())
	if err != nil {
		return err
	}
	for _, inst := range instances {
		if inst.Kind != kind {
			continue
		}
		resp, err := http.Get("http://" + inst.Address + path)
		if err != nil {
			return errors.Wrapf(err, "read the record of %s", inst.ID)
		}
		err = read(json.NewDecoder(resp.Body))
		_ = resp.Body.Close()
		if err != nil {
			return errors.Wrapf(err, "decode the record of %s", inst.ID)
		}
	}
	return nil
}

// StoreCounts returns how often the platform's table was read and written.
func (c *Cluster) StoreCounts() (standin.Counts, error) {
	var out standin.Counts
	resp, err := http.Get(c.PlatformURL + "/debug/counts")
	if err != nil {
		return out, errors.Wrap(err, "read the counts of the platform")
	}
	defer func() { _ = resp.Body.Close() }()
	return out, errors.Wrap(json.NewDecoder(resp.Body).Decode(&out), "decode the counts of the platform")
}
