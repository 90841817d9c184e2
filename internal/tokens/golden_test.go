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

// goldenPart reads the header or the claims of a token as they stand there.
func goldenPart(t *testing.T, raw string, n int) map[string]any {
	t.Helper()
	var members map[string]any
	if err := json.Unmarshal(setuptest.Must(base64.RawURLEncoding.DecodeString(strings.Split(raw, ".")[n])),
		&members); err != nil {
		t.Fatal(err)
	}
	return members
}

// Tokens of each algorithm verify, prove what they were issued for, and name their claims as ever.
func TestGoldenTokens(t *testing.T) {
	keys := setuptest.Must(keyring.LoadSet("../keyring/testdata/golden"))
	find := func(id keyring.KeyID) (*keyring.Key, authz.Denial) {
		if k := keys.Find(id); k != nil {
			return k, "" // whether it counts is decided in keyring
		}
		return nil, keyring.UnknownKey
	}
	p := &Policy{Issuer: "https://issuer.example", Audience: "rota", Leeway: 30 * time.Second, MaxBytes: 2048,
		TenantClaim: "tenant", RolesClaim: "roles", SingleUse: true}
	named := *p
	named.TenantClaim, named.RolesClaim = "org", "groups"
	for name, of := range map[string]struct {
		algorithm string
		policy    *Policy
		claims    Claims
		extra     []string
	}{
		"ed": {"EdDSA", p, Claims{Subject: "handheld-7", ID: "t-ed", Tenant: "water", Roles: []authz.RoleName{"crew",
			"visitor"}, KeyID: "ed"},
			[]string{"tenant", "roles"}},
		"es": {"ES256", &named, Claims{Subject: "handheld-8", ID: "t-es", Tenant: "roads", Roles: []authz.RoleName{"crew"},
			KeyID: "es"},
			[]string{"org", "groups"}},
		"rs": {"RS256", p, Claims{Subject: "handheld-9", ID: "t-rs", KeyID: "rs"}, nil},
	} {
		raw := strings.TrimSpace(string(setuptest.Must(os.ReadFile(filepath.Join("testdata/golden", name+".jwt")))))
		got, why := Verify(raw, find, of.policy)
		if why != "" {
			t.Errorf("%s: %s", name, why)
			continue
		}
		issued, expiry := got.NotBefore, got.Expiry
		got.NotBefore, got.Expiry = time.Time{}, time.Time{}
		if !reflect.DeepEqual(got, of.claims) {
			t.Errorf("%s proves %+v, want %+v", name, got, of.claims)
		}
		if issued.Unix() == 0 || expiry.Sub(issued) != 800_000*time.Hour {
			t.Errorf("%s counts from %v until %v", name, issued, expiry)
		}
		got.NotBefore, got.Expiry = issued, expiry
		if why := got.CheckTime(start, of.policy); why != "" {
			t.Errorf("%s does not count: %s", name, why)
		}
		if header := goldenPart(t, raw, 0); !reflect.DeepEqual(header, map[string]any{"alg": of.algorithm, "kid": name,
			"typ": "JWT"}) {
			t.Errorf("%s has the header %v", name, header)
		}
		want := map[string]any{"iss": "https://issuer.example", "aud": "rota", "sub": of.claims.Subject, "jti": of.claims.ID,
			"iat": float64(issued.Unix()), "nbf": float64(issued.Unix()), "exp": float64(expiry.Unix())}
		if of.extra != nil {
			var roles []any
			for _, r := range of.claims.Roles {
				roles = append(roles, string(r))
			}
			want[of.extra[0]], want[of.extra[1]] = string(of.claims.Tenant), roles
		}
		if claims := goldenPart(t, raw, 1); !reflect.DeepEqual(claims, want) {
			t.Errorf("%s says %v, want %v", name, claims, want)
		}
		if names := fmt.Sprint(of.claims.Identities()); names != "[token:"+of.claims.Subject+"]" {
			t.Errorf("%s names %s", name, names)
		}
	}
}

// A list of what was taken back.
func TestGoldenRevocations(t *testing.T) {
	r, line := ParseRevocations(string(setuptest.Must(os.ReadFile("testdata/golden/revoked.txt"))))
	if line != 0 {
		t.Fatalf("line %d is wrong", line)
	}
	for _, of := range []struct {
		claims  Claims
		revoked bool
	}{{Claims{ID: "t-ed", Subject: "handheld-7"}, true}, {Claims{ID: "t-es", Subject: "handheld-8"}, false},
		{Claims{ID: "x", Subject: "handheld-9"}, true},
		{Claims{ID: "handheld-9", Subject: "t-ed"}, false}} {
		if got := r.Contains(&of.claims); got != of.revoked {
			t.Errorf("%+v revoked %v", of.claims, got)
		}
	}
}

// The reasons that are spoken, in answers, logs and listings.
func TestGoldenReasons(t *testing.T) {
	for reason, want := range map[authz.Denial]string{TooLong: "too-long", Malformed: "malformed",
		WrongAlgorithm: "algorithm", CriticalHeader: "critical",
		BadSignature: "signature", expired: "expired", notYetValid: "early", WrongIssuer: "issuer", WrongAudience: "audience",
		NoSubject: "subject", Revoked: "revoked",
		replayed: "replayed", noTokenID: "no-id"} {
		if string(reason) != want {
			t.Errorf("%q, want %q", reason, want)
		}
	}
}
