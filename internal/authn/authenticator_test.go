package authn

import (
	"crypto/x509"
	"math/big"
	"strings"
	"testing"
	"time"

	"lanewheel/internal/authz"
	"lanewheel/internal/certs"
	"lanewheel/internal/keyring"
	"lanewheel/internal/tokens"
)

func serials(certificate *x509.Certificate) []*big.Int { return []*big.Int{certificate.SerialNumber} }

func TestAnonymousAndConfiguredIdentity(t *testing.T) {
	f := newFixture(t, nil)
	if got := f.authorize(&Credential{}, "set", ""); got.Denial != "no-identity" {
		t.Errorf("anonymous: %+v, want no-identity", got)
	}
	configured := &Credential{ConfiguredIdentity: "uri:rota://water/queue"}
	if got := f.authorize(configured, "set", ""); got.Denial != "" || got.Tenant != "water" {
		t.Errorf("configured identity: %+v, want to be admitted for water", got)
	}
	if got := f.authorize(configured, "view", ""); got.Denial != "type" {
		t.Errorf("a class of no role: %+v, want type", got)
	}
	// What the identity may do is resolved again once another policy is in force.
	f.Reload(Config{Policy: newPolicy([]authz.RoleName{"viewer"}), MaxRateEntries: 10})
	if got := f.authorize(&Credential{}, "view", ""); got != (Decision{}) {
		t.Errorf("anonymous with a role: %+v, want to be admitted without a tenant", got)
	}
}

func TestRateLimitDefersUntilReleased(t *testing.T) {
	f := newFixture(t, nil)
	credential := &Credential{ConfiguredIdentity: "uri:rota://water/1"}
	for i := range 2 {
		decision := f.authorize(credential, "set", "")
		if decision.Denial != "" || decision.RetryAfter != 0 {
			t.Fatalf("request %d: %+v, want to be admitted", i, decision)
		}
		f.Release(&decision.Permission)
	}
	if got := f.authorize(credential, "set", ""); got.RetryAfter != 100*time.Millisecond {
		t.Errorf("beyond the burst: %+v, want a retry after 100 ms", got)
	}
	f.now += 100 * time.Millisecond
	if got := f.authorize(credential, "set", ""); got.RetryAfter != 0 || got.Denial != "" {
		t.Errorf("after the wait: %+v, want to be admitted", got)
	}
}

func TestCertificateRevokedLater(t *testing.T) {
	f := newFixture(t, nil)
	if _, denial := f.VerifyCertificate(nil); denial != string(certs.Untrusted) {
		t.Errorf("without authorities: %q, want untrusted", denial)
	}
	f.Reload(Config{Policy: newPolicy(nil), MaxRateEntries: 10, TrustStore: f.trustStore()})
	certificate := f.clientCertificate("rota://water/7")
	credential := f.credentialOf(certificate)
	if got := f.authorize(credential, "set", ""); got.Denial != "" || got.Tenant != "water" {
		t.Fatalf("%+v, want to be admitted for water", got)
	}
	if f.NeedsRecheck(credential) {
		t.Error("needs a recheck though nothing has changed")
	}
	f.Reload(Config{Policy: newPolicy(nil), MaxRateEntries: 10, TrustStore: f.trustStore(certificate)})
	if !f.NeedsRecheck(credential) {
		t.Error("needs no recheck after a reload")
	}
	if got := f.authorize(credential, "set", ""); got.Denial != "revoked" {
		t.Errorf("%+v, want revoked", got)
	}
	// The reason is final, whatever is loaded afterwards.
	f.Reload(Config{Policy: newPolicy(nil), MaxRateEntries: 10, TrustStore: f.trustStore()})
	if got := f.RevocationReason(credential); got != "revoked" || f.NeedsRecheck(credential) {
		t.Errorf("%q and a recheck %v, want revoked for good", got, f.NeedsRecheck(credential))
	}
	other := f.credentialOf(f.clientCertificate("rota://water/8"))
	f.Reload(Config{Policy: newPolicy(nil), MaxRateEntries: 10})
	if got := f.RevocationReason(other); got != certs.Untrusted {
		t.Errorf("without authorities any more: %q, want untrusted", got)
	}
}

func TestTokenIsCheckedOnceAndCached(t *testing.T) {
	key, text := newKey("k1")
	f := newFixture(t, withTokens(t.TempDir(), keySetOf(text)))
	credential := &Credential{}
	token := f.token(key, "roads")
	for i := range 3 {
		if got := f.authorize(credential, "view", token); got.Denial != "" || got.Tenant != "roads" {
			t.Fatalf("request %d: %+v, want to be admitted for roads", i, got)
		}
	}
	if cached, denied := f.verifier.CacheSizes(); cached != 1 || denied != 0 {
		t.Errorf("%d tokens and %d denials cached, want 1 and 0", cached, denied)
	}
	if len(f.posted) > 0 {
		t.Error("a cached token was checked again")
	}
	if got := f.authorize(credential, "set", token); got.Denial != "type" {
		t.Errorf("a class of no role: %+v, want type", got)
	}
	// Without its token the connection is anonymous again.
	if got := f.authorize(credential, "view", ""); got.Denial != "no-identity" {
		t.Errorf("without a token: %+v, want no-identity", got)
	}
}

