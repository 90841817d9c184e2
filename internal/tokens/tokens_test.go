package tokens

import (
	"crypto/rsa"
	"crypto/x509"
	"encoding/base64"
	"encoding/pem"
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/go-jose/go-jose/v4"
	"github.com/go-jose/go-jose/v4/jwt"
	"pgregory.net/rapid"

	"lanewheel/internal/authz"
	"lanewheel/internal/keyring"
	_ "lanewheel/internal/rapidtest"
	"lanewheel/internal/setuptest"
)

var (
	start    = time.Unix(1_800_000_000, 0)
	policy   = &Policy{Issuer: "us", Audience: "rota", Leeway: 30 * time.Second, MaxBytes: 2048, TenantClaim: "tenant", RolesClaim: "roles"}
	keyPairs = map[string]*jose.JSONWebKey{}
)

func keyPair(id, algorithm string) *jose.JSONWebKey {
	if keyPairs[id] == nil {
		keyPairs[id] = setuptest.Must(keyring.GenerateKey(algorithm))
		keyPairs[id].KeyID = id
	}
	return keyPairs[id]
}

// publishedSet publishes keys that count from start on; those with a ! are taken back.
func publishedSet(ids ...string) *keyring.KeySet {
	files := map[string][]byte{}
	for _, id := range ids {
		name, back := strings.CutSuffix(id, "!")
		files[name+".json"] = setuptest.Must(keyring.EncodePublic(*keyPair(name, "EdDSA"), start.Add(-time.Hour), start.Add(time.Hour), back))
	}
	return setuptest.Must(keyring.ParseSet(files))
}

func keyFinder(s *keyring.KeySet, wall time.Time) func(keyring.KeyID) (*keyring.Key, authz.Denial) {
	r := keyring.NewKeyring(s, time.Second)
	return func(id keyring.KeyID) (*keyring.Key, authz.Denial) { return r.Find(id, wall) }
}

// claims are those of a good token for an hour; change may change them.
func claims(change func(*jwt.Claims)) jwt.Claims {
	c := jwt.Claims{Issuer: "us", Subject: "depot", Audience: jwt.Audience{"rota"}, ID: "t1",
		NotBefore: jwt.NewNumericDate(start), Expiry: jwt.NewNumericDate(start.Add(time.Minute))}
	if change != nil {
		change(&c)
	}
	return c
}

func signToken(k *jose.JSONWebKey, c jwt.Claims, header map[jose.HeaderKey]any) string {
	o := &jose.SignerOptions{ExtraHeaders: header}
	s := setuptest.Must(jose.NewSigner(jose.SigningKey{Algorithm: jose.SignatureAlgorithm(k.Algorithm), Key: k}, o))
	return setuptest.Must(jwt.Signed(s).Claims(c).Claims(map[string]any{"tenant": "water", "roles": []string{"crew"}}).Serialize())
}

