package tokens

import (
	"encoding/base64"
	"fmt"
	"strings"
	"time"

	"github.com/go-jose/go-jose/v4/jwt"

	"lanewheel/internal/keyring"
)

// One read of the key folder finds the key of a token that is not loaded yet. Forged key IDs cause at most one read
// per second. A token that arrives in the second after a read gets a retry delay, not a denial, as its key may just
// have been published.
func Example_unknownKey() {
	v := newTestVerifier("a")
	v.published = publishedSet("a", "b")
	fmt.Println(v.verdict(goodToken("b", nil)), "reads", v.reloadCount)
	for i := range 50 {
		if got := v.verdict(goodToken(fmt.Sprint("x", i), nil)); got != "retry after 1s" {
			fmt.Println(got)
		}
	}
	v.advance(time.Second)
	raw := goodToken("y", nil)
	fmt.Println(v.verdict(raw), v.verdict(raw), "reads", v.reloadCount)
	v.published = publishedSet("a", "b", "y")
	v.advance(time.Second)
	fmt.Println(v.verdict(raw), "reads", v.reloadCount)
	// Output:
	// good reads 1
	// unknown-key unknown-key reads 2
	// good reads 3
}

// A read that started before the keys were replaced does not restore the older keys.
func Example_supersededReload() {
	v := newTestVerifier("a")
	raw := goodToken("n", nil)
	v.holdChecks = true
	fmt.Println(v.verdict(raw))
	step := v.HandleResult(0, start, CheckResult{
		Raw:    raw,
		Claims: Claims{KeyID: "n"},
		Denial: keyring.UnknownKey,
		KeySet: v.KeySet(),
	})
	older := publishedSet("a")
	v.Reload(publishedSet("a", "n"), policy, nil, limits)
	recheck, replaced := v.HandleKeys(older)
	fmt.Println(step.Action, len(recheck), replaced, len(v.KeySet().Keys()))
	// Output:
	// waiting
	// reload keys 1 false 2
}

// A flood of forged tokens uses no more than its share of CPU time. Tokens of other connections are still checked,
// and a cached token needs no check. The number of waiting requests and their waiting time are limited.
func Example_forgedTokenFlood() {
	v := newTestVerifier("a")
	v.checkCost = time.Millisecond
	good := goodToken("a", nil)
	fmt.Println(v.verdict(good))
	parts := strings.Split(good, ".")
	deferred := 0
	for i := range 100_000 {
		v.advance(10 * time.Microsecond)
		signature := base64.RawURLEncoding.EncodeToString(fmt.Appendf(nil, "%064d", i))
		raw := fmt.Sprintf("%s.%s.%s", parts[0], parts[1], signature)
		step := v.RequestCheck(v.now, raw, true, func(verdict Verdict) {
			if verdict.Denial == "" {
				deferred++
			}
		})
		if step.Action != CheckToken {
			continue
		}
		v.checkCount++
		next := v.HandleResult(v.now, v.wall, CheckResult{
			Raw:      step.Token,
			Suspect:  true,
			Denial:   BadSignature,
			Duration: v.checkCost,
			KeySet:   v.KeySet(),
		})
		if next.Action != noAction {
			panic(next)
		}
	}
	_, denied := v.CacheSizes()
	bounded := denied <= limits.MaxCached
	fmt.Println("checks", v.checkCount <= 102, deferred > 99_000, "denials", bounded, v.verdict(good))
	fmt.Println(v.verdict(goodToken("a", func(c *jwt.Claims) { c.ID = "t2" })))
	v.holdChecks = true
	for i := range 6 {
		fmt.Print(v.verdict(goodToken("a", func(c *jwt.Claims) { c.ID = fmt.Sprint(i) })), " ")
	}
	fmt.Println(v.checks.waiting)
	v.ExpireWaiting(v.now+maxWait, false)
	fmt.Println(v.checks.waiting)
	// Output:
	// good
	// checks true true denials true good
	// good
	// waiting waiting waiting waiting retry after 20ms retry after 20ms 4
	// 0
}
