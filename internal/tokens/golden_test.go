package tokens

import (
	"encoding/base64"
	"encoding/json"
	"fmt"
	"os"
	"path/filepath"
	"reflect"
	"strings"
	"testing"
	"time"

	"lanewheel/internal/authz"
	"lanewheel/internal/keyring"
	"lanewheel/internal/setuptest"
)

// The tokens in testdata/golden were issued by "lanewheel token issue" with the keys of
// internal/keyring/testdata/golden, which are used in tests only.

// decodeTokenPart decodes the header (part 0) or the claims (part 1) of a token without verifying it.
func decodeTokenPart(t *testing.T, raw string, n int) map[string]any {
	t.Helper()
	var members map[string]any
	if err := json.Unmarshal(setuptest.Must(base64.RawURLEncoding.DecodeString(strings.Split(raw, ".")[n])),
		&members); err != nil {
		t.Fatal(err)
	}
	return members
}

// goldenToken is a stored token with its expected claims under a policy.
type goldenToken struct {
	name              string
	algorithm         string
	policy            *Policy
	claims            Claims   // without NotBefore and Expiry
	privateClaimNames []string // of the tenant and the roles; nil if the token has neither
}

func goldenTokens() []goldenToken {
	defaultPolicy := &Policy{
		Issuer:      "https://issuer.example",
		Audience:    "rota",
		Leeway:      30 * time.Second,
		MaxBytes:    2048,
		TenantClaim: "tenant",
		RolesClaim:  "roles",
		SingleUse:   true,
	}
	customNamesPolicy := *defaultPolicy
	customNamesPolicy.TenantClaim = "org"
	customNamesPolicy.RolesClaim = "groups"
	return []goldenToken{
		{"ed", "EdDSA", defaultPolicy, Claims{
			Subject: "handheld-7",
			ID:      "t-ed",
			Tenant:  "water",
			Roles:   []authz.RoleName{"crew", "visitor"},
			KeyID:   "ed",
		}, []string{"tenant", "roles"}},
		{"es", "ES256", &customNamesPolicy, Claims{
			Subject: "handheld-8",
			ID:      "t-es",
			Tenant:  "roads",
			Roles:   []authz.RoleName{"crew"},
			KeyID:   "es",
		}, []string{"org", "groups"}},
		{"rs", "RS256", defaultPolicy, Claims{Subject: "handheld-9", ID: "t-rs", KeyID: "rs"}, nil},
	}
}

// Stored tokens of each algorithm are verified, with the claims they were issued with. The names of their header
// members and claims must not change.
func TestGoldenTokens(t *testing.T) {
	keys := setuptest.Must(keyring.LoadSet("../keyring/testdata/golden"))
	findKey := func(id keyring.KeyID) (*keyring.Key, authz.Denial) {
		if key := keys.Find(id); key != nil {
			return key, "" // the tests of package keyring check the key's validity period
		}
		return nil, keyring.UnknownKey
	}
	for _, golden := range goldenTokens() {
		t.Run(golden.name, func(t *testing.T) {
			path := filepath.Join("testdata/golden", golden.name+".jwt")
			raw := strings.TrimSpace(string(setuptest.Must(os.ReadFile(path))))
			claims, denial := Verify(raw, findKey, golden.policy)
			if denial != "" {
				t.Fatal(denial)
			}
			golden.checkClaims(t, claims)
			golden.checkMembers(t, raw, claims)
		})
	}
}

// checkClaims compares the verified claims with the expected ones.
func (g goldenToken) checkClaims(t *testing.T, got Claims) {
	t.Helper()
	if got.NotBefore.Unix() == 0 || got.Expiry.Sub(got.NotBefore) != 800_000*time.Hour {
		t.Errorf("valid from %v until %v, want a period of 800,000 h", got.NotBefore, got.Expiry)
	}
	if denial := got.CheckTime(start, g.policy); denial != "" {
		t.Errorf("denied at %v: %s", start, denial)
	}
	if identities := fmt.Sprint(got.Identities()); identities != "[token:"+g.claims.Subject+"]" {
		t.Errorf("identities %s", identities)
	}
	got.NotBefore = time.Time{}
	got.Expiry = time.Time{}
	if !reflect.DeepEqual(got, g.claims) {
		t.Errorf("claims %+v, want %+v", got, g.claims)
	}
}

// checkMembers compares the names and values of all header members and claims with the expected ones.
func (g goldenToken) checkMembers(t *testing.T, raw string, claims Claims) {
	t.Helper()
	wantHeader := map[string]any{"alg": g.algorithm, "kid": g.name, "typ": "JWT"}
	if header := decodeTokenPart(t, raw, 0); !reflect.DeepEqual(header, wantHeader) {
		t.Errorf("header %v, want %v", header, wantHeader)
	}
	want := map[string]any{
		"iss": "https://issuer.example",
		"aud": "rota",
		"sub": g.claims.Subject,
		"jti": g.claims.ID,
		"iat": float64(claims.NotBefore.Unix()),
		"nbf": float64(claims.NotBefore.Unix()),
		"exp": float64(claims.Expiry.Unix()),
	}
	if g.privateClaimNames != nil {
		var roles []any
		for _, role := range g.claims.Roles {
			roles = append(roles, string(role))
		}
		want[g.privateClaimNames[0]] = string(g.claims.Tenant)
		want[g.privateClaimNames[1]] = roles
	}
	if got := decodeTokenPart(t, raw, 1); !reflect.DeepEqual(got, want) {
		t.Errorf("claims %v, want %v", got, want)
	}
}

// A stored revocation list is parsed completely, and subjects and token IDs are not confused.
func TestGoldenRevocations(t *testing.T) {
	revocations, line := ParseRevocations(string(setuptest.Must(os.ReadFile("testdata/golden/revoked.txt"))))
	if line != 0 {
		t.Fatalf("line %d is invalid", line)
	}
	for _, c := range []struct {
		claims  Claims
		revoked bool
	}{
		{Claims{ID: "t-ed", Subject: "handheld-7"}, true},
		{Claims{ID: "t-es", Subject: "handheld-8"}, false},
		{Claims{ID: "x", Subject: "handheld-9"}, true},
		{Claims{ID: "handheld-9", Subject: "t-ed"}, false},
	} {
		if got := revocations.Contains(&c.claims); got != c.revoked {
			t.Errorf("%+v: revoked is %v, want %v", c.claims, got, c.revoked)
		}
	}
}

// The texts of denials, which appear in responses, logs and command-line listings, must not change.
func TestGoldenDenials(t *testing.T) {
	for denial, want := range map[authz.Denial]string{
		TooLong:        "too-long",
		Malformed:      "malformed",
		WrongAlgorithm: "algorithm",
		CriticalHeader: "critical",
		BadSignature:   "signature",
		expired:        "expired",
		notYetValid:    "early",
		WrongIssuer:    "issuer",
		WrongAudience:  "audience",
		NoSubject:      "subject",
		Revoked:        "revoked",
		replayed:       "replayed",
		noTokenID:      "no-id",
	} {
		if string(denial) != want {
			t.Errorf("%q, want %q", denial, want)
		}
	}
}