// Each way in which a token proves nothing; the algorithm is the key's, whatever the token says.
func Example_verify() {
	ed, es, rs := keyPair("ed", "EdDSA"), keyPair("es", "ES256"), keyPair("rs", "RS256")
	files := map[string][]byte{}
	for _, k := range []*jose.JSONWebKey{ed, es, rs} {
		files[k.KeyID] = setuptest.Must(keyring.EncodePublic(*k, start, time.Time{}, false))
	}
	keys := setuptest.Must(keyring.ParseSet(files))
	// The public half of an RSA key as the secret of an HMAC; an Ed25519 signature under the id of another kind of key.
	der := setuptest.Must(x509.MarshalPKIXPublicKey(rs.Public().Key.(*rsa.PublicKey)))
	secret := pem.EncodeToMemory(&pem.Block{Type: "PUBLIC KEY", Bytes: der})
	hmac := setuptest.Must(jose.NewSigner(jose.SigningKey{Algorithm: jose.HS256, Key: jose.JSONWebKey{Key: secret, KeyID: "rs"}}, nil))
	posing := *ed
	posing.KeyID = "rs"
	good := signToken(ed, claims(nil), nil)
	parts := strings.Split(good, ".")
	b64 := func(s string) string { return base64.RawURLEncoding.EncodeToString([]byte(s)) }
	show := func(name, raw string) {
		c, why := Verify(raw, keyFinder(keys, start), policy)
		fmt.Printf("%s: %q %s %s %v\n", name, why, c.Subject, c.Tenant, c.Roles)
	}
	show("EdDSA", good)
	show("ES256", signToken(es, claims(nil), nil))
	show("RS256", signToken(rs, claims(nil), nil))
	show("none", b64(`{"alg":"none","kid":"ed"}`)+"."+parts[1]+".")
	show("hmac", setuptest.Must(jwt.Signed(hmac).Claims(claims(nil)).Serialize()))
	show("posing", signToken(&posing, claims(nil), nil))
	show("crit", signToken(ed, claims(nil), map[jose.HeaderKey]any{"crit": []string{"b64"}, "b64": true}))
	show("forged", parts[0]+"."+parts[1]+"."+b64(strings.Repeat("x", 64)))
	show("changed", parts[0]+"."+b64(`{"iss":"us","sub":"boss","aud":"rota","exp":1900000000}`)+"."+parts[2])
	show("no key id", b64(`{"alg":"EdDSA"}`)+"."+parts[1]+"."+parts[2])
	show("unknown", b64(`{"alg":"EdDSA","kid":"what"}`)+"."+parts[1]+"."+parts[2])
	show("issuer", signToken(ed, claims(func(c *jwt.Claims) { c.Issuer = "them" }), nil))
	show("audience", signToken(ed, claims(func(c *jwt.Claims) { c.Audience = nil }), nil))
	show("subject", signToken(ed, claims(func(c *jwt.Claims) { c.Subject = "" }), nil))
	show("endless", signToken(ed, claims(func(c *jwt.Claims) { c.Expiry = nil }), nil))
	show("noise", "a.b.c")
	show("long", good+strings.Repeat("A", 2048))
	// Output:
	// EdDSA: "" depot water [crew]
	// ES256: "" depot water [crew]
	// RS256: "" depot water [crew]
	// none: "algorithm"   []
	// hmac: "algorithm"   []
	// posing: "algorithm"   []
	// crit: "critical"   []
	// forged: "signature"   []
	// changed: "signature"   []
	// no key id: "malformed"   []
	// unknown: "unknown-key"   []
	// issuer: "issuer"   []
	// audience: "audience"   []
	// subject: "subject"   []
	// endless: "malformed"   []
	// noise: "malformed"   []
	// long: "too-long"   []
}

var limits = Limits{MaxCached: 16, MaxWaiting: 4, CPUFraction: 0.1, MaxSingleUseIDs: 3, KeyReloadInterval: time.Second}

// testVerifier drives an office as a door would: checks are made at once unless they are held.
type testVerifier struct {
	*Verifier
	now        time.Duration
	wall       time.Time
	published  *keyring.KeySet // what a look finds
	cost       time.Duration
	checks     int
	reloads    int
	held       bool
	heldChecks []string
}

func newTestVerifier(ids ...string) *testVerifier {
	s := publishedSet(ids...)
	return &testVerifier{Verifier: NewVerifier(s, policy, nil, limits), wall: start, published: s}
}

func (d *testVerifier) advance(t time.Duration) { d.now, d.wall = d.now+t, d.wall.Add(t) }

func (d *testVerifier) perform(a Action, raw string) {
	switch a {
	case CheckToken:
		if d.held {
			d.heldChecks = append(d.heldChecks, raw)
			return
		}
		d.check(raw)
	case ReloadKeys:
		d.reloads++
		for _, raw := range d.HandleKeys(d.published) {
			d.perform(CheckToken, raw)
		}
	}
}

func (d *testVerifier) check(raw string) {
	d.checks++
	s := d.Keyring.Set()
	c, why := Verify(raw, func(id keyring.KeyID) (*keyring.Key, authz.Denial) {
		if k := s.Find(id); k != nil {
			return k, k.CheckTime(d.wall)
		}
		return nil, keyring.UnknownKey
	}, d.Policy())
	a, raw := d.HandleResult(d.now, d.wall, CheckResult{Raw: raw, Claims: c, Denial: why, Duration: d.cost, KeySet: s})
	d.perform(a, raw)
}

