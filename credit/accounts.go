package credit

import (
	"slices"
	"strings"
	"time"

	"github.com/bulrushfall/bulrushfall/ident"
)

// AccountRate is what one client account offers to an entry instance, or to all
// others together: requests per second, refused ones included.
type AccountRate struct {
	Account           ident.Account `msgpack:"a"`
	RequestsPerSecond float64       `msgpack:"f"`
}

// others sums the account uses of all live holders but one, for the accounts
// that this one uses, and counts the live holders. Account limits are enforced
// by the entry instances from these sums, which are up to two sync intervals old:
// an account can exceed its limit for that time, a backend server cannot.
func (o *Owner) others(now time.Duration, self holderKey) (uses []AccountRate, entries int) {
	own := o.holders[self].accounts
	sums := make(map[ident.Account]*AccountRate, len(own))
	for _, u := range own {
		sums[u.Account] = &AccountRate{Account: u.Account}
	}
	for key, st := range o.holders {
		if now-st.last > liveWindow {
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
		uses = append(uses, *sum)
	}
	slices.SortFunc(uses, func(a, b AccountRate) int { return strings.Compare(string(a.Account), string(b.Account)) })
	return uses, entries
}
