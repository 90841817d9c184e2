package members

import (
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
)

// try is how an address was last tried.
type try struct {
	at    time.Duration // when it may be tried again
	pause time.Duration
}

// What is tried again waits twice as long each time. The first pause is some round trips of a poor link, the last one lets a seed
// that came back be found while an operator looks on.
const (
	firstPause = 500 * time.Millisecond
	lastPause  = 10 * time.Second
)

// together is how many in the whole fleet try an address each second, where many miss the same. Danger: hundreds that miss one
// seed, and all knock at the moment it is back.
const together = 3

// Reach gives an address to call, if there is one to call now. It is asked once a second. A seed that nobody here has, and
// whoever was lost without having left, may be a part of the fleet that does not know of us: two halves that have given each
// other up find together by nothing else. chance is from 0 to 1.
func (t *Table) Reach(now time.Duration, chance func() float64) (addr string, ok bool) {
	known := map[string]bool{t.self.Addr: true}
	var missing []string
	here := 0
	for m := range t.view.All() {
		if m.State != Gone && m.State != Fenced && !m.lost {
			known[m.Addr] = true
			here++
		}
	}
	missing = append(missing, t.told.Seeds...)
	for m := range t.view.All() {
		if m.lost && m.Why != Left && m.State != Fenced {
			missing = append(missing, m.Addr)
		}
	}
	out := func(a string) bool { return known[a] || now < t.tries[a].at }
	missing = slices.DeleteFunc(missing, out)
	for a := range t.tries {
		if known[a] {
			delete(t.tries, a)
		}
	}
	t.callers = slices.DeleteFunc(t.callers, out)
	if len(t.callers) > 0 { // no herd: each is called by those alone whose former lives it called
		return t.callers[0], true
	}
	if len(missing) == 0 {
		return t.differing(now, here, chance)
	}
	if here > 0 && chance() >= float64(together)/float64(here+1) {
		return "", false
	}
	return missing[min(len(missing)-1, int(chance()*float64(len(missing))))], true
}

// Called takes the address of a member that called the life before ours, under our address: it is a part of the fleet that does not know of us yet.
// Danger: a seed that is started again together with others is found by these alone; the rest of the fleet, which still holds the former lives
// to be there, comes to know of it only once the detector has given them up, some seconds later in a small fleet and many in a large one.
func (t *Table) Called(addr string) {
	const most = 4 // one that answers tells us of all others
	if len(t.callers) < most && !slices.Contains(t.callers, addr) {
		t.callers = append(t.callers, addr)
	}
}

// calm is how long views have to stand before they are held to differ: news takes some rounds of gossip.
const calm = 2 * time.Second

// odd is the chance a second that one calls who differs from most.
const odd = 0.2

// differing gives the address of a member that holds others to be here than we do, though both have had time to hear the same.
// Danger: who joins by one that doubts somebody just then misses him, and the gossip that he is well went out before.
func (t *Table) differing(now time.Duration, here int, chance func() float64) (addr string, ok bool) {
	if now-t.turned < calm || here == 0 {
		return "", false
	}
	var differ []string
	same := 0
	for m := range t.view.All() {
		switch {
		case !m.State.Here() || m.lost || m.digest == 0 || m.Spoke <= t.turned+calm/2:
		case m.digest == t.digest:
			same++
		case now >= t.tries[m.Addr].at:
			differ = append(differ, m.Addr)
		}
	}
	// Who differs from most is most likely the odd one, and need not wait for somebody to find him. Not all at once all the same: while
	// the whole fleet changes everybody seems odd to himself.
	most := float64(together) / float64(here+1)
	if len(differ) > same {
		most = max(most, odd)
	}
	if len(differ) == 0 || chance() >= most {
		return "", false
	}
	return differ[min(len(differ)-1, int(chance()*float64(len(differ))))], true
}

// Tried takes what became of a call. The pause before the next is half to one and a half times what it would be, by chance.
func (t *Table) Tried(addr string, went bool, now time.Duration, chance func() float64) {
	t.callers = slices.DeleteFunc(t.callers, func(a string) bool { return a == addr })
	if went {
		delete(t.tries, addr)
		return
	}
	last := t.tries[addr]
	last.pause = min(max(2*last.pause, firstPause), lastPause)
	last.at = now + time.Duration((0.5+chance())*float64(last.pause))
	if len(t.tries) < 2*t.told.Most {
		t.tries[addr] = last
	}
}

// tellers is how many tell an old life that it is over; the word may be lost on the way.
const tellers = 2

// Tells tells whether it is on us to say so to an old life: few do, the same ones by every view, and not all the time.
func (t *Table) Tells(id ID, now time.Duration) bool {
	if at, told := t.tolds[id]; told && now-at < t.told.Settle {
		return false
	}
	mine, before := xxhash.Sum64String(string(t.self.Name)+"\x00"+id.String()), 0
	for m := range t.view.All() {
		if m.State.Here() && xxhash.Sum64String(string(m.Name)+"\x00"+id.String()) < mine {
			if before++; before >= tellers {
				return false
			}
		}
	}
	t.tolds[id] = now
	return true
}
