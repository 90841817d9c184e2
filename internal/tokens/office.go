package tokens

import (
	"crypto"
	"crypto/sha256"
	"time"

	"lanewheel/internal/keyring"
	"lanewheel/internal/rights"
)

// Bounds are what an Office may use. All come from the operator's file.
type Bounds struct {
	Remembered int           // good tokens, and as many bad ones
	Waiting    int           // ops that wait for a verdict at a time
	Share      float64       // of a core that checking may take
	Once       int           // ids of single use that are remembered
	Every      time.Duration // between two looks at the folder for unknown keys
}

// Digest is by what a token is known again.
type Digest [sha256.Size]byte

// Entry is a good token that is remembered.
type Entry struct {
	Claims
	digest     Digest
	generation uint64        // of keys and revocations for which it was looked at last
	key        *keyring.Key  // as it was in force then
	until      time.Duration // by the program's own clock, whatever the wall clock does
	used       bool          // since the hand last passed
}

// bad is a token that proved nothing.
type bad struct {
	why        rights.Denial
	generation uint64
	until      time.Duration
}

// Office is all that is known of tokens. It belongs to the owner loop, which asks it for each op; what it wants done it
// tells, and the check itself is made beside the loop.
type Office struct {
	Ring    *keyring.Ring
	policy  *Policy
	revoked *Revocations
	bounds  Bounds

	generation uint64 // counts changes of keys, policy and revocations
	good       map[Digest]*Entry
	clock      []*Entry // of good, in the order of the hand
	hand       int
	bad        map[Digest]bad
	badOrder   []Digest
	budget     budget
	once       once

	pending map[Digest]*pending
	waiting int
	checks  int        // asked for and not back
	seeking []*pending // for the look that is under way
	// overtaken tells that the keys were replaced since that look was begun.
	overtaken bool
}

// pending is a token whose check is asked for or under way, with all that wait for it.
type pending struct {
	raw    string
	digest Digest
	began  time.Duration
	sought bool // a look at the folder was made for it
	key    keyring.KeyID
	waits  []Waiter
}

// patience is for how long an op waits for the verdict on its token: some looks at a folder, and a part of any target latency.
const patience = 250 * time.Millisecond

// Waiter is handed the verdict: an entry, or a reason, or, with neither, the time after which to come again.
type Waiter func(e *Entry, why rights.Denial, after time.Duration)

// Act is what an Office wants done beside the loop.
type Act int

const (
	Nothing Act = iota
	Check       // the token: hand the result to Checked
	Look        // at the folder: hand the set to Looked
)

// NewOffice opens with keys, a policy and revocations that were checked before.
func NewOffice(set *keyring.Set, p *Policy, r *Revocations, b Bounds) *Office {
	return &Office{Ring: keyring.NewRing(set, b.Every), policy: p, revoked: r, bounds: b, generation: 1,
		good: map[Digest]*Entry{}, bad: map[Digest]bad{}, pending: map[Digest]*pending{},
		budget: newBudget(b.Share), once: newOnce(b.Once)}
}

// Replace puts what was read anew in force. What is remembered is looked at again when it is next used.
func (o *Office) Replace(set *keyring.Set, p *Policy, r *Revocations, b Bounds) {
	o.overtaken = o.Ring.Looking()
	o.Ring.Replace(set)
	if *p != *o.policy { // what was checked by another policy is checked again
		clear(o.good)
		o.clock = nil
	}
	o.policy, o.revoked, o.bounds = p, r, b
	o.budget.share = b.Share
	o.once.most = b.Once
	o.generation++
}

// Policy is the one in force.
func (o *Office) Policy() *Policy { return o.policy }

// Know gives a token's entry if it is remembered, or why it proves nothing if that is known. Otherwise known is false and the
// caller is to Ask.
func (o *Office) Know(now time.Duration, wall time.Time, raw string) (e *Entry, why rights.Denial, known bool) {
	if len(raw) > o.policy.Longest {
		return nil, TooLong, true
	}
	d := Digest(sha256.Sum256([]byte(raw)))
	if e := o.good[d]; e != nil {
		if why, sure := o.still(now, wall, e); sure {
			return e, why, true
		}
		o.forget(e)
		return nil, "", false
	}
	if b, is := o.bad[d]; is && b.generation == o.generation && now < b.until {
		return nil, b.why, true
	}
	return nil, "", false
}

