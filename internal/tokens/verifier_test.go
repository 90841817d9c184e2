package tokens

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/go-jose/go-jose/v4/jwt"
	"pgregory.net/rapid"

	"lanewheel/internal/keyring"
)

// A token that expires later than its key retires is valid until that moment and not after it, regardless of when the
// folder was read. A cached token is not verified again after a reload that keeps its key and the policy. It is denied
// if its key is withdrawn or removed, or if the token is revoked.
func Example_cachedTokens() {
	v := newTestVerifier("a", "b")
	newLongLivedToken := func(id string) string {
		return goodToken(id, func(c *jwt.Claims) { c.Expiry = jwt.NewNumericDate(start.Add(9 * time.Hour)) })
	}
	tokenA, tokenB := newLongLivedToken("a"), newLongLivedToken("b")
	fmt.Println(v.verdict(tokenA), v.verdict(tokenA), v.verdict(tokenB), "checks", v.checkCount)
	v.Reload(publishedSet("a", "b", "c"), policy, nil, limits)
	fmt.Println(v.verdict(tokenA), v.verdict(tokenB), "checks", v.checkCount)
	v.advance(time.Hour - time.Nanosecond)
	fmt.Println(v.verdict(tokenA))
	v.advance(time.Nanosecond)
	fmt.Println(v.verdict(tokenA), "checks", v.checkCount)
	v = newTestVerifier("a", "b")
	fmt.Println(v.verdict(tokenA), v.verdict(tokenB))
	v.Reload(publishedSet("a!", "c"), policy, nil, limits)
	fmt.Println(v.verdict(tokenA), v.verdict(tokenB))
	v = newTestVerifier("a")
	v.verdict(tokenA)
	revocations, _ := ParseRevocations("# revoked\njti t1\n\nsub nobody")
	v.Reload(publishedSet("a"), policy, revocations, limits)
	fmt.Println(v.verdict(tokenA))
	_, line := ParseRevocations("jti x\njti")
	fmt.Println("invalid line", line)
	// Output:
	// good good good checks 2
	// good good checks 2
	// good
	// retired-key checks 2
	// good good
	// withdrawn-key withdrawn-key
	// revoked
	// invalid line 2
}

// A token is accepted from its not-before time minus the leeway until just before its expiry plus the leeway, and
// denied otherwise. A cached token that has expired stays expired when the wall clock steps back.
func Example_clockSkew() {
	raw := goodToken("a", nil)
	offsets := []time.Duration{-31 * time.Second, -30 * time.Second, 0, 90*time.Second - 1, 90 * time.Second}
	for _, offset := range offsets {
		v := newTestVerifier("a")
		v.advance(offset)
		v.now = 0
		fmt.Println(offset, v.verdict(raw))
	}
	v := newTestVerifier("a")
	fmt.Print(v.verdict(raw), " ")
	v.advance(2 * time.Minute)
	v.wall = start // a step back of one hour has the same effect
	fmt.Println(v.verdict(raw))
	// Output:
	// -31s early
	// -30s good
	// 0s good
	// 1m29.999999999s good
	// 1m30s expired
	// good expired
}

// tokenModel computes the expected verdicts on tokens without a cache.
type tokenModel struct {
	published []string        // IDs of the published keys; withdrawn ones have the suffix "!"
	removed   map[string]bool // IDs of keys that were published before the last reload
	revoked   map[string]bool // IDs of revoked tokens
}

func tokenID(keyID string, nth int) string { return fmt.Sprint(keyID, nth) }

// lifetime returns the time after start for which the nth token of a key is valid, without the leeway.
func lifetime(nth int) time.Duration { return time.Duration(nth+1) * 20 * time.Minute }

// verdict returns the expected verdict on the nth token of a key.
func (m *tokenModel) verdict(elapsed time.Duration, keyID string, nth int) string {
	publishedEntry := ""
	for _, entry := range m.published {
		if strings.TrimSuffix(entry, "!") == keyID {
			publishedEntry = entry
		}
	}
	switch {
	case publishedEntry == "" && m.removed[keyID], strings.HasSuffix(publishedEntry, "!"):
		return "withdrawn-key"
	case publishedEntry == "":
		return "unknown-key"
	case elapsed >= time.Hour:
		return "retired-key"
	case elapsed >= lifetime(nth)+policy.Leeway:
		return "expired"
	case m.revoked[tokenID(keyID, nth)]:
		return "revoked"
	}
	return "good"
}

