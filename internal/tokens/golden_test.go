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

// The tokens of testdata/golden were issued by "lanewheel token issue", with the keys of
// internal/keyring/testdata/golden. Those keys are for tests alone.

// decodeTokenPart reads the header or the claims of a token as they stand there.
func decodeTokenPart(t *testing.T, raw string, n int) map[string]any {
	t.Helper()
	var members map[string]any
	if err := json.Unmarshal(setuptest.Must(base64.RawURLEncoding.DecodeString(strings.Split(raw, ".")[n])),
		&members); err != nil {
		t.Fatal(err)
	}
	return members
}

// goldenToken is what a stored token proves, and by which policy.
type goldenToken struct {
	name              string
	algorithm         string
	policy            *Policy
	claims            Claims // without the times
	privateClaimNames []string
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

// Tokens of each algorithm verify, prove what they were issued for, and name their claims as ever.
func TestGoldenTokens(t *testing.T) {
	keys := setuptest.Must(keyring.LoadSet("../keyring/testdata/golden"))
	findKey := func(id keyring.KeyID) (*keyring.Key, authz.Denial) {
		if key := keys.Find(id); key != nil {
			return key, "" // whether it counts is decided in keyring
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

// checkClaims compares what a token proves.
func (g goldenToken) checkClaims(t *testing.T, got Claims) {
	t.Helper()
	if got.NotBefore.Unix() == 0 || got.Expiry.Sub(got.NotBefore) != 800_000*time.Hour {
		t.Errorf("counts from %v until %v", got.NotBefore, got.Expiry)
	}
	if denial := got.CheckTime(start, g.policy); denial != "" {
		t.Errorf("does not count: %s", denial)
	}
	if identities := fmt.Sprint(got.Identities()); identities != "[token:"+g.claims.Subject+"]" {
		t.Errorf("identities %s", identities)
	}
	got.NotBefore = time.Time{}
	got.Expiry = time.Time{}
	if !reflect.DeepEqual(got, g.claims) {
		t.Errorf("proves %+v, want %+v", got, g.claims)
	}
}

// checkMembers compares the names and values of header and claims.
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

// A list of revocations as it is stored.
func TestGoldenRevocations(t *testing.T) {
	revocations, line := ParseRevocations(string(setuptest.Must(os.ReadFile("testdata/golden/revoked.txt"))))
	if line != 0 {
		t.Fatalf("line %d is wrong", line)
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
			t.Errorf("%+v revoked %v", c.claims, got)
		}
	}
}

// The denials that are spoken, in answers, logs and listings.
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
