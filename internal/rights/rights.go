// Package rights decides who may do what, how often and how much at once. It is pure: values in, values out; the time is
// an argument. A Book says who may; it never changes once it is made. A Gate keeps the rates and counts.
package rights

import (
	"fmt"
	"slices"
	"strings"
	"time"

	"lanewheel/choice"
)

// Name is an identity: what a caller proved to be. It begins with its kind and a colon: uri:, dns: and subject: come from a
// certificate, token: from a token's subject.
type Name string

// RoleName is the name of a role.
type RoleName string

// Every stands in a list for all there are.
const Every = "*"

// Reason is why an op is denied, in one word; empty if it is not.
type Reason string

// Reasons that are the rights' own. Others come from what proves an identity.
const (
	NoIdentity  Reason = "no-identity" // none was brought, and the file gives callers without one no role
	Unmapped    Reason = "unmapped"    // the identity is proven, but the file knows no tenant or role for it
	WrongTenant Reason = "tenant"      // the op claims a tenant that is not the identity's and in none of its roles
	WrongType   Reason = "type"        // no role has the op type
	NoWrites    Reason = "write"       // a role has the type, but only for reads
	NoReads     Reason = "read"        // a role has the type, but only for writes
)

// Role is a set of rights. Several roles add up.
type Role struct {
	Name    RoleName
	Tenants []choice.TenantID // beside the identity's own
	Types   []choice.Class
	Reads   bool
	Writes  bool
	Rate    float64 // ops a second of one identity; 0 is no bound
	Burst   float64 // ops that may come at once, 1 or more where there is a rate
	Open    int     // ops of one identity in hand at a time; 0 is no bound
}

func (r *Role) tenant(t choice.TenantID) bool {
	return slices.Contains(r.Tenants, t) || slices.Contains(r.Tenants, Every)
}

func (r *Role) kind(t choice.Class) bool {
	return slices.Contains(r.Types, t) || slices.Contains(r.Types, Every)
}

// Caller maps identities to a tenant and roles.
type Caller struct {
	Title  string
	Match  []string // names of identities; a * at the end stands for any rest
	Tenant choice.TenantID
	Roles  []RoleName
}

// Who is a caller whose identity is known, with the rights of the Book that made it.
type Who struct {
	Name   Name
	Tenant choice.TenantID
	roles  []*Role
}

// Ask is what an op wants to do.
type Ask struct {
	Type   choice.Class
	Tenant choice.TenantID // empty where it claims none
	Write  bool            // by the op's own account
}

// Book is who may do what.
type Book struct {
	roles     map[RoleName]*Role
	callers   []Caller
	exact     map[Name]int // the caller that names it whole
	starts    []start      // the longest first
	writes    map[choice.Class]bool
	anonymous []*Role
}

type start struct {
	with   string
	caller int
}

// NewBook makes a book, or tells what is wrong with it. writes are the op types that change something whatever an op says of
// itself; anonymous are the roles of callers without an identity.
func NewBook(roles []Role, callers []Caller, writes []choice.Class, anonymous []RoleName) (*Book, error) {
	b := &Book{roles: map[RoleName]*Role{}, callers: callers, exact: map[Name]int{}, writes: map[choice.Class]bool{}}
	for i := range roles {
		if b.roles[roles[i].Name] != nil {
			return nil, fmt.Errorf("role %q stands twice", roles[i].Name)
		}
		b.roles[roles[i].Name] = &roles[i]
	}
	for i, c := range callers {
		for _, name := range c.Roles {
			if b.roles[name] == nil {
				return nil, fmt.Errorf("caller %q: there is no role %q", c.Title, name)
			}
		}
		for _, match := range c.Match {
			if kind, rest, is := strings.Cut(match, ":"); !is || rest == "" ||
				!slices.Contains([]string{"uri", "dns", "subject", "token"}, kind) {
				return nil, fmt.Errorf("caller %q: %q must begin with uri:, dns:, subject: or token:, and go on", c.Title, match)
			}
			if with, open := strings.CutSuffix(match, "*"); open {
				if slices.ContainsFunc(b.starts, func(s start) bool { return s.with == with }) {
					return nil, fmt.Errorf("caller %q: %q is another caller's too", c.Title, match)
				}
				b.starts = append(b.starts, start{with, i})
				continue
			}
			if _, twice := b.exact[Name(match)]; twice {
				return nil, fmt.Errorf("caller %q: %q is another caller's too", c.Title, match)
			}
			b.exact[Name(match)] = i
		}
	}
	// The longest start says most of whom it means.
	slices.SortStableFunc(b.starts, func(x, y start) int { return len(y.with) - len(x.with) })
	for _, t := range writes {
		b.writes[t] = true
	}
	for _, name := range anonymous {
		if b.roles[name] == nil {
			return nil, fmt.Errorf("callers without an identity: there is no role %q", name)
		}
		b.anonymous = append(b.anonymous, b.roles[name])
	}
	return b, nil
}