// Still tells whether a remembered entry counts now; not sure means that it has to be checked again.
// It is looked at with every op, and costs some comparisons while nothing has changed.
func (o *Office) Still(now time.Duration, wall time.Time, e *Entry) (why rights.Denial, sure bool) {
	if o.good[e.digest] != e {
		return "", false
	}
	return o.still(now, wall, e)
}

func (o *Office) still(now time.Duration, wall time.Time, e *Entry) (rights.Denial, bool) {
	e.used = true
	if e.generation != o.generation {
		key := o.Ring.Set().Find(e.Key)
		if key == nil {
			_, why := o.Ring.Find(e.Key, wall)
			return why, why != keyring.Unknown
		}
		if !same(key, e.key) { // another key under the old id proves nothing of this token
			return "", false
		}
		if why := key.At(wall); why != "" {
			return why, true
		}
		if o.revoked.Has(&e.Claims) {
			return Revoked, true
		}
		e.key, e.generation = key, o.generation
	}
	if why := e.key.At(wall); why != "" {
		return why, true
	}
	// Danger: a wall clock that steps back would let an expired token live on.
	if now >= e.until {
		return Expired, true
	}
	return e.At(wall, o.policy), true
}

func same(a, b *keyring.Key) bool {
	key, is := a.Public.(interface{ Equal(crypto.PublicKey) bool })
	return is && a.Algorithm == b.Algorithm && key.Equal(b.Public)
}

// Ask has a token checked that is not known. done is called once, now or when the verdict is there. suspect tells that the
// connection has brought tokens that prove nothing. The act, if any, is for the caller to see to.
// Danger: forged tokens that take all the time there is. Checks have a share of a core, half of it for those who have
// brought nothing bad yet, and what finds no time or room is told when to come again.
func (o *Office) Ask(now time.Duration, raw string, suspect bool, done Waiter) (Act, string) {
	d := Digest(sha256.Sum256([]byte(raw)))
	if p := o.pending[d]; p != nil {
		if o.waiting >= o.bounds.Waiting {
			done(nil, "", o.budget.soonest(now, suspect))
			return Nothing, ""
		}
		p.waits = append(p.waits, done)
		o.waiting++
		return Nothing, ""
	}
	if after := o.budget.wait(now, suspect); after > 0 || o.waiting >= o.bounds.Waiting || o.checks >= o.bounds.Waiting {
		done(nil, "", max(after, o.budget.soonest(now, suspect)))
		return Nothing, ""
	}
	o.pending[d] = &pending{raw: raw, digest: d, began: now, waits: []Waiter{done}}
	o.waiting++
	o.checks++
	return Check, raw
}

// Result is what a check came to.
type Result struct {
	Raw     string
	Suspect bool // as it was asked for
	Claims  Claims
	Why     rights.Denial
	Took    time.Duration
	Set     *keyring.Set // by which it was checked
}

// Checked takes a check's result. It may lead to a look at the folder, or to another check if the keys have changed since.
func (o *Office) Checked(now time.Duration, wall time.Time, r Result) (Act, string) {
	d := Digest(sha256.Sum256([]byte(r.Raw)))
	o.checks--
	o.budget.spend(now, r.Took, r.Suspect)
	p := o.pending[d]
	if p == nil { // nobody waits any more
		p = &pending{raw: r.Raw, digest: d, sought: true}
	}
	if r.Set != o.Ring.Set() {
		if len(p.waits) == 0 {
			return Nothing, ""
		}
		o.checks++
		return Check, p.raw
	}
	if r.Why == keyring.Unknown {
		if _, why := o.Ring.Find(r.Claims.Key, wall); why == keyring.Withdrawn || p.sought {
			r.Why = why
			o.settle(p, nil, r.Why, 0)
			return Nothing, ""
		}
		step, after := o.Ring.Seek(now, r.Claims.Key)
		switch step {
		case keyring.Deny:
			o.settle(p, nil, r.Why, 0)
		case keyring.Later:
			o.settle(p, nil, "", after)
		case keyring.Await:
			o.seeking = append(o.seeking, p)
		case keyring.Look:
			p.sought, p.key = true, r.Claims.Key
			o.seeking = append(o.seeking, p)
			return Look, ""
		}
		return Nothing, ""
	}
	if r.Why != "" {
		if lasting[r.Why] {
			o.noteBad(now, d, r.Why)
		}
		o.settle(p, nil, r.Why, 0)
		return Nothing, ""
	}
	e := &Entry{Claims: r.Claims, digest: d, generation: o.generation, key: o.Ring.Set().Find(r.Claims.Key)}
	e.until = now + max(0, r.Claims.Expiry.Add(o.policy.Leeway).Sub(wall))
	why := e.key.At(wall)
	if why == "" {
		why = e.At(wall, o.policy)
	}
	if why == "" && o.revoked.Has(&e.Claims) {
		why = Revoked
	}
	if why != "" {
		o.settle(p, nil, why, 0)
		return Nothing, ""
	}
	o.remember(e)
	o.settle(p, e, "", 0)
	return Nothing, ""
}

