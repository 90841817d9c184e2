// Package identity is the door: it tells who an op's caller is and whether the op may come in. What it decides stands in
// rights, keyring, tokens and certs; here it is put together, and what takes time is done beside the owner loop.
package identity

import (
	"crypto/x509"
	"log/slog"
	"maps"
	"slices"
	"sync/atomic"
	"time"

	"lanewheel/choice"
	"lanewheel/internal/certs"
	"lanewheel/internal/keyring"
	"lanewheel/internal/logline"
	"lanewheel/internal/rights"
	"lanewheel/internal/tokens"
)

// Parts are what an operator's file says of callers, read and checked whole.
type Parts struct {
	Book    *rights.Book
	Entries int            // of rates and counts, at a time
	Trust   *certs.Trust   // nil: no certificates
	Keys    *keyring.Set   // nil: no tokens
	Folder  string         // where the keys are read again
	Policy  *tokens.Policy // of tokens
	Revoked *tokens.Revocations
	Bounds  tokens.Bounds
}

// Badge is what a connection has proved. It belongs to the owner loop.
type Badge struct {
	Proof   *certs.Proof // nil: no certificate
	Told    rights.Name  // who it is by the operator's word, empty if nobody says so
	looked  uint64       // the generation for which the proof was looked at last
	barred  rights.Reason
	suspect bool // it has brought tokens that prove nothing

	token string // the last good one, and what it proves
	entry *tokens.Entry
	who   rights.Who // by the token, else by the proof
	known uint64     // the generation for which who is right, 0 if it is not known
	why   rights.Reason
}

// Ask is an op that wants to come in.
type Ask struct {
	rights.Ask
	Token string
}

// Verdict is what the door says. With neither Why nor After the op may come in, under Tenant.
type Verdict struct {
	Tenant choice.TenantID
	Pass   rights.Pass
	Why    rights.Reason // denied
	After  time.Duration // not now
}

// Door belongs to the owner loop, but for Prove.
type Door struct {
	hand       func(...func())
	clock      func() (now time.Duration, wall time.Time) // of the loop's batch
	parts      Parts
	generation uint64
	trust      atomic.Pointer[certs.Trust] // for handshakes, which are made beside the loop
	gate       *rights.Gate
	office     *tokens.Office
	jobs       chan job
	tally      logline.Sampler[rights.Reason]
	counts     map[rights.Reason]uint64
	admitted   uint64
	later      uint64
	moved      uint64 // admitted, denied and later together when last said
	said       time.Duration
	stopping   bool
}

type job struct {
	raw     string
	suspect bool
	set     *keyring.Set
	policy  *tokens.Policy
}

// New opens a door. hand gives calls to the owner loop, clock is its time.
func New(p Parts, hand func(...func()), clock func() (time.Duration, time.Time)) *Door {
	d := &Door{hand: hand, clock: clock, counts: map[rights.Reason]uint64{}}
	d.Replace(p)
	return d
}

// Replace puts what was read anew in force, whole. Ops that were let in before stay in.
func (d *Door) Replace(p Parts) {
	d.generation++
	if d.gate == nil || p.Entries != d.parts.Entries {
		d.gate = d.gate.Resize(p.Entries)
	}
	switch {
	case p.Keys == nil:
		if d.office != nil {
			d.office.Expire(0, true)
		}
		d.office = nil
	case d.office == nil:
		d.office = tokens.NewOffice(p.Keys, p.Policy, p.Revoked, p.Bounds)
		if d.jobs == nil {
			// Never full: the office asks for no more checks at a time than may wait, and once more for each after a look.
			d.jobs = make(chan job, 4*mostWaiting)
			go check(d.jobs, d.checked)
		}
	default:
		d.office.Replace(p.Keys, p.Policy, p.Revoked, p.Bounds)
	}
	d.parts = p
	d.trust.Store(p.Trust)
}

// mostWaiting bounds what an operator may allow to wait for a verdict.
const mostWaiting = 4096

// check verifies one token after the other, beside the loop.
func check(jobs <-chan job, done func(tokens.Result)) {
	for j := range jobs {
		began := time.Now()
		r := tokens.Result{Raw: j.raw, Suspect: j.suspect, Set: j.set}
		r.Claims, r.Why = tokens.Verify(j.raw, func(id keyring.KeyID) (*keyring.Key, rights.Reason) {
			k := j.set.Find(id)
			if k == nil {
				return nil, keyring.Unknown
			}
			return k, k.At(began)
		}, j.policy)
		r.Took = time.Since(began)
		done(r)
	}
}