// Anonymous is the caller that proved nothing.
func (b *Book) Anonymous() (Who, Reason) {
	if len(b.anonymous) == 0 {
		return Who{}, NoIdentity
	}
	return Who{roles: b.anonymous}, ""
}

// Who maps an identity. names are all that the caller proved to be, the first that the book knows counts, and a whole name
// before a start. tenant and roles are what a token says beside that, if it says so; then no caller has to be in the book,
// and what the book says of one goes before. Roles that the book does not know give no rights.
func (b *Book) Who(names []Name, tenant choice.TenantID, roles []RoleName) (Who, Reason) {
	if len(names) == 0 {
		return Who{}, NoIdentity
	}
	if i, name := b.find(names); i >= 0 {
		c := b.callers[i]
		w := Who{Name: name, Tenant: c.Tenant}
		for _, r := range c.Roles {
			w.roles = append(w.roles, b.roles[r])
		}
		return w, ""
	}
	w := Who{Name: names[0], Tenant: tenant}
	for _, r := range roles {
		if role := b.roles[r]; role != nil && !slices.Contains(w.roles, role) {
			w.roles = append(w.roles, role)
		}
	}
	if len(w.roles) == 0 {
		return w, Unmapped
	}
	return w, ""
}

func (b *Book) find(names []Name) (int, Name) {
	for _, name := range names {
		if i, known := b.exact[name]; known {
			return i, name
		}
	}
	for _, name := range names {
		for _, s := range b.starts {
			if strings.HasPrefix(string(name), s.with) {
				return s.caller, name
			}
		}
	}
	return -1, ""
}

// May tells whether a caller may do what it asks, by which of its roles, and for which tenant.
// Danger: a write that says of itself that it is a read. What the file lists as writes is one whatever the op says.
func (b *Book) May(w *Who, a Ask) (roles []*Role, tenant choice.TenantID, why Reason) {
	write := a.Write || b.writes[a.Type]
	tenant = a.Tenant
	if tenant == "" {
		tenant = w.Tenant
	}
	why = WrongTenant
	for _, r := range w.roles {
		if tenant != w.Tenant && !r.tenant(tenant) {
			continue
		}
		if why == WrongTenant {
			why = WrongType
		}
		if !r.kind(a.Type) {
			continue
		}
		if write && r.Writes || !write && r.Reads {
			roles = append(roles, r)
		} else if write {
			why = NoWrites
		} else {
			why = NoReads
		}
	}
	if len(roles) > 0 {
		why = ""
	}
	return roles, tenant, why
}

// Gate keeps what identities have used of their rates, and how many of their ops are in hand.
type Gate struct {
	most  int // entries at a time
	table map[use]*used
	clock []use // in the order in which they are looked at to make room
	hand  int
}

// use is one identity under one role: each role's bounds count for themselves.
type use struct {
	name Name
	role RoleName
}

type used struct {
	level float64       // of the bucket, in ops
	since time.Duration // when that was so
	rate  float64       // as last told, to know when the bucket is full
	burst float64
	open  int
	took  [4]time.Duration // the last ops' time in hand; a handful shows about when one ends
	ended int
}

// NewGate keeps at most so many entries, one for each identity and role that uses a bound.
func NewGate(most int) *Gate { return &Gate{most: max(1, most), table: map[use]*used{}} }

// Resize gives a gate for so many entries that goes on with what this one keeps; on a nil one, a new gate.
func (g *Gate) Resize(most int) *Gate {
	if g == nil {
		return NewGate(most)
	}
	g.most = max(1, most)
	return g
}

// Pass is one op let in by a gate, to be given back.
type Pass struct {
	of    use
	since time.Duration
	held  bool
}