// ask gives the verdict on a token as text.
func (d *testVerifier) ask(raw string) string {
	say := "waits"
	tell := func(e *CachedToken, why authz.Denial, after time.Duration) {
		switch {
		case why != "":
			say = string(why)
		case e != nil:
			say = "good"
		default:
			say = "later " + after.Round(time.Millisecond).String()
		}
	}
	if e, why, known := d.Lookup(d.now, d.wall, raw); known {
		tell(e, why, 0)
		return say
	}
	d.perform(d.RequestCheck(d.now, raw, false, tell))
	return say
}

// Under an old key until the told moment, and not after, whenever the folder was read; a token that is remembered is not
// checked again until something changes, and then only what has changed.
func Example_cached() {
	d := newTestVerifier("a", "b")
	long := func(id string) string {
		return signToken(keyPair(id, "EdDSA"), claims(func(c *jwt.Claims) { c.Expiry = jwt.NewNumericDate(start.Add(9 * time.Hour)) }), nil)
	}
	a, b := long("a"), long("b")
	fmt.Println(d.ask(a), d.ask(a), d.ask(b), "checks", d.checks)
	d.Reload(publishedSet("a", "b", "c"), policy, nil, limits)
	fmt.Println(d.ask(a), d.ask(b), "checks", d.checks)
	d.advance(time.Hour - time.Nanosecond)
	fmt.Println(d.ask(a))
	d.advance(time.Nanosecond)
	fmt.Println(d.ask(a), "checks", d.checks)
	d = newTestVerifier("a", "b")
	fmt.Println(d.ask(a), d.ask(b))
	d.Reload(publishedSet("a!", "c"), policy, nil, limits)
	fmt.Println(d.ask(a), d.ask(b))
	d = newTestVerifier("a")
	d.ask(a)
	r, _ := ParseRevocations("# taken back\njti t1\n\nsub nobody")
	d.Reload(publishedSet("a"), policy, r, limits)
	fmt.Println(d.ask(a))
	_, line := ParseRevocations("jti x\njti")
	fmt.Println("wrong line", line)
	// Output:
	// good good good checks 2
	// good good checks 2
	// good
	// retired-key checks 2
	// good good
	// withdrawn-key withdrawn-key
	// revoked
	// wrong line 2
}

// Clocks that differ by the leeway and by more; a clock that steps back keeps no remembered token alive.
func Example_clocks() {
	raw := signToken(keyPair("a", "EdDSA"), claims(nil), nil)
	for _, off := range []time.Duration{-31 * time.Second, -30 * time.Second, 0, 90*time.Second - 1, 90 * time.Second} {
		d := newTestVerifier("a")
		d.advance(off)
		d.now = 0
		fmt.Println(off, d.ask(raw))
	}
	d := newTestVerifier("a")
	fmt.Print(d.ask(raw), " ")
	d.advance(2 * time.Minute)
	d.wall = start // an hour's step back would do the same
	fmt.Println(d.ask(raw))
	// Output:
	// -31s early
	// -30s good
	// 0s good
	// 1m29.999999999s good
	// 1m30s expired
	// good expired
}

// A token under a key that is not read yet: one look at the folder finds it. Forged ids lead to a look a second, and a key
// that is published right after one is told when to come again, not denied.
func Example_unknownKey() {
	d := newTestVerifier("a")
	d.published = publishedSet("a", "b")
	fmt.Println(d.ask(signToken(keyPair("b", "EdDSA"), claims(nil), nil)), "looks", d.reloads)
	for i := range 50 {
		raw := signToken(keyPair(fmt.Sprint("x", i), "EdDSA"), claims(nil), nil)
		if said := d.ask(raw); said != "later 1s" {
			fmt.Println(said)
		}
	}
	d.advance(time.Second)
	raw := signToken(keyPair("y", "EdDSA"), claims(nil), nil)
	fmt.Println(d.ask(raw), d.ask(raw), "looks", d.reloads)
	d.published = publishedSet("a", "b", "y")
	d.advance(time.Second)
	fmt.Println(d.ask(raw), "looks", d.reloads)
	// Output:
	// good looks 1
	// unknown-key unknown-key looks 2
	// good looks 3
}

