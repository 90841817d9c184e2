package membership

import (
	"slices"
	"time"
)

// joinAttempt is how an address was last tried.
type joinAttempt struct {
	retryAt time.Duration // when it may be tried again
	backoff time.Duration
}

// What is tried again waits twice as long each time. The first pause is some round trips of a poor link, the last one lets a seed
// that came back be found while an operator looks on.
const (
	minJoinBackoff = 500 * time.Millisecond
	maxJoinBackoff = 10 * time.Second
)

// fleetJoinRate is how many in the whole fleet try an address each second, where many miss the same. Danger: hundreds that miss one
// seed, and all knock at the moment it is back.
const fleetJoinRate = 3

// NextJoinAddr gives an address to call, if there is one to call now. It is asked once a second. A seed that nobody here has, and
// whoever was lost without having left, may be a part of the fleet that does not know of us: two halves that have given each
// other up find together by nothing else. chance is from 0 to 1.
func (t *Table) NextJoinAddr(now time.Duration, random func() float64) (addr string, ok bool) {
	knownAddrs := map[string]bool{t.self.GossipAddr: true}
	var missing []string
	present := 0
	for m := range t.view.All() {
		if m.State != StateGone && m.State != StateFenced && !m.unreachable {
			knownAddrs[m.GossipAddr] = true
			present++
		}
	}
	missing = append(missing, t.config.Seeds...)
	for m := range t.view.All() {
		if m.unreachable && m.Reason != ReasonLeft && m.State != StateFenced {
			missing = append(missing, m.GossipAddr)
		}
	}
	excluded := func(a string) bool { return knownAddrs[a] || now < t.joinAttempts[a].retryAt }
	missing = slices.DeleteFunc(missing, excluded)
	for a := range t.joinAttempts {
		if knownAddrs[a] {
			delete(t.joinAttempts, a)
		}
	}
	t.predecessorCallers = slices.DeleteFunc(t.predecessorCallers, excluded)
	if len(t.predecessorCallers) > 0 { // no herd: each is called by those alone whose former lives it called
		return t.predecessorCallers[0], true
	}
	if len(missing) == 0 {
		return t.nextDivergentMember(now, present, random)
	}
	if present > 0 && random() >= float64(fleetJoinRate)/float64(present+1) {
		return "", false
	}
	return missing[min(len(missing)-1, int(random()*float64(len(missing))))], true
}

// AddPredecessorCaller takes the address of a member that called the life before ours, under our address: it is a part of the fleet that does not know of us yet.
// Danger: a seed that is started again together with others is found by these alone; the rest of the fleet, which still holds the former lives
// to be there, comes to know of it only once the detector has given them up, some seconds later in a small fleet and many in a large one.
func (t *Table) AddPredecessorCaller(addr string) {
	const maxCallers = 4 // one that answers tells us of all others
	if len(t.predecessorCallers) < maxCallers && !slices.Contains(t.predecessorCallers, addr) {
		t.predecessorCallers = append(t.predecessorCallers, addr)
	}
}

// divergenceDelay is how long views have to stand before they are held to differ: news takes some rounds of gossip.
const divergenceDelay = 2 * time.Second

// divergentJoinChance is the chance a second that one calls who differs from most.
const divergentJoinChance = 0.2

// nextDivergentMember gives the address of a member that holds others to be here than we do, though both have had time to hear the same.
// Danger: who joins by one that doubts somebody just then misses him, and the gossip that he is well went out before.
func (t *Table) nextDivergentMember(now time.Duration, present int, random func() float64) (addr string, ok bool) {
	if now-t.viewDigestSince < divergenceDelay || present == 0 {
		return "", false
	}
	var divergent []string
	agreeing := 0
	for m := range t.view.All() {
		switch {
		case !m.State.Available() || m.unreachable || m.viewDigest == 0 || m.HeartbeatAt <= t.viewDigestSince+divergenceDelay/2:
		case m.viewDigest == t.viewDigest:
			agreeing++
		case now >= t.joinAttempts[m.GossipAddr].retryAt:
			divergent = append(divergent, m.GossipAddr)
		}
	}
	// Who differs from most is most likely the odd one, and need not wait for somebody to find him. Not all at once all the same: while
	// the whole fleet changes everybody seems odd to himself.
	probability := float64(fleetJoinRate) / float64(present+1)
	if len(divergent) > agreeing {
		probability = max(probability, divergentJoinChance)
	}
	if len(divergent) == 0 || random() >= probability {
		return "", false
	}
	return divergent[min(len(divergent)-1, int(random()*float64(len(divergent))))], true
}

// RecordJoin takes what became of a call. The pause before the next is half to one and a half times what it would be, by chance.
func (t *Table) RecordJoin(addr string, succeeded bool, now time.Duration, random func() float64) {
	t.predecessorCallers = slices.DeleteFunc(t.predecessorCallers, func(a string) bool { return a == addr })
	if succeeded {
		delete(t.joinAttempts, addr)
		return
	}
	attempt := t.joinAttempts[addr]
	attempt.backoff = min(max(2*attempt.backoff, minJoinBackoff), maxJoinBackoff)
	attempt.retryAt = now + time.Duration((0.5+random())*float64(attempt.backoff))
	if len(t.joinAttempts) < 2*t.config.MaxMembers {
		t.joinAttempts[addr] = attempt
	}
}