// Soonest is the least time that whoever is beyond a bound is told to stay away; a client's timers are no finer.
const Soonest = time.Millisecond

// crowded is for how long whoever finds no entry is told to stay away: entries fall free as buckets fill, within seconds.
const crowded = time.Second

// Take lets an op in by the first of its roles that has room, or tells when to come back.
func (g *Gate) Take(now time.Duration, w *Who, roles []*Role) (Pass, time.Duration, bool) {
	back := time.Duration(-1)
	for _, r := range roles {
		if r.Rate <= 0 && r.Open <= 0 {
			return Pass{}, 0, true
		}
		u := use{w.Name, r.Name}
		e := g.table[u]
		if e == nil {
			if !g.room(now) {
				back = sooner(back, crowded)
				continue
			}
			e = &used{level: r.Burst, since: now}
			g.table[u] = e
			g.clock = append(g.clock, u)
		}
		e.fill(now, r)
		switch {
		case r.Open > 0 && e.open >= r.Open:
			back = sooner(back, e.usual()/time.Duration(e.open))
		case r.Rate > 0 && e.level < 1:
			back = sooner(back, time.Duration((1-e.level)/r.Rate*float64(time.Second)))
		default:
			if r.Rate > 0 {
				e.level--
			}
			e.open++
			return Pass{of: u, since: now, held: true}, 0, true
		}
	}
	return Pass{}, max(back, Soonest), false
}

func sooner(a, b time.Duration) time.Duration {
	if a < 0 {
		return b
	}
	return min(a, b)
}

// Give takes a pass back: its op is no longer in hand.
func (g *Gate) Give(now time.Duration, p *Pass) {
	if !p.held {
		return
	}
	p.held = false
	if e := g.table[p.of]; e != nil && e.open > 0 {
		e.open--
		e.took[e.ended%len(e.took)] = now - p.since
		e.ended++
	}
}

// fill brings a bucket up to now by the role as it is told now. Danger: a clock that stands or steps back; time is the
// program's own, and less than nothing fills nothing.
func (e *used) fill(now time.Duration, r *Role) {
	if r.Rate != e.rate || r.Burst != e.burst { // told anew: what was used stays used
		if e.burst > 0 {
			e.level += r.Burst - e.burst
		} else if e.rate == 0 {
			e.level = r.Burst
		}
		e.rate, e.burst = r.Rate, r.Burst
	}
	e.level = min(r.Burst, e.level+max(0, (now-e.since).Seconds())*r.Rate)
	e.since = max(e.since, now)
}

// usual is how long an op of this entry is about in hand.
func (e *used) usual() time.Duration {
	n := min(e.ended, len(e.took))
	if n == 0 {
		return 100 * time.Millisecond // nothing is known; an op of a fraction of a second
	}
	var sum time.Duration
	for _, t := range e.took[:n] {
		sum += t
	}
	return sum / time.Duration(n)
}

// idle tells whether forgetting the entry changes nothing: a new one would be like it.
func (e *used) idle(now time.Duration) bool {
	return e.open == 0 && (e.rate <= 0 || e.level+(now-e.since).Seconds()*e.rate >= e.burst)
}

// Each entry that wants room has a few others looked at: two, so that the hand goes round faster than the table fills, and
// more when it is full, but never so many that the loop feels it.
const looks, looksFull = 2, 64

// room makes room for one more entry. Danger: a table that grows with each identity ever seen. What is as good as new is
// forgotten, a few looked at each time; if all are in use, the newcomer has to wait.
func (g *Gate) room(now time.Duration) bool {
	for n := 0; len(g.clock) > 0 && n < looksFull && (n < looks || len(g.table) >= g.most); n++ {
		g.hand %= len(g.clock)
		if u := g.clock[g.hand]; g.table[u].idle(now) {
			delete(g.table, u)
			last := len(g.clock) - 1
			g.clock[g.hand] = g.clock[last]
			g.clock = g.clock[:last]
		} else {
			g.hand++
		}
	}
	return len(g.table) < g.most
}

// Len is how many entries there are.
func (g *Gate) Len() int { return len(g.table) }

// Open is how many ops of an identity are in hand under a role.
func (g *Gate) Open(name Name, role RoleName) int {
	if e := g.table[use{name, role}]; e != nil {
		return e.open
	}
	return 0
}
