package membership

import (
	"slices"
	"time"
)

// The delay before the next join attempt at an address doubles with each failure, within these limits.
const (
	minJoinBackoff = 500 * time.Millisecond
	maxJoinBackoff = 10 * time.Second
)

// fleetJoinRate is the number of join attempts per second that the whole fleet makes when many members cannot reach the
// same address. Without it, hundreds of members that cannot reach one seed would all contact it as soon as it is back.
const fleetJoinRate = 3

// maxPredecessorCallers is the maximum number of recorded callers of the predecessor. A few are enough, because one
// that answers reports all other members.
const maxPredecessorCallers = 4

const (
	// divergenceDelay is how long a view must be unchanged before it is compared with others: an update takes some
	// rounds of gossip to reach all members.
	divergenceDelay = 2 * time.Second
	// divergentJoinChance is the probability, per second, that a member whose view differs from most others joins one
	// of them.
	divergentJoinChance = 0.2
)

// joinSchedule records failed join attempts by gossip address, and the addresses to join first.
type joinSchedule struct {
	attempts           map[string]joinAttempt // the last attempt at each address that did not answer
	predecessorCallers []string               // addresses of members that called the predecessor of this process
}

// joinAttempt is the backoff after a failed join attempt at an address.
type joinAttempt struct {
	retryAt time.Duration // time of the earliest next attempt
	backoff time.Duration
}

// due reports whether a join attempt at an address is allowed again.
func (j *joinSchedule) due(addr string, now time.Duration) bool {
	return now >= j.attempts[addr].retryAt
}

func (j *joinSchedule) dropPredecessorCaller(addr string) {
	j.predecessorCallers = slices.DeleteFunc(j.predecessorCallers, func(a string) bool { return a == addr })
}

// NextJoinAddr returns the gossip address to join now; ok is false if there is none. It must be called once a second,
// because its probabilities are per second. A seed without a reachable member, or a member that became unreachable
// without leaving, may be in a part of the fleet that does not know this process. Two halves of a fleet that have
// declared each other gone merge only by these join attempts. random returns numbers from 0 to 1.
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
	if len(t.joins.predecessorCallers) > 0 { // joined at once: no other process joins them for this reason
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

// joinChance returns the probability with which each member makes a join attempt each second, so that the whole fleet
// makes fleetJoinRate attempts per second. present is the number of other members that are present and reachable.
func joinChance(present int) float64 { return float64(fleetJoinRate) / float64(present+1) }

// pickRandom returns a random element of addrs, which must not be empty.
func pickRandom(addrs []string, random func() float64) string {
	return addrs[min(len(addrs)-1, int(random()*float64(len(addrs))))]
}

// missingAddrs returns the seeds and the addresses of members that became unreachable without leaving.
func (t *Table) missingAddrs() []string {
	missing := slices.Clone(t.config.Seeds)
	for member := range t.view.All() {
		if member.reachability.unreachable && member.Reason != ReasonLeft && member.State != StateFenced {
			missing = append(missing, member.GossipAddr)
		}
	}
	return missing
}

// AddPredecessorCaller records the address of a member that called the predecessor of this process, which had the same
// name and address. The caller's part of the fleet does not know this process yet. When a seed restarts together with
// other members, only these callers connect it to the fleet early. Without them, the rest of the fleet would learn of
// it only when the failure detector has reported the predecessors, many seconds later.
func (t *Table) AddPredecessorCaller(addr string) {
	joins := &t.joins
	if len(joins.predecessorCallers) < maxPredecessorCallers && !slices.Contains(joins.predecessorCallers, addr) {
		joins.predecessorCallers = append(joins.predecessorCallers, addr)
	}
}

// nextDivergentMember returns the address of a member whose view differs from the local one although both have had
// time to receive the same updates; ok is false if no join attempt is due. Without it, a process that joins through a
// member that suspects a third one at that moment would miss the third one, because the refutation was sent before the
// join.
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
	// A process whose view differs from most others has most likely missed an update. It joins with a higher
	// probability instead of waiting to be joined. The attempt stays random, because every view differs from most
	// others while the whole fleet changes.
	chance := joinChance(present)
	if len(divergent) > agreeing {
		chance = max(chance, divergentJoinChance)
	}
	if len(divergent) == 0 || random() >= chance {
		return "", false
	}
	return pickRandom(divergent, random), true
}

// hasSettledView reports whether a member's last view digest is recent enough to be compared with the local one.
func (t *Table) hasSettledView(member Member) bool {
	return member.State.Available() && !member.reachability.unreachable && member.viewDigest != 0 &&
		member.HeartbeatAt > t.viewDigestSince+divergenceDelay/2
}

// RecordJoin records the result of a join attempt. The delay before the next attempt is jittered by up to half of it in
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

// Jitter returns half to one and a half times interval. The result increases linearly with random, which must be from 0
// to 1.
func Jitter(interval time.Duration, random float64) time.Duration {
	return time.Duration((0.5 + random) * float64(interval))
}
