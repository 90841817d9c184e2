// Package authz decides who may do what, how often and how much at once. It is pure: values in, values out; the time is
// an argument. A Book says who may; it never changes once it is made. A Gate keeps the rates and counts.
package authz

import (
	"fmt"
	"slices"
	"strings"
	"time"

	"lanewheel/admission"
)

// Identity is an identity: what a caller proved to be. It begins with its kind and a colon: uri:, dns: and subject: come from a
// certificate, token: from a token's subject.
type Identity string

// RoleName is the name of a role.
type RoleName string

// wildcard stands in a list for all there are.
const wildcard = "*"

// Denial is why an op is denied, in one word; empty if it is not.
type Denial string

// Reasons that are the rights' own. Others come from what proves an identity.
const (
	noIdentity    Denial = "no-identity" // none was brought, and the file gives callers without one no role
	unmapped      Denial = "unmapped"    // the identity is proven, but the file knows no tenant or role for it
	wrongTenant   Denial = "tenant"      // the op claims a tenant that is not the identity's and in none of its roles
	wrongClass    Denial = "type"        // no role has the op type
	noWriteAccess Denial = "write"       // a role has the type, but only for reads
	noReadAccess  Denial = "read"        // a role has the type, but only for writes
)

// Role is a set of rights. Several roles add up.
type Role struct {
	Name          RoleName
	Tenants       []admission.TenantID // beside the identity's own
	Classes       []admission.Class
	CanRead       bool
	CanWrite      bool
	RatePerSecond float64 // ops a second of one identity; 0 is no bound
	Burst         float64 // ops that may come at once, 1 or more where there is a rate
	MaxInFlight   int     // ops of one identity in hand at a time; 0 is no bound
}

func (r *Role) allowsTenant(tenant admission.TenantID) bool {
	return slices.Contains(r.Tenants, tenant) || slices.Contains(r.Tenants, wildcard)
}

func (r *Role) allowsClass(class admission.Class) bool {
	return slices.Contains(r.Classes, class) || slices.Contains(r.Classes, wildcard)
}

// Binding maps identities to a tenant and roles.
type Binding struct {
	Name     string
	Patterns []string // names of identities; a * at the end stands for any rest
	Tenant   admission.TenantID
	Roles    []RoleName
}

// Principal is a caller whose identity is known, with the rights of the Book that made it.
type Principal struct {
	Identity Identity
	tenant   admission.TenantID
	roles    []*Role
}

// Request is what an op wants to do.
type Request struct {
	Class  admission.Class
	Tenant admission.TenantID // empty where it claims none
	Write  bool               // by the op's own account
}

// Policy is who may do what.
type Policy struct {
	roles        map[RoleName]*Role
	bindings     []Binding
	exact        map[Identity]int // the caller that names it whole
	prefixes     []prefix         // the longest first
	writeClasses map[admission.Class]bool
	anonymous    []*Role
}

type prefix struct {
	text    string
	binding int
}

// NewPolicy makes a book, or tells what is wrong with it. writes are the op types that change something whatever an op says of
// itself; anonymous are the roles of callers without an identity.
func NewPolicy(roles []Role, bindings []Binding, writeClasses []admission.Class, anonymous []RoleName) (*Policy, error) {
	policy := &Policy{roles: map[RoleName]*Role{}, bindings: bindings, exact: map[Identity]int{}, writeClasses: map[admission.Class]bool{}}
	for i := range roles {
		if policy.roles[roles[i].Name] != nil {
			return nil, fmt.Errorf("role %q stands twice", roles[i].Name)
		}
		policy.roles[roles[i].Name] = &roles[i]
	}
	for i, binding := range bindings {
		for _, name := range binding.Roles {
			if policy.roles[name] == nil {
				return nil, fmt.Errorf("caller %q: there is no role %q", binding.Name, name)
			}
		}
		for _, pattern := range binding.Patterns {
			if kind, value, ok := strings.Cut(pattern, ":"); !ok || value == "" ||
				!slices.Contains([]string{"uri", "dns", "subject", "token"}, kind) {
				return nil, fmt.Errorf("caller %q: %q must begin with uri:, dns:, subject: or token:, and go on", binding.Name, pattern)
			}
			if beginning, isPrefix := strings.CutSuffix(pattern, "*"); isPrefix {
				if slices.ContainsFunc(policy.prefixes, func(s prefix) bool { return s.text == beginning }) {
					return nil, fmt.Errorf("caller %q: %q is another caller's too", binding.Name, pattern)
				}
				policy.prefixes = append(policy.prefixes, prefix{beginning, i})
				continue
			}
			if _, duplicate := policy.exact[Identity(pattern)]; duplicate {
				return nil, fmt.Errorf("caller %q: %q is another caller's too", binding.Name, pattern)
			}
			policy.exact[Identity(pattern)] = i
		}
	}
	// The longest start says most of whom it means.
	slices.SortStableFunc(policy.prefixes, func(x, y prefix) int { return len(y.text) - len(x.text) })
	for _, class := range writeClasses {
		policy.writeClasses[class] = true
	}
	for _, name := range anonymous {
		if policy.roles[name] == nil {
			return nil, fmt.Errorf("callers without an identity: there is no role %q", name)
		}
		policy.anonymous = append(policy.anonymous, policy.roles[name])
	}
	return policy, nil
}