// A look that was begun before the keys were replaced does not bring the older ones back.
func Example_overtakenReload() {
	d := newTestVerifier("a")
	raw := signToken(keyPair("n", "EdDSA"), claims(nil), nil)
	d.held = true
	fmt.Println(d.ask(raw))
	s := d.Keyring.Set()
	act, _ := d.HandleResult(0, start, CheckResult{Raw: raw, Claims: Claims{KeyID: "n"}, Denial: keyring.UnknownKey, KeySet: s})
	old := publishedSet("a")
	d.Reload(publishedSet("a", "n"), policy, nil, limits)
	again := d.HandleKeys(old)
	fmt.Println(act == ReloadKeys, len(again), len(d.Keyring.Set().Keys()))
	// Output:
	// waits
	// true 1 2
}

// A flood of forged tokens takes no more than its share of time; those who have brought nothing bad still get their checks, and
// what is known costs none. What waits has a bound and an end.
func Example_flood() {
	d := newTestVerifier("a")
	d.cost = time.Millisecond
	good := signToken(keyPair("a", "EdDSA"), claims(nil), nil)
	fmt.Println(d.ask(good))
	parts := strings.Split(good, ".")
	turned := 0
	for i := range 100_000 {
		d.advance(10 * time.Microsecond)
		raw := fmt.Sprintf("%s.%s.%s", parts[0], parts[1], base64.RawURLEncoding.EncodeToString(fmt.Appendf(nil, "%064d", i)))
		act, raw := d.RequestCheck(d.now, raw, true, func(e *CachedToken, why authz.Denial, after time.Duration) {
			if why == "" {
				turned++
			}
		})
		if act == CheckToken {
			d.checks++
			a, _ := d.HandleResult(d.now, d.wall, CheckResult{Raw: raw, Suspect: true, Denial: BadSignature, Duration: d.cost, KeySet: d.Keyring.Set()})
			if a != noAction {
				panic(a)
			}
		}
	}
	_, bad := d.CacheSizes()
	fmt.Println("checks", d.checks <= 102, turned > 99_000, "bad", bad <= limits.MaxCached, d.ask(good))
	fresh := signToken(keyPair("a", "EdDSA"), claims(func(c *jwt.Claims) { c.ID = "t2" }), nil)
	fmt.Println(d.ask(fresh))
	d.held = true
	for i := range 6 {
		fmt.Print(d.ask(signToken(keyPair("a", "EdDSA"), claims(func(c *jwt.Claims) { c.ID = fmt.Sprint(i) }), nil)), " ")
	}
	fmt.Println(d.waitingCount())
	d.ExpireWaiting(d.now+maxWait, false)
	fmt.Println(d.waitingCount())
	// Output:
	// good
	// checks true true bad true good
	// good
	// waits waits waits waits later 20ms later 20ms 4
	// 0
}

// A token of single use counts once. At the bound nothing is forgotten before it expires: newcomers have to wait; and a clock
// that steps back makes no id new that was forgotten.
func Example_singleUse() {
	o := newSingleUseIDs(2)
	say := func(wall time.Duration, id string, expires time.Duration) {
		why, after := o.use(start.Add(wall), id, start.Add(expires))
		fmt.Printf("%s at %v: %q %v\n", id, wall, why, after)
	}
	say(0, "a", 10*time.Second)
	say(0, "a", 10*time.Second)
	say(0, "b", 20*time.Second)
	say(0, "c", 30*time.Second)
	say(10*time.Second, "c", 30*time.Second)
	say(0, "a", 10*time.Second)
	// Output:
	// a at 0s: "" 0s
	// a at 0s: "replayed" 0s
	// b at 0s: "" 0s
	// c at 0s: "" 10s
	// c at 10s: "" 0s
	// a at 0s: "expired" 0s
}

