package credit

import (
	"slices"
	"strings"
	"time"

	"github.com/bulrushfall/bulrushfall/ident"
)

// AccountRate is the request rate of one client account at an entry instance, or
// at all other entry instances together. It includes refused requests.
type AccountRate struct {
	Account           ident.Account `msgpack:"a"`
	RequestsPerSecond float64       `msgpack:"f"`
}

// otherAccountRates sums the rates that all live holders except self report, for
// the client accounts that self reports. It also returns the number of live
// holders. Entry instances enforce the limits of client accounts with these sums,
// which are up to two sync intervals old. A client account can exceed its limit
// for that time; a backend server never exceeds its own.
func (o *Owner) otherAccountRates(now time.Duration, self holderKey) (rates []AccountRate, entries int) {
	own := o.holders[self].accounts
	sums := make(map[ident.Account]*AccountRate, len(own))
	for _, u := range own {
		sums[u.Account] = &AccountRate{Account: u.Account}
	}
	for key, st := range o.holders {
		if now-st.lastSync > liveTimeout {
			continue
		}
		entries++
		if key == self {
			continue
		}
		for _, u := range st.accounts {
			if sum, ok := sums[u.Account]; ok {
				sum.RequestsPerSecond += u.RequestsPerSecond
			}
		}
	}
	for _, sum := range sums {
		rates = append(rates, *sum)
	}
	slices.SortFunc(rates, func(a, b AccountRate) int { return strings.Compare(string(a.Account), string(b.Account)) })
	return rates, entries
}
