package picker

import (
	"math/rand/v2"

	"bambooweir.example/bambooweir/tracker"
)

// Pick returns one of the targets, those of the own failure domain first, or
// false when there is none.
func Pick(targets []tracker.Record, domain string) (tracker.Record, bool) {
	var local []tracker.Record
	for _, r := range targets {
		if r.Domain == domain {
			local = append(local, r)
		}
	}
	if len(local) > 0 {
		targets = local
	}
	if len(targets) == 0 {
		return tracker.Record{}, false
	}
	return targets[rand.IntN(len(targets))], true
}
