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

	"lanewheel/internal/keyring"
	"lanewheel/internal/setuptest"
)

// Verify accepts a valid token of each algorithm and returns the denial of each kind of invalid token. The key
// determines the algorithm, not the token's header.
func Example_verify() {
	ed, es, rs := keyPair("ed", "EdDSA"), keyPair("es", "ES256"), keyPair("rs", "RS256")
	files := map[string][]byte{}
	for _, key := range []*jose.JSONWebKey{ed, es, rs} {
		files[key.KeyID] = setuptest.Must(keyring.EncodePublic(*key, start, time.Time{}, false))
	}
	keys := setuptest.Must(keyring.ParseSet(files))
	// hmacKey uses the public half of an RSA key as an HMAC secret. mismatchedKey signs with Ed25519 under the ID of an
	// RSA key.
	der := setuptest.Must(x509.MarshalPKIXPublicKey(rs.Public().Key.(*rsa.PublicKey)))
	hmacKey := jose.JSONWebKey{Key: pem.EncodeToMemory(&pem.Block{Type: "PUBLIC KEY", Bytes: der}), KeyID: "rs"}
	hmacSigner := setuptest.Must(jose.NewSigner(jose.SigningKey{Algorithm: jose.HS256, Key: hmacKey}, nil))
	mismatchedKey := *ed
	mismatchedKey.KeyID = "rs"
	good := signToken(ed, claims(nil), nil)
	parts := strings.Split(good, ".")
	b64 := func(s string) string { return base64.RawURLEncoding.EncodeToString([]byte(s)) }
	show := func(name, raw string) {
		claims, denial := Verify(raw, keyFinder(keys, start), policy)
		fmt.Printf("%s: %q %s %s %v\n", name, denial, claims.Subject, claims.Tenant, claims.Roles)
	}
	show("EdDSA", good)
	show("ES256", signToken(es, claims(nil), nil))
	show("RS256", signToken(rs, claims(nil), nil))
	show("none", b64(`{"alg":"none","kid":"ed"}`)+"."+parts[1]+".")
	show("hmac", setuptest.Must(jwt.Signed(hmacSigner).Claims(claims(nil)).Serialize()))
	show("mismatched key", signToken(&mismatchedKey, claims(nil), nil))
	show("crit", signToken(ed, claims(nil), map[jose.HeaderKey]any{"crit": []string{"b64"}, "b64": true}))
	show("forged", parts[0]+"."+parts[1]+"."+b64(strings.Repeat("x", 64)))
	show("changed", parts[0]+"."+b64(`{"iss":"us","sub":"boss","aud":"rota","exp":1900000000}`)+"."+parts[2])
	show("no key id", b64(`{"alg":"EdDSA"}`)+"."+parts[1]+"."+parts[2])
	show("unknown", b64(`{"alg":"EdDSA","kid":"what"}`)+"."+parts[1]+"."+parts[2])
	show("issuer", signToken(ed, claims(func(c *jwt.Claims) { c.Issuer = "them" }), nil))
	show("audience", signToken(ed, claims(func(c *jwt.Claims) { c.Audience = nil }), nil))
	show("subject", signToken(ed, claims(func(c *jwt.Claims) { c.Subject = "" }), nil))
	show("no expiry", signToken(ed, claims(func(c *jwt.Claims) { c.Expiry = nil }), nil))
	show("not a JWT", "a.b.c")
	show("long", good+strings.Repeat("A", 2048))
	// Output:
	// EdDSA: "" depot water [crew]
	// ES256: "" depot water [crew]
	// RS256: "" depot water [crew]
	// none: "algorithm"   []
	// hmac: "algorithm"   []
	// mismatched key: "algorithm"   []
	// crit: "critical"   []
	// forged: "signature"   []
	// changed: "signature"   []
	// no key id: "malformed"   []
	// unknown: "unknown-key"   []
	// issuer: "issuer"   []
	// audience: "audience"   []
	// subject: "subject"   []
	// no expiry: "malformed"   []
	// not a JWT: "malformed"   []
	// long: "too-long"   []
}

func FuzzVerify(f *testing.F) {
	f.Add(goodToken("a", nil))
	f.Add("eyJhbGciOiJub25lIiwia2lkIjoiYSJ9.e30.")
	findKey := keyFinder(publishedSet("a"), start)
	f.Fuzz(func(t *testing.T, raw string) {
		if claims, denial := Verify(raw, findKey, policy); denial == "" && claims.Subject != "depot" {
			t.Fatalf("%q is accepted for subject %q", raw, claims.Subject)
		}
	})
}

func BenchmarkVerify(b *testing.B) {
	for _, algorithm := range []string{"EdDSA", "ES256", "RS256"} {
		key := keyPair("bench-"+algorithm, algorithm)
		text := setuptest.Must(keyring.EncodePublic(*key, time.Time{}, time.Time{}, false))
		findKey := keyFinder(setuptest.Must(keyring.ParseSet(map[string][]byte{"k": text})), start)
		raw := signToken(key, claims(nil), nil)
		b.Run(algorithm, func(b *testing.B) {
			for range b.N {
				if _, denial := Verify(raw, findKey, policy); denial != "" {
					b.Fatal(denial)
				}
			}
		})
	}
}
