package forward

import (
	"math"
	"strconv"

	"github.com/sirupsen/logrus"
)

// recordLimit records the request limit that the response names, or that it names none.
func (a *attempt) recordLimit() {
	perSecond := 0.0
	if v := a.resp.Header.Get(a.req.handler.opts.Headers.RequestLimit); v != "" {
		n, err := strconv.ParseFloat(v, 64)
		if err != nil || n < 0 || math.IsInf(n, 0) || math.IsNaN(n) {
			a.req.addStep("limit:" + string(a.server.ID) + ":" + strconv.Quote(v) + " is not a rate")
			return
		}
		perSecond = n
	}
	old := math.Float64frombits(a.backend.limit.Swap(math.Float64bits(perSecond)))
	if old != perSecond && a.req.handler.opts.Log != nil {
		a.req.handler.opts.Log.WithFields(logrus.Fields{
			"server": a.server.ID, "per_second": perSecond, "was": old, "request": a.req.id,
		}).Info("backend server changed its request limit")
	}
}
