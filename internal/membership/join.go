package membership

import (
	"slices"
	"time"
)

// Bounds of the backoff before a failed join of an address is retried. It doubles after each failure.
const (
	minJoinBackoff = 500 * time.Millisecond
	maxJoinBackoff = 10 * time.Second
)

// fleetJoinRate is the mean number of members of the whole fleet that attempt a join per second. It prevents hundreds
// of members that have lost the same seed from all joining it as soon as it is back.
const fleetJoinRate = 3

// maxPredecessorCallers limits the list of the predecessor's callers: a join with one of them is enough to learn of
// all other members.
const maxPredecessorCallers = 4

const (
	// divergenceDelay is the time for which a view must be unchanged before it is compared with others, because
	// a change takes several rounds of gossip to reach all members.
	divergenceDelay = 2 * time.Second
	// divergentJoinChance is the probability per second with which a member whose view differs from most others
	// joins one of them.
	divergentJoinChance = 0.2
)

// joinSchedule holds the gossip addresses whose join has failed, and those to join first.
type joinSchedule struct {
	attempts           map[string]joinAttempt // failed attempts, by address
	predecessorCallers []string               // addresses of members that called this process's predecessor
}

// joinAttempt is the backoff state of an address after a failed join.
type joinAttempt struct {
	retryAt time.Duration // earliest time of the next attempt
	backoff time.Duration
}

// due reports whether a join of an address may be attempted.
func (j *joinSchedule) due(addr string, now time.Duration) bool {
	return now >= j.attempts[addr].retryAt
}

func (j *joinSchedule) dropPredecessorCaller(addr string) {
	j.predecessorCallers = slices.DeleteFunc(j.predecessorCallers, func(a string) bool { return a == addr })
}

// NextJoinAddr returns a gossip address to join now; ok is false if there is none. It must be called once a second,
// because its probabilities are per second. A seed address without a reachable member, and a member that was lost
// without having left, may belong to a part of the fleet that does not know this process. Two halves of a fleet that
// have declared each other gone are reunited only by such joins. random returns numbers from 0 to 1.
func (t *Table) NextJoinAddr(now time.Duration, random func() float64) (addr string, ok bool) {
	knownAddrs := map[string]bool{t.self.GossipAddr: true}
	present := 0
	for member := range t.view.All() {
		if member.State.Present() && !member.reachability.lost {
			knownAddrs[member.GossipAddr] = true
			present++
		}
	}
	for addr := range knownAddrs {
		delete(t.joins.attempts, addr)
	}
	excluded := func(addr string) bool { return knownAddrs[addr] || !t.joins.due(addr, now) }
	t.joins.predecessorCallers = slices.DeleteFunc(t.joins.predecessorCallers, excluded)
	if len(t.joins.predecessorCallers) > 0 { // joined immediately: no other member joins them at the same time
		return t.joins.predecessorCallers[0], true
	}
	missing := slices.DeleteFunc(t.missingAddrs(), excluded)
	if len(missing) == 0 {
		return t.nextDivergentMember(now, present, random)
	}
	if present > 0 && random() >= joinChance(present) {
		return "", false
	}
	return pick(missing, random), true
}

// joinChance returns the probability with which each member attempts a join, so that the whole fleet attempts
// fleetJoinRate joins per second. present is the number of other members that are present and not lost.
func joinChance(present int) float64 { return float64(fleetJoinRate) / float64(present+1) }

// pick returns a random element of addrs, which must not be empty.
func pick(addrs []string, random func() float64) string {
	return addrs[min(len(addrs)-1, int(random()*float64(len(addrs))))]
}

// missingAddrs returns the addresses of the seeds and of the members that were lost without having left.
func (t *Table) missingAddrs() []string {
	missing := slices.Clone(t.config.Seeds)
	for member := range t.view.All() {
		if member.reachability.lost && member.Reason != ReasonLeft && member.State != StateFenced {
			missing = append(missing, member.GossipAddr)
		}
	}
	return missing
}

// AddPredecessorCaller records the address of a member that called this process's predecessor, which had the same
// name and address. The member belongs to a part of the fleet that does not know this process yet. When a seed is
// restarted together with other members, only such calls lead it to the rest of the fleet early. Otherwise the rest
// would learn of it only after the failure detector has reported the predecessors, many seconds later.
func (t *Table) AddPredecessorCaller(addr string) {
	joins := &t.joins
	if len(joins.predecessorCallers) < maxPredecessorCallers && !slices.Contains(joins.predecessorCallers, addr) {
		joins.predecessorCallers = append(joins.predecessorCallers, addr)
	}
}

// nextDivergentMember returns the address of a member whose view differs from this process's view although both have
// had time to receive the same messages. Without it, a process that joined through a member that suspected a third
// one at that time would lack the third, because the refutation was broadcast before the join.
func (t *Table) nextDivergentMember(now time.Duration, present int, random func() float64) (addr string, ok bool) {
	if now-t.viewDigestSince < divergenceDelay || present == 0 {
		return "", false
	}
	var divergent []string
	agreeing := 0
	for member := range t.view.All() {
		switch {
		case !t.hasSettledView(member):
		case member.viewDigest == t.viewDigest:
			agreeing++
		case t.joins.due(member.GossipAddr, now):
			divergent = append(divergent, member.GossipAddr)
		}
	}
	// If this process differs from most members, it most likely lacks something itself and attempts the join with a
	// higher probability. It does not always join, because every member differs from most while the whole fleet
	// changes.
	chance := joinChance(present)
	if len(divergent) > agreeing {
		chance = max(chance, divergentJoinChance)
	}
	if len(divergent) == 0 || random() >= chance {
		return "", false
	}
	return pick(divergent, random), true
}

// hasSettledView reports whether a member's last view digest is recent enough to be compared with this process's
// digest.
func (t *Table) hasSettledView(member Member) bool {
	return member.State.Available() && !member.reachability.lost && member.viewDigest != 0 &&
		member.HeartbeatAt > t.viewDigestSince+divergenceDelay/2
}

// RecordJoin records the result of a join of addr. The backoff after a failure has a jitter of up to half of it in
// either direction.
func (t *Table) RecordJoin(addr string, succeeded bool, now time.Duration, random func() float64) {
	t.joins.dropPredecessorCaller(addr)
	if succeeded {
		delete(t.joins.attempts, addr)
		return
	}
	attempt := t.joins.attempts[addr]
	attempt.backoff = min(max(2*attempt.backoff, minJoinBackoff), maxJoinBackoff)
	attempt.retryAt = now + Jitter(attempt.backoff, random())
	if len(t.joins.attempts) < 2*t.config.MaxMembers {
		t.joins.attempts[addr] = attempt
	}
}

// Jitter returns interval multiplied by 0.5 to 1.5, depending on random, a number from 0 to 1.
func Jitter(interval time.Duration, random float64) time.Duration {
	return time.Duration((0.5 + random) * float64(interval))
}
