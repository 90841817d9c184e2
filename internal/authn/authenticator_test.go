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
		t.Errorf("anonymous: %+v, want denial no-identity", got)
	}
	configured := &Credential{ConfiguredIdentity: "uri:rota://water/queue"}
	if got := f.authorize(configured, "set", ""); got.Denial != "" || got.Tenant != "water" {
		t.Errorf("configured identity: %+v, want admitted for tenant water", got)
	}
	if got := f.authorize(configured, "view", ""); got.Denial != "type" {
		t.Errorf("class that no role allows: %+v, want denial type", got)
	}
	// The principal is resolved again after another policy is loaded.
	f.Reload(Config{Policy: newPolicy([]authz.RoleName{"viewer"}), MaxRateEntries: 10})
	if got := f.authorize(&Credential{}, "view", ""); got != (Decision{}) {
		t.Errorf("anonymous with a role: %+v, want admitted without a tenant", got)
	}
}

func TestRateLimitDefersUntilReleased(t *testing.T) {
	f := newFixture(t, nil)
	credential := &Credential{ConfiguredIdentity: "uri:rota://water/1"}
	for i := range 2 {
		decision := f.authorize(credential, "set", "")
		if decision.Denial != "" || decision.RetryAfter != 0 {
			t.Fatalf("request %d: %+v, want admitted", i, decision)
		}
		f.Release(&decision.Permission)
	}
	if got := f.authorize(credential, "set", ""); got.RetryAfter != 100*time.Millisecond {
		t.Errorf("request beyond the burst: %+v, want a retry after 100 ms", got)
	}
	f.now += 100 * time.Millisecond
	if got := f.authorize(credential, "set", ""); got.RetryAfter != 0 || got.Denial != "" {
		t.Errorf("request after the retry delay: %+v, want admitted", got)
	}
}

func TestCertificateRevokedLater(t *testing.T) {
	f := newFixture(t, nil)
	if _, denial := f.VerifyCertificate(nil); denial != string(certs.Untrusted) {
		t.Errorf("without authorities: denial %q, want untrusted", denial)
	}
	f.Reload(Config{Policy: newPolicy(nil), MaxRateEntries: 10, TrustStore: f.trustStore()})
	certificate := f.clientCertificate("rota://water/7")
	credential := f.credentialOf(certificate)
	if got := f.authorize(credential, "set", ""); got.Denial != "" || got.Tenant != "water" {
		t.Fatalf("valid certificate: %+v, want admitted for tenant water", got)
	}
	if f.NeedsRecheck(credential) {
		t.Error("NeedsRecheck is true without a reload")
	}
	f.Reload(Config{Policy: newPolicy(nil), MaxRateEntries: 10, TrustStore: f.trustStore(certificate)})
	if !f.NeedsRecheck(credential) {
		t.Error("NeedsRecheck is false after a reload")
	}
	if got := f.authorize(credential, "set", ""); got.Denial != "revoked" {
		t.Errorf("revoked certificate: %+v, want denial revoked", got)
	}
	// A later reload does not undo a denial.
	f.Reload(Config{Policy: newPolicy(nil), MaxRateEntries: 10, TrustStore: f.trustStore()})
	if got := f.RevocationReason(credential); got != "revoked" || f.NeedsRecheck(credential) {
		t.Errorf("after another reload: denial %q, NeedsRecheck %v, want revoked and false", got, f.NeedsRecheck(credential))
	}
	other := f.credentialOf(f.clientCertificate("rota://water/8"))
	f.Reload(Config{Policy: newPolicy(nil), MaxRateEntries: 10})
	if got := f.RevocationReason(other); got != certs.Untrusted {
		t.Errorf("after a reload without authorities: denial %q, want untrusted", got)
	}
}

func TestTokenIsCheckedOnceAndCached(t *testing.T) {
	key, text := newKey("k1")
	f := newFixture(t, withTokens(t.TempDir(), keySetOf(text)))
	credential := &Credential{}
	token := f.token(key, "roads")
	for i := range 3 {
		if got := f.authorize(credential, "view", token); got.Denial != "" || got.Tenant != "roads" {
			t.Fatalf("request %d: %+v, want admitted for tenant roads", i, got)
		}
	}
	if cached, denied := f.verifier.CacheSizes(); cached != 1 || denied != 0 {
		t.Errorf("%d tokens and %d denials cached, want 1 and 0", cached, denied)
	}
	if len(f.posted) > 0 {
		t.Error("a cached token was checked again")
	}
	if got := f.authorize(credential, "set", token); got.Denial != "type" {
		t.Errorf("class that no role allows: %+v, want denial type", got)
	}
	// A later request without a token is anonymous.
	if got := f.authorize(credential, "view", ""); got.Denial != "no-identity" {
		t.Errorf("without a token: %+v, want denial no-identity", got)
	}
}

func TestForgedTokenMakesConnectionSuspect(t *testing.T) {
	key, text := newKey("k1")
	f := newFixture(t, withTokens(t.TempDir(), keySetOf(text)))
	credential := &Credential{}
	good := f.token(key, "roads")
	forged := good[:len(good)-8] + "AAAAAAAA"
	if got := f.authorize(credential, "view", forged); got.Denial != tokens.BadSignature || !credential.suspect {
		t.Errorf("forged token: %+v, suspect %v, want denial signature and suspect true", got, credential.suspect)
	}
	f.authorize(credential, "view", good)
	if !credential.suspect {
		t.Error("a valid token cleared the suspect flag of the connection")
	}
	if !strings.Contains(f.log.String(), "signature") || strings.Contains(f.log.String(), forged) {
		t.Errorf("log must contain the reason but not the token: %s", f.log)
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
		t.Errorf("key published later: %+v, want the key to be found and denial type", got)
	}
	if len(f.config.KeySet.Keys()) != 2 {
		t.Errorf("%d keys in the key set, want 2", len(f.config.KeySet.Keys()))
	}
	// A key that is in no file is still unknown after the folder is read again.
	f.now += time.Second
	unknownKey, _ := newKey("k3")
	if got := f.authorize(&Credential{}, "set", f.token(unknownKey, "roads")); got.Denial != keyring.UnknownKey {
		t.Errorf("key in no file: %+v, want denial unknown-key", got)
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
		t.Fatalf("decisions %+v, want one with a retry delay", decisions)
	}
	if got := f.authorize(&Credential{}, "view", f.token(key, "water")); got.RetryAfter != authz.MinRetryAfter {
		t.Errorf("after Stop: %+v, want the minimum retry delay", got)
	}
	f.runPosted() // the result of the check that was in progress, for which no request waits any more
	if len(decisions) != 1 {
		t.Errorf("%d decisions, want 1", len(decisions))
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
		t.Error("request still waits after 1 min")
	}
	lines := strings.Split(strings.TrimSpace(f.log.String()), "\n")
	if len(lines) != 6 {
		t.Fatalf("%d log lines, want 6 (4 denials, the suppressed count and the counters):\n%s", len(lines), f.log)
	}
	for i, want := range wantLogLines {
		if lines[i+3] != want {
			t.Errorf("log line %d: %s\nwant %s", i+3, lines[i+3], want)
		}
	}
	f.Sweep()
	f.now += time.Minute
	f.Sweep()
	if got := strings.Count(f.log.String(), "\n"); got != 6 {
		t.Errorf("%d log lines, want 6: unchanged counters must not be logged again", got)
	}
}

// wantLogLines are the log lines from index 3 in TestSweepExpiresWaitingAndLogs.
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