func (d *Door) checked(r tokens.Result) {
	d.hand(func() {
		if d.office != nil {
			now, wall := d.clock()
			act, raw := d.office.Checked(now, wall, r)
			d.act(act, raw, r.Suspect)
		}
	})
}

// act sees to what the office wants done.
func (d *Door) act(act tokens.Act, raw string, suspect bool) {
	switch act {
	case tokens.Check:
		d.jobs <- job{raw, suspect, d.office.Ring.Set(), d.office.Policy()}
	case tokens.Look:
		office, folder := d.office, d.parts.Folder
		go func() { // one at a time, a second apart at the least: the ring sees to that
			set, err := keyring.Load(folder)
			if err != nil {
				slog.Warn("keys-kept", "err", err)
			}
			d.hand(func() {
				if d.office == office {
					d.looked(set)
				}
			})
		}()
	}
}

func (d *Door) looked(set *keyring.Set) {
	before := d.office.Ring.Generation()
	again := d.office.Looked(set)
	if d.office.Ring.Generation() != before {
		d.parts.Keys = set
		slog.Info("keys", "keys", len(set.Keys()), "by", "look")
	}
	for _, raw := range again {
		d.act(tokens.Check, raw, false)
	}
}

// Prove follows a client's chain during its handshake. It is called beside the loop.
func (d *Door) Prove(chain []*x509.Certificate) (any, string) {
	t := d.trust.Load()
	if t == nil {
		return nil, string(certs.Untrusted)
	}
	p, why := t.Prove(chain, time.Now())
	if why != "" {
		return nil, string(why)
	}
	return p, ""
}

// RevocationReason tells whether what a connection's certificate proved still counts; a reason bars it for good. It costs a
// comparison while nothing has changed.
func (d *Door) RevocationReason(b *Badge) rights.Reason {
	if b.Proof == nil || b.barred != "" {
		return b.barred
	}
	_, wall := d.clock()
	if b.looked == d.generation && b.Proof.In(wall) {
		return ""
	}
	if d.parts.Trust == nil {
		b.barred = certs.Untrusted
		return b.barred
	}
	b.barred = d.parts.Trust.Still(b.Proof, wall)
	b.looked, b.known = d.generation, 0
	return b.barred
}

// NeedsRecheck tells whether a connection's proof was not looked at since something has changed.
func (d *Door) NeedsRecheck(b *Badge) bool {
	return b.Proof != nil && b.barred == "" && b.looked != d.generation
}

// Enter asks for an op. done is called once, at once if all is known.
func (d *Door) Enter(b *Badge, ask Ask, done func(Verdict)) {
	if why := d.RevocationReason(b); why != "" {
		done(d.deny(b.name(), ask, why))
		return
	}
	if ask.Token == "" {
		d.proven(b)
		done(d.decide(b, nil, &b.who, b.why, ask))
		return
	}
	if d.office == nil { // a token that nobody can check proves nothing, and takes nothing away
		d.proven(b)
		done(d.decide(b, nil, &b.who, b.why, ask))
		return
	}
	now, wall := d.clock()
	if b.entry != nil && b.token == ask.Token {
		if why, sure := d.office.Still(now, wall, b.entry); sure {
			d.carried(b, ask.Token, b.entry)
			done(d.decide(b, b.entry, &b.who, first(why, b.why), ask))
			return
		}
	}
	if e, why, known := d.office.Know(now, wall, ask.Token); known {
		done(d.told(b, ask, e, why, 0))
		return
	}
	if d.stopping {
		d.later++
		done(Verdict{After: rights.Soonest})
		return
	}
	act, raw := d.office.Ask(now, ask.Token, b.suspect, func(e *tokens.Entry, why rights.Reason, after time.Duration) {
		done(d.told(b, ask, e, why, after))
	})
	d.act(act, raw, b.suspect)
}

func first(a, b rights.Reason) rights.Reason {
	if a != "" {
		return a
	}
	return b
}

// told goes on with what is known of a token.
func (d *Door) told(b *Badge, ask Ask, e *tokens.Entry, why rights.Reason, after time.Duration) Verdict {
	if e == nil && why == "" {
		d.later++
		return Verdict{After: max(after, rights.Soonest)}
	}
	if why != "" {
		b.suspect = b.suspect || Forged(why)
		return d.deny("", ask, why)
	}
	if why := d.RevocationReason(b); why != "" { // the certificate may have been taken back while the token was checked
		return d.deny(b.name(), ask, why)
	}
	d.carried(b, ask.Token, e)
	return d.decide(b, e, &b.who, b.why, ask)
}