// Anonymous is the caller that proved nothing.
func (b *Policy) Anonymous() (Principal, Denial) {
	if len(b.anonymous) == 0 {
		return Principal{}, noIdentity
	}
	return Principal{roles: b.anonymous}, ""
}

// Resolve maps an identity. names are all that the caller proved to be, the first that the book knows counts, and a whole name
// before a start. tenant and roles are what a token says beside that, if it says so; then no caller has to be in the book,
// and what the book says of one goes before. Roles that the book does not know give no rights.
func (b *Policy) Resolve(identities []Identity, tenant admission.TenantID, roles []RoleName) (Principal, Denial) {
	if len(identities) == 0 {
		return Principal{}, noIdentity
	}
	if i, identity := b.findBinding(identities); i >= 0 {
		binding := b.bindings[i]
		principal := Principal{Identity: identity, tenant: binding.Tenant}
		for _, roleName := range binding.Roles {
			principal.roles = append(principal.roles, b.roles[roleName])
		}
		return principal, ""
	}
	principal := Principal{Identity: identities[0], tenant: tenant}
	for _, roleName := range roles {
		if role := b.roles[roleName]; role != nil && !slices.Contains(principal.roles, role) {
			principal.roles = append(principal.roles, role)
		}
	}
	if len(principal.roles) == 0 {
		return principal, unmapped
	}
	return principal, ""
}

func (b *Policy) findBinding(identities []Identity) (int, Identity) {
	for _, identity := range identities {
		if i, known := b.exact[identity]; known {
			return i, identity
		}
	}
	for _, identity := range identities {
		for _, candidate := range b.prefixes {
			if strings.HasPrefix(string(identity), candidate.text) {
				return candidate.binding, identity
			}
		}
	}
	return -1, ""
}

// Authorize tells whether a caller may do what it asks, by which of its roles, and for which tenant.
// Danger: a write that says of itself that it is a read. What the file lists as writes is one whatever the op says.
func (b *Policy) Authorize(principal *Principal, request Request) (roles []*Role, tenant admission.TenantID, denial Denial) {
	write := request.Write || b.writeClasses[request.Class]
	tenant = request.Tenant
	if tenant == "" {
		tenant = principal.tenant
	}
	denial = wrongTenant
	for _, role := range principal.roles {
		if tenant != principal.tenant && !role.allowsTenant(tenant) {
			continue
		}
		if denial == wrongTenant {
			denial = wrongClass
		}
		if !role.allowsClass(request.Class) {
			continue
		}
		if write && role.CanWrite || !write && role.CanRead {
			roles = append(roles, role)
		} else if write {
			denial = noWriteAccess
		} else {
			denial = noReadAccess
		}
	}
	if len(roles) > 0 {
		denial = ""
	}
	return roles, tenant, denial
}

// RateLimiter keeps what identities have used of their rates, and how many of their ops are in hand.
type RateLimiter struct {
	maxEntries    int // entries at a time
	entries       map[usageKey]*usage
	evictionOrder []usageKey // in the order in which they are looked at to make room
	evictionHand  int
}

// usageKey is one identity under one role: each role's bounds count for themselves.
type usageKey struct {
	identity Identity
	role     RoleName
}

type usage struct {
	tokens    float64       // of the bucket, in ops
	filledAt  time.Duration // when that was so
	rate      float64       // as last told, to know when the bucket is full
	burst     float64
	inFlight  int
	durations [4]time.Duration // the last ops' time in hand; a handful shows about when one ends
	finished  int
}

// newRateLimiter keeps at most so many entries, one for each identity and role that uses a bound.
func newRateLimiter(maxEntries int) *RateLimiter {
	return &RateLimiter{maxEntries: max(1, maxEntries), entries: map[usageKey]*usage{}}
}

// Resize gives a gate for so many entries that goes on with what this one keeps; on a nil one, a new gate.
func (g *RateLimiter) Resize(maxEntries int) *RateLimiter {
	if g == nil {
		return newRateLimiter(maxEntries)
	}
	g.maxEntries = max(1, maxEntries)
	return g
}

// Permission is one op let in by a gate, to be given back.
type Permission struct {
	key       usageKey
	grantedAt time.Duration
	counted   bool
}

// MinRetryAfter is the least time that whoever is beyond a bound is told to stay away; a client's timers are no finer.
const MinRetryAfter = time.Millisecond

// fullRetryAfter is for how long whoever finds no entry is told to stay away: entries fall free as buckets fill, within seconds.
const fullRetryAfter = time.Second