// The office against the rules read afresh for each ask: whatever is remembered, reloaded and taken back, the same verdict.
func TestVerifier(t *testing.T) {
	ids := []string{"a", "b", "c"}
	raws := map[string]string{}
	for _, id := range ids {
		for i := range 3 {
			raws[fmt.Sprint(id, i)] = signToken(keyPair(id, "EdDSA"), claims(func(c *jwt.Claims) {
				c.ID = fmt.Sprint(id, i)
				c.Expiry = jwt.NewNumericDate(start.Add(time.Duration(i+1) * 20 * time.Minute))
			}), nil)
		}
	}
	rapid.Check(t, func(t *rapid.T) {
		d := newTestVerifier("a")
		folder, gone := []string{"a"}, map[string]bool{}
		revoked := map[string]bool{}
		for range 30 {
			switch rapid.IntRange(0, 3).Draw(t, "what") {
			case 0:
				before := folder
				folder = nil
				text := ""
				for _, id := range ids {
					if mark := rapid.SampledFrom([]string{"", id, id + "!"}).Draw(t, "key"); mark != "" {
						folder = append(folder, mark)
					}
				}
				revoked = map[string]bool{}
				if id := rapid.SampledFrom([]string{"", "a0", "b1"}).Draw(t, "revoked"); id != "" {
					revoked[id] = true
					text = "jti " + id
				}
				for _, mark := range before {
					gone[strings.TrimSuffix(mark, "!")] = true
				}
				r, _ := ParseRevocations(text)
				d.published = publishedSet(folder...)
				d.Reload(d.published, policy, r, limits)
			case 1:
				d.advance(time.Duration(rapid.IntRange(1, 9).Draw(t, "minutes")) * time.Minute)
			default:
				id := rapid.SampledFrom(ids).Draw(t, "id")
				i := rapid.IntRange(0, 2).Draw(t, "nth")
				want := "good"
				there := ""
				for _, mark := range folder {
					if strings.TrimSuffix(mark, "!") == id {
						there = mark
					}
				}
				at := d.wall.Sub(start)
				switch {
				case there == "" && gone[id], strings.HasSuffix(there, "!"):
					want = "withdrawn-key"
				case there == "":
					want = "unknown-key"
				case at >= time.Hour:
					want = "retired-key"
				case at >= time.Duration(i+1)*20*time.Minute+policy.Leeway:
					want = "expired"
				case revoked[fmt.Sprint(id, i)]:
					want = "revoked"
				}
				if said := d.ask(raws[fmt.Sprint(id, i)]); said != want && !strings.HasPrefix(said, "later") {
					t.Fatalf("%s%d at %v: %s, want %s", id, i, at, said, want)
				}
			}
			if good, bad := d.CacheSizes(); good > limits.MaxCached || bad > limits.MaxCached || d.waitingCount() != 0 {
				t.Fatal("past its bounds")
			}
		}
	})
}

func FuzzVerify(f *testing.F) {
	good := signToken(keyPair("a", "EdDSA"), claims(nil), nil)
	f.Add(good)
	f.Add("eyJhbGciOiJub25lIiwia2lkIjoiYSJ9.e30.")
	find := keyFinder(publishedSet("a"), start)
	f.Fuzz(func(t *testing.T, raw string) {
		if c, why := Verify(raw, find, policy); why == "" && c.Subject != "depot" {
			t.Fatalf("%q is good for %q", raw, c.Subject)
		}
	})
}

func BenchmarkVerify(b *testing.B) {
	for _, algorithm := range []string{"EdDSA", "ES256", "RS256"} {
		k := keyPair("bench-"+algorithm, algorithm)
		find := keyFinder(setuptest.Must(keyring.ParseSet(map[string][]byte{"k": setuptest.Must(keyring.EncodePublic(*k, time.Time{}, time.Time{}, false))})), start)
		raw := signToken(k, claims(nil), nil)
		b.Run(algorithm, func(b *testing.B) {
			for range b.N {
				if _, why := Verify(raw, find, policy); why != "" {
					b.Fatal(why)
				}
			}
		})
	}
}

// What a remembered token costs an op: found by its digest, and on the connection that brought it last.
func BenchmarkLookup(b *testing.B) {
	d := newTestVerifier("a")
	raw := signToken(keyPair("a", "EdDSA"), claims(nil), nil)
	d.ask(raw)
	e, _, _ := d.Lookup(d.now, d.wall, raw)
	b.Run("by digest", func(b *testing.B) {
		for range b.N {
			if _, why, known := d.Lookup(d.now, d.wall, raw); why != "" || !known {
				b.Fatal(why)
			}
		}
	})
	b.Run("by connection", func(b *testing.B) {
		for range b.N {
			if why, sure := d.Revalidate(d.now, d.wall, e); why != "" || !sure {
				b.Fatal(why)
			}
		}
	})
}
