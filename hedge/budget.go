package hedge

// budget limits the extra attempts in one pool of this host. The zero value has one attempt left.
type budget struct {
	earned, spent int            // by the whole pool, in millionths of an attempt
	organisations map[string]int // spent by each organisation, less what it has earned since; one that has nothing to make up for has no entry
}

// attempt is the cost of one extra attempt, in millionths.
const attempt = 1_000_000

// earn credits a request of an organisation. The organisation keeps at most one attempt, so that over any consecutive n of its
// requests its extra attempts are at most perRequest x n + 1, and no organisation can use what another has earned.
func (b *budget) earn(organisation string, perRequest int) {
	b.earned += perRequest
	if left := b.organisations[organisation] - perRequest; left > 0 {
		b.organisations[organisation] = left
	} else {
		delete(b.organisations, organisation)
	}
}

// allows reports whether the pool and the organisation have an attempt left: over all requests since the start of the host,
// the pool's extra attempts are at most perRequest x requests + 1.
func (b *budget) allows(organisation string) bool {
	return b.spent <= b.earned && b.organisations[organisation] == 0
}

// spend takes an attempt.
func (b *budget) spend(organisation string) {
	if b.organisations == nil {
		b.organisations = map[string]int{}
	}
	b.spent += attempt
	b.organisations[organisation] += attempt
}