// Looked hears that the look at the folder is over. set is nil if it could not be read; the old one stays then. It gives
// the tokens that are to be checked again.
func (o *Office) Looked(set *keyring.Set) (again []string) {
	if o.overtaken { // Danger: a look begun before the keys were replaced would bring older ones back
		set, o.overtaken = nil, false
	}
	if set != nil && o.Ring.Replace(set) {
		o.generation++
	}
	waits := o.seeking
	o.seeking = nil
	var ids []keyring.KeyID
	for _, p := range waits {
		if p.sought {
			ids = append(ids, p.key)
		}
		if o.pending[p.digest] == p {
			again = append(again, p.raw)
			o.checks++
		}
	}
	o.Ring.Looked(ids)
	return again
}

// Expire gives up what has waited too long, or, with all, everything that waits: told to come again. No answer's due time
// hangs on a disk or on a queue of checks.
func (o *Office) Expire(now time.Duration, all bool) {
	for _, p := range o.pending {
		if all || now-p.began >= patience {
			o.settle(p, nil, "", patience)
		}
	}
}

// settle hands a verdict to all that wait for it.
func (o *Office) settle(p *pending, e *Entry, why rights.Denial, after time.Duration) {
	if o.pending[p.digest] == p {
		delete(o.pending, p.digest)
		o.waiting -= len(p.waits)
	}
	waits := p.waits
	p.waits = nil
	for _, done := range waits {
		done(e, why, after)
	}
}

// Single uses a token up that counts once, and tells whether it was used before, or that no more can be remembered.
func (o *Office) Single(wall time.Time, e *Entry) (rights.Denial, time.Duration) {
	if !o.policy.Single {
		return "", 0
	}
	return o.once.use(wall, e.ID, e.Expiry.Add(o.policy.Leeway))
}

// Waiting is how many ops wait for a verdict.
func (o *Office) Waiting() int { return o.waiting }

// Remembered is how many good and bad tokens are remembered.
func (o *Office) Remembered() (good, bad int) { return len(o.good), len(o.bad) }

// remember keeps an entry; the first that was not used since the hand passed makes room.
func (o *Office) remember(e *Entry) {
	if old := o.good[e.digest]; old != nil {
		o.forget(old)
	}
	for len(o.clock) >= max(1, o.bounds.Remembered) {
		o.hand %= len(o.clock)
		if old := o.clock[o.hand]; old.used && o.good[old.digest] == old {
			old.used = false
			o.hand++
			continue
		}
		o.forgetAt(o.hand)
	}
	o.good[e.digest] = e
	o.clock = append(o.clock, e)
}

func (o *Office) forgetAt(i int) {
	if old := o.clock[i]; o.good[old.digest] == old {
		delete(o.good, old.digest)
	}
	last := len(o.clock) - 1
	o.clock[i], o.clock[last] = o.clock[last], nil
	o.clock = o.clock[:last]
}

// forget leaves an entry to the hand; it is not found any more.
func (o *Office) forget(e *Entry) {
	if o.good[e.digest] == e {
		delete(o.good, e.digest)
	}
}

// badFor is how long a bad token is known as such without another check: a client that brings it again and again does so
// within seconds.
const badFor = 10 * time.Second

// lasting are the reasons that stay true of a token whatever the time. Danger: one that was refused a moment too early
// would stay refused when its time has come.
var lasting = map[rights.Denial]bool{Malformed: true, Algorithm: true, Critical: true, Signature: true, Issuer: true,
	Audience: true, Subject: true, NoID: true}

func (o *Office) noteBad(now time.Duration, d Digest, why rights.Denial) {
	if _, noted := o.bad[d]; !noted {
		o.badOrder = append(o.badOrder, d)
		if len(o.badOrder) > max(1, o.bounds.Remembered) {
			delete(o.bad, o.badOrder[0])
			o.badOrder = o.badOrder[1:]
		}
	}
	o.bad[d] = bad{why, o.generation, now + badFor}
}