// drawReload draws new published keys and revocations, and returns the revocation list.
func (m *tokenModel) drawReload(t *rapid.T, ids []string) (revocations string) {
	for _, entry := range m.published {
		m.removed[strings.TrimSuffix(entry, "!")] = true
	}
	m.published = nil
	for _, id := range ids {
		if entry := rapid.SampledFrom([]string{"", id, id + "!"}).Draw(t, "key"); entry != "" {
			m.published = append(m.published, entry)
		}
	}
	m.revoked = map[string]bool{}
	id := rapid.SampledFrom([]string{"", "a0", "b1"}).Draw(t, "revoked")
	if id == "" {
		return ""
	}
	m.revoked[id] = true
	return "jti " + id
}

// TestVerifier compares the verifier, which caches, with tokenModel, which does not, over random reloads, revocations
// and delays. The verifier may return a retry delay instead of a verdict.
func TestVerifier(t *testing.T) {
	ids := []string{"a", "b", "c"}
	raws := map[string]string{}
	for _, id := range ids {
		for nth := range 3 {
			raws[tokenID(id, nth)] = goodToken(id, func(c *jwt.Claims) {
				c.ID = tokenID(id, nth)
				c.Expiry = jwt.NewNumericDate(start.Add(lifetime(nth)))
			})
		}
	}
	rapid.Check(t, func(t *rapid.T) {
		v := newTestVerifier("a")
		model := &tokenModel{published: []string{"a"}, removed: map[string]bool{}, revoked: map[string]bool{}}
		for range 30 {
			switch rapid.IntRange(0, 3).Draw(t, "operation") {
			case 0:
				revocations, _ := ParseRevocations(model.drawReload(t, ids))
				v.published = publishedSet(model.published...)
				v.Reload(v.published, policy, revocations, limits)
			case 1:
				v.advance(time.Duration(rapid.IntRange(1, 9).Draw(t, "minutes")) * time.Minute)
			default:
				id := rapid.SampledFrom(ids).Draw(t, "id")
				nth := rapid.IntRange(0, 2).Draw(t, "nth")
				elapsed := v.wall.Sub(start)
				want := model.verdict(elapsed, id, nth)
				got := v.verdict(raws[tokenID(id, nth)])
				if got != want && !strings.HasPrefix(got, "retry after") {
					t.Fatalf("%s%d at %v: %s, want %s", id, nth, elapsed, got, want)
				}
			}
			cached, denied := v.CacheSizes()
			if cached > limits.MaxCached || denied > limits.MaxCached || v.checks.waiting != 0 {
				t.Fatal("the caches exceed MaxCached, or requests are still waiting")
			}
		}
	})
}

// BenchmarkLookup measures the cost of a cached token for a request: a lookup by digest, and the revalidation of the
// entry that the connection used last.
func BenchmarkLookup(b *testing.B) {
	v := newTestVerifier("a")
	raw := goodToken("a", nil)
	v.verdict(raw)
	entry, _, _ := v.Lookup(v.now, v.wall, raw)
	b.Run("by digest", func(b *testing.B) {
		for range b.N {
			if _, denial, found := v.Lookup(v.now, v.wall, raw); denial != "" || !found {
				b.Fatal(denial)
			}
		}
	})
	b.Run("by connection", func(b *testing.B) {
		for range b.N {
			if denial, current := v.Revalidate(v.now, v.wall, entry); denial != "" || !current {
				b.Fatal(denial)
			}
		}
	})
}

// If a key is replaced by a different key with the same ID, a cached token is verified again with the new key.
func TestVerifierRechecksTokenOfReplacedKey(t *testing.T) {
	v := newTestVerifier("a")
	raw := goodToken("a", nil)
	if got := v.verdict(raw); got != "good" {
		t.Fatal(got)
	}
	before := keyPairs["a"]
	delete(keyPairs, "a")
	defer func() { keyPairs["a"] = before }()
	v.published = publishedSet("a")
	v.Reload(v.published, policy, nil, limits)
	if got := v.verdict(raw); got != string(BadSignature) || v.checkCount != 2 {
		t.Errorf("%s after %d checks, want %s after 2", got, v.checkCount, BadSignature)
	}
	if v.KeySet().Find(keyring.KeyID("a")) == nil {
		t.Error("the new key is not in the current set")
	}
}