// Acquire lets an op in by the first of its roles that has room, or tells when to come back.
func (g *RateLimiter) Acquire(now time.Duration, principal *Principal, roles []*Role) (Permission, time.Duration, bool) {
	retryAfter := time.Duration(-1)
	for _, role := range roles {
		if role.RatePerSecond <= 0 && role.MaxInFlight <= 0 {
			return Permission{}, 0, true
		}
		key := usageKey{principal.Identity, role.Name}
		entry := g.entries[key]
		if entry == nil {
			if !g.makeRoom(now) {
				retryAfter = earlier(retryAfter, fullRetryAfter)
				continue
			}
			entry = &usage{tokens: role.Burst, filledAt: now}
			g.entries[key] = entry
			g.evictionOrder = append(g.evictionOrder, key)
		}
		entry.refill(now, role)
		switch {
		case role.MaxInFlight > 0 && entry.inFlight >= role.MaxInFlight:
			retryAfter = earlier(retryAfter, entry.averageDuration()/time.Duration(entry.inFlight))
		case role.RatePerSecond > 0 && entry.tokens < 1:
			retryAfter = earlier(retryAfter, time.Duration((1-entry.tokens)/role.RatePerSecond*float64(time.Second)))
		default:
			if role.RatePerSecond > 0 {
				entry.tokens--
			}
			entry.inFlight++
			return Permission{key: key, grantedAt: now, counted: true}, 0, true
		}
	}
	return Permission{}, max(retryAfter, MinRetryAfter), false
}

func earlier(a, b time.Duration) time.Duration {
	if a < 0 {
		return b
	}
	return min(a, b)
}

// Release takes a pass back: its op is no longer in hand.
func (g *RateLimiter) Release(now time.Duration, permission *Permission) {
	if !permission.counted {
		return
	}
	permission.counted = false
	if entry := g.entries[permission.key]; entry != nil && entry.inFlight > 0 {
		entry.inFlight--
		entry.durations[entry.finished%len(entry.durations)] = now - permission.grantedAt
		entry.finished++
	}
}

// refill brings a bucket up to now by the role as it is told now. Danger: a clock that stands or steps back; time is the
// program's own, and less than nothing fills nothing.
func (e *usage) refill(now time.Duration, role *Role) {
	if role.RatePerSecond != e.rate || role.Burst != e.burst { // told anew: what was used stays used
		if e.burst > 0 {
			e.tokens += role.Burst - e.burst
		} else if e.rate == 0 {
			e.tokens = role.Burst
		}
		e.rate, e.burst = role.RatePerSecond, role.Burst
	}
	e.tokens = min(role.Burst, e.tokens+max(0, (now-e.filledAt).Seconds())*role.RatePerSecond)
	e.filledAt = max(e.filledAt, now)
}

// averageDuration is how long an op of this entry is about in hand.
func (e *usage) averageDuration() time.Duration {
	n := min(e.finished, len(e.durations))
	if n == 0 {
		return 100 * time.Millisecond // nothing is known; an op of a fraction of a second
	}
	var sum time.Duration
	for _, duration := range e.durations[:n] {
		sum += duration
	}
	return sum / time.Duration(n)
}

// idle tells whether forgetting the entry changes nothing: a new one would be like it.
func (e *usage) idle(now time.Duration) bool {
	return e.inFlight == 0 && (e.rate <= 0 || e.tokens+(now-e.filledAt).Seconds()*e.rate >= e.burst)
}

// Each entry that wants room has a few others looked at: two, so that the hand goes round faster than the table fills, and
// more when it is full, but never so many that the loop feels it.
const evictionScan, evictionScanFull = 2, 64

// makeRoom makes room for one more entry. Danger: a table that grows with each identity ever seen. What is as good as new is
// forgotten, a few looked at each time; if all are in use, the newcomer has to wait.
func (g *RateLimiter) makeRoom(now time.Duration) bool {
	for n := 0; len(g.evictionOrder) > 0 && n < evictionScanFull && (n < evictionScan || len(g.entries) >= g.maxEntries); n++ {
		g.evictionHand %= len(g.evictionOrder)
		if key := g.evictionOrder[g.evictionHand]; g.entries[key].idle(now) {
			delete(g.entries, key)
			last := len(g.evictionOrder) - 1
			g.evictionOrder[g.evictionHand] = g.evictionOrder[last]
			g.evictionOrder = g.evictionOrder[:last]
		} else {
			g.evictionHand++
		}
	}
	return len(g.entries) < g.maxEntries
}

// Len is how many entries there are.
func (g *RateLimiter) Len() int { return len(g.entries) }

// inFlight is how many ops of an identity are in hand under a role.
func (g *RateLimiter) inFlight(identity Identity, role RoleName) int {
	if entry := g.entries[usageKey{identity, role}]; entry != nil {
		return entry.inFlight
	}
	return 0
}