func TestForgedTokenMakesConnectionSuspect(t *testing.T) {
	key, text := newKey("k1")
	f := newFixture(t, withTokens(t.TempDir(), keySetOf(text)))
	credential := &Credential{}
	good := f.token(key, "roads")
	forged := good[:len(good)-8] + "AAAAAAAA"
	if got := f.authorize(credential, "view", forged); got.Denial != tokens.BadSignature || !credential.suspect {
		t.Errorf("%+v and suspect %v, want signature and suspect", got, credential.suspect)
	}
	f.authorize(credential, "view", good)
	if !credential.suspect {
		t.Error("a good token made a suspect connection trusted again")
	}
	if !strings.Contains(f.log.String(), "signature") || strings.Contains(f.log.String(), forged) {
		t.Errorf("the log wants the reason and not the token: %s", f.log)
	}
}

func TestUnknownKeyReloadsFolder(t *testing.T) {
	_, text := newKey("k1")
	f := newFixture(t, nil)
	withTokens(f.keyDir, keySetOf(text))(&f.config)
	f.Reload(f.config)
	f.publish("k1.json", text)
	key, text := newKey("k2")
	f.publish("k2.json", text)
	if got := f.authorize(&Credential{}, "set", f.token(key, "roads")); got.Denial != "type" {
		t.Errorf("a key that was published later: %+v, want to be known and denied by type", got)
	}
	if len(f.config.KeySet.Keys()) != 2 {
		t.Errorf("%d keys in force, want 2", len(f.config.KeySet.Keys()))
	}
	// A key that no file has is unknown, by one more read of the folder.
	f.now += time.Second
	unknownKey, _ := newKey("k3")
	if got := f.authorize(&Credential{}, "set", f.token(unknownKey, "roads")); got.Denial != keyring.UnknownKey {
		t.Errorf("%+v, want unknown-key", got)
	}
}

func TestStopDefersUncheckedTokens(t *testing.T) {
	key, text := newKey("k1")
	f := newFixture(t, withTokens(t.TempDir(), keySetOf(text)))
	var decisions []Decision
	request := Request{Request: authz.Request{Class: "view"}, Token: f.token(key, "roads")}
	f.Authorize(&Credential{}, request, func(decision Decision) { decisions = append(decisions, decision) })
	f.Stop()
	if len(decisions) != 1 || decisions[0].RetryAfter <= 0 || decisions[0].Denial != "" {
		t.Fatalf("%+v, want one retry later", decisions)
	}
	if got := f.authorize(&Credential{}, "view", f.token(key, "water")); got.RetryAfter != authz.MinRetryAfter {
		t.Errorf("after Stop: %+v, want the least retry delay", got)
	}
	f.runPosted() // the check that was under way finds nobody waiting
	if len(decisions) != 1 {
		t.Errorf("%d decisions, want one", len(decisions))
	}
}

func TestSweepExpiresWaitingAndLogs(t *testing.T) {
	key, text := newKey("k1")
	f := newFixture(t, withTokens(t.TempDir(), keySetOf(text)))
	for range 6 {
		f.authorize(&Credential{}, "set", "")
	}
	done := false
	request := Request{Request: authz.Request{Class: "view"}, Token: f.token(key, "roads")}
	f.Authorize(&Credential{}, request, func(Decision) { done = true })
	f.now += time.Minute
	f.wall = f.wall.Add(time.Minute)
	f.Sweep()
	if !done {
		t.Error("a request still waits after a minute")
	}
	lines := strings.Split(strings.TrimSpace(f.log.String()), "\n")
	if len(lines) != 6 {
		t.Fatalf("%d lines, want 4 denials, their suppressed count and the counters:\n%s", len(lines), f.log)
	}
	for i, want := range wantLogLines {
		if lines[i+3] != want {
			t.Errorf("line %d: %s\nwant %s", i+3, lines[i+3], want)
		}
	}
	f.Sweep()
	f.now += time.Minute
	f.Sweep()
	if got := strings.Count(f.log.String(), "\n"); got != 6 {
		t.Errorf("%d lines, want none while the counters stand still", got)
	}
}

var wantLogLines = []string{
	`level=WARN msg="request denied" reason=no-identity identity="" class=set tenant=""`,
	`level=WARN msg="requests denied" reason=no-identity suppressed=2`,
	`level=INFO msg="authentication counters" admitted=0 deferred=1 cached_tokens=0 cached_denials=0 rate_entries=0` +
		` no-identity=6`,
}

func TestIsForgery(t *testing.T) {
	for denial, want := range map[authz.Denial]bool{
		tokens.TooLong: true, tokens.Malformed: true, tokens.WrongAlgorithm: true, tokens.CriticalHeader: true,
		tokens.BadSignature: true, tokens.WrongIssuer: true, tokens.WrongAudience: true, tokens.NoSubject: true,
		keyring.UnknownKey: true,
		tokens.Revoked:     false, keyring.Withdrawn: false, certs.Untrusted: false, "expired": false, "": false,
	} {
		if got := IsForgery(denial); got != want {
			t.Errorf("IsForgery(%q) = %v, want %v", denial, got, want)
		}
	}
}
