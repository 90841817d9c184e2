package membership

import (
	"slices"
	"time"
)

// The pause before an address is called again doubles each time, within these bounds.
const (
	minJoinBackoff = 500 * time.Millisecond
	maxJoinBackoff = 10 * time.Second
)

// fleetJoinRate is how many members of the whole fleet call an address each second where many miss the same one. It
// keeps hundreds that miss one seed from calling it at the moment that it is back.
const fleetJoinRate = 3

// maxPredecessorCallers bounds the list of those that called our predecessor: one that answers tells us of all others.
const maxPredecessorCallers = 4

const (
	// divergenceDelay is how long a view has to stand before it is held to differ: news takes some rounds of gossip.
	divergenceDelay = 2 * time.Second
	// divergentJoinChance is the chance each second that the member whose view differs from most calls another.
	divergentJoinChance = 0.2
)

// joinSchedule is which gossip addresses were called, and which are to be called first.
type joinSchedule struct {
	attempts           map[string]joinAttempt // of addresses that did not answer
	predecessorCallers []string               // addresses of members that called the process that had our name before
}

// joinAttempt is how an address was last called.
type joinAttempt struct {
	retryAt time.Duration // when it may be called again
	backoff time.Duration
}

// due reports whether an address may be called again.
func (j *joinSchedule) due(addr string, now time.Duration) bool {
	return now >= j.attempts[addr].retryAt
}

func (j *joinSchedule) dropPredecessorCaller(addr string) {
	j.predecessorCallers = slices.DeleteFunc(j.predecessorCallers, func(a string) bool { return a == addr })
}

// NextJoinAddr gives a gossip address to call now, if there is one. It is to be called once a second. A seed where
// nobody is known, and a member that was lost without having left, may be in a part of the fleet that does not know
// of us: two halves that have declared each other gone find together by nothing else. random gives numbers from 0 to
// 1.
func (t *Table) NextJoinAddr(now time.Duration, random func() float64) (addr string, ok bool) {
	reachableAddrs := map[string]bool{t.self.GossipAddr: true}
	present := 0
	for member := range t.view.All() {
		if member.State.Present() && !member.reachability.unreachable {
			reachableAddrs[member.GossipAddr] = true
			present++
		}
	}
	for reachable := range reachableAddrs {
		delete(t.joins.attempts, reachable)
	}
	excluded := func(addr string) bool { return reachableAddrs[addr] || !t.joins.due(addr, now) }
	t.joins.predecessorCallers = slices.DeleteFunc(t.joins.predecessorCallers, excluded)
	if len(t.joins.predecessorCallers) > 0 { // called at once: each of them is called by us alone
		return t.joins.predecessorCallers[0], true
	}
	missing := slices.DeleteFunc(t.missingAddrs(), excluded)
	if len(missing) == 0 {
		return t.nextDivergentMember(now, present, random)
	}
	if present > 0 && random() >= joinChance(present) {
		return "", false
	}
	return pickRandom(missing, random), true
}

// joinChance is the chance at which each member of a fleet calls, so that the whole fleet calls at its rate.
func joinChance(present int) float64 { return float64(fleetJoinRate) / float64(present+1) }

// pick chooses one of addrs, of which there has to be one.
func pickRandom(addrs []string, random func() float64) string {
	return addrs[min(len(addrs)-1, int(random()*float64(len(addrs))))]
}

// missingAddrs gives the seeds, and the addresses of members that were lost without having left.
func (t *Table) missingAddrs() []string {
	missing := slices.Clone(t.config.Seeds)
	for member := range t.view.All() {
		if member.reachability.unreachable && member.Reason != ReasonLeft && member.State != StateFenced {
			missing = append(missing, member.GossipAddr)
		}
	}
	return missing
}

// AddPredecessorCaller takes the address of a member that called the process that had our name and address before: a
// part of the fleet that does not know of us yet. A seed that is started again together with others is found by these
// alone; the rest of the fleet would learn of it only once the detector has reported the predecessors, many seconds
// later.
func (t *Table) AddPredecessorCaller(addr string) {
	joins := &t.joins
	if len(joins.predecessorCallers) < maxPredecessorCallers && !slices.Contains(joins.predecessorCallers, addr) {
		joins.predecessorCallers = append(joins.predecessorCallers, addr)
	}
}

// nextDivergentMember gives the address of a member whose view differs from ours, though both have had time to
// receive the same. Without it a process that joined through one that was in doubt of a third at that moment would
// miss the third, as the news that it is well went out before.
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
	// A member that differs from most is most likely the one that misses something, and need not wait to be called. It
	// does so by chance all the same, as each differs from most while the whole fleet changes.
	chance := joinChance(present)
	if len(divergent) > agreeing {
		chance = max(chance, divergentJoinChance)
	}
	if len(divergent) == 0 || random() >= chance {
		return "", false
	}
	return pickRandom(divergent, random), true
}

// hasSettledView reports whether a member's last view digest is late enough to be compared with ours.
func (t *Table) hasSettledView(member Member) bool {
	return member.State.Available() && !member.reachability.unreachable && member.viewDigest != 0 &&
		member.HeartbeatAt > t.viewDigestSince+divergenceDelay/2
}

// RecordJoin takes the result of a call. The pause before the next one is jittered by half.
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

// Jitter gives half to one and a half times an interval, by a random number from 0 to 1.
func Jitter(interval time.Duration, random float64) time.Duration {
	return time.Duration((0.5 + random) * float64(interval))
}