// proven has b.who be the caller by its certificate alone.
func (d *Door) proven(b *Badge) {
	if b.known == d.generation && b.entry == nil {
		return
	}
	b.known, b.entry, b.token = d.generation, nil, ""
	if b.Told != "" {
		b.who, b.why = d.parts.Book.Who([]rights.Name{b.Told}, "", nil)
		return
	}
	if b.Proof == nil {
		b.who, b.why = d.parts.Book.Anonymous()
		return
	}
	b.who, b.why = d.parts.Book.Who(b.Proof.Names, "", nil)
}

// carried has b.who be the caller by a good token.
func (d *Door) carried(b *Badge, token string, e *tokens.Entry) {
	if b.known == d.generation && b.entry == e {
		return
	}
	b.known, b.entry, b.token = d.generation, e, token
	b.who, b.why = d.parts.Book.Who(e.Names(), e.Tenant, e.Roles)
}

// decide tells whether a known caller may do what it asks, now.
func (d *Door) decide(b *Badge, e *tokens.Entry, w *rights.Who, why rights.Reason, ask Ask) Verdict {
	if why != "" {
		return d.deny(w.Name, ask, why)
	}
	roles, tenant, why := d.parts.Book.May(w, ask.Ask)
	if why != "" {
		return d.deny(w.Name, ask, why)
	}
	now, wall := d.clock()
	if e != nil {
		why, after := d.office.Single(wall, e)
		switch {
		case why != "":
			return d.deny(w.Name, ask, why)
		case after > 0:
			d.later++
			return Verdict{After: after}
		}
	}
	pass, after, in := d.gate.Take(now, w, roles)
	if !in {
		d.later++
		return Verdict{After: after}
	}
	d.admitted++
	return Verdict{Tenant: tenant, Pass: pass}
}

// Give takes a pass back whose op is over.
func (d *Door) Give(p *rights.Pass) {
	now, _ := d.clock()
	d.gate.Give(now, p)
}

// deny counts a denial and leaves its line.
func (d *Door) deny(name rights.Name, ask Ask, why rights.Reason) Verdict {
	d.counts[why]++
	if _, wall := d.clock(); d.tally.Allow(why, wall) {
		slog.Warn("denied", "why", why, "caller", clip(string(name)), "type", clip(string(ask.Type)), "tenant", clip(string(ask.Tenant)))
	}
	return Verdict{Why: why}
}

// clip bounds what a caller can write into the log.
func clip(s string) string { return s[:min(len(s), 128)] }

func (b *Badge) name() rights.Name {
	if b.Proof != nil && len(b.Proof.Names) > 0 {
		return b.Proof.Names[0]
	}
	return b.Told
}

// Forged tells whether a token that is denied so was never good anywhere: whoever brings several is no caller of ours.
func Forged(why rights.Reason) bool {
	switch why {
	case tokens.TooLong, tokens.Malformed, tokens.Algorithm, tokens.Critical, tokens.Signature, tokens.Issuer,
		tokens.Audience, tokens.Subject, keyring.Unknown:
		return true
	}
	return false
}

// often is how often the counters are said while they move.
const often = time.Minute

// Sweep is called some times a second: it gives up what has waited too long, and says what there is to say.
func (d *Door) Sweep() {
	now, wall := d.clock()
	if d.office != nil {
		d.office.Expire(now, false)
	}
	d.tally.FlushSuppressed(wall, func(why rights.Reason, more int) { slog.Warn("denials", "why", why, "more", more) })
	if now-d.said >= often {
		d.said = now
		d.Say()
	}
}

// Say leaves a line with the counters, if they have moved since the last one.
func (d *Door) Say() {
	sum := d.admitted + d.later
	var reasons []any
	for _, why := range slices.Sorted(maps.Keys(d.counts)) {
		sum += d.counts[why]
		reasons = append(reasons, string(why), d.counts[why])
	}
	if sum == d.moved {
		return
	}
	d.moved = sum
	good, bad := 0, 0
	if d.office != nil {
		good, bad = d.office.Remembered()
	}
	slog.Info("callers", append([]any{"admitted", d.admitted, "later", d.later, "tokens", good, "bad_tokens", bad, "rates", d.gate.Len()}, reasons...)...)
}

// Stop gives up all that wait, and lets nothing wait from here on: the instance is leaving, and answers everything now.
func (d *Door) Stop() {
	d.stopping = true
	d.Say()
	if d.office != nil {
		now, _ := d.clock()
		d.office.Expire(now, true)
	}
}
