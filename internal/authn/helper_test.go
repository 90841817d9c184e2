package authn

import (
	"bytes"
	"crypto/x509"
	"log/slog"
	"path/filepath"
	"testing"
	"time"

	"github.com/go-jose/go-jose/v4"
	"github.com/go-jose/go-jose/v4/jwt"

	"lanewheel/admission"
	"lanewheel/internal/authz"
	"lanewheel/internal/certs"
	"lanewheel/internal/keyring"
	"lanewheel/internal/setuptest"
	"lanewheel/internal/tokens"
)

// fixture is an authenticator whose event loop is the test's own goroutine. The validity of keys is checked against the
// real wall clock, because the goroutine that verifies tokens reads it.
type fixture struct {
	*Authenticator
	t         *testing.T
	log       *bytes.Buffer
	posted    chan func()
	now       time.Duration
	wall      time.Time
	keyDir    string
	authority certs.KeyPair
}

func newFixture(t *testing.T, change func(*Config)) *fixture {
	t.Helper()
	wall := time.Now()
	f := &fixture{
		t:         t,
		log:       &bytes.Buffer{},
		posted:    make(chan func(), 100),
		wall:      wall,
		keyDir:    t.TempDir(),
		authority: setuptest.Must(certs.NewAuthority("authority", wall, time.Hour)),
	}
	previous := slog.Default()
	slog.SetDefault(slog.New(slog.NewTextHandler(f.log, &slog.HandlerOptions{ReplaceAttr: withoutTime})))
	t.Cleanup(func() { slog.SetDefault(previous) })
	config := Config{Policy: newPolicy(nil), MaxRateEntries: 10}
	if change != nil {
		change(&config)
	}
	post := func(calls ...func()) {
		for _, call := range calls {
			f.posted <- call
		}
	}
	f.Authenticator = New(config, post, func() (time.Duration, time.Time) { return f.now, f.wall })
	return f
}

func withoutTime(_ []string, attribute slog.Attr) slog.Attr {
	if attribute.Key == slog.TimeKey {
		return slog.Attr{}
	}
	return attribute
}

func newPolicy(anonymous []authz.RoleName) *authz.Policy {
	roles := []authz.Role{
		{Name: "crew", Classes: []admission.Class{"set"}, CanRead: true, CanWrite: true, RatePerSecond: 10, Burst: 2},
		{Name: "viewer", Classes: []admission.Class{"view"}, CanRead: true},
	}
	bindings := []authz.Binding{
		{Name: "water", Patterns: []string{"uri:rota://water/*"}, Tenant: "water", Roles: []authz.RoleName{"crew"}},
		{Name: "roads", Patterns: []string{"token:roads"}, Tenant: "roads", Roles: []authz.RoleName{"viewer"}},
	}
	return setuptest.Must(authz.NewPolicy(roles, bindings, nil, anonymous))
}

// withTokens returns a function that changes a configuration so that tokens are accepted. keys are the keys published
// in keyDir.
func withTokens(keyDir string, keys *keyring.KeySet) func(*Config) {
	return func(config *Config) {
		config.KeyDir = keyDir
		config.KeySet = keys
		config.TokenPolicy = &tokens.Policy{Issuer: "us", Audience: "rota", MaxBytes: 2048}
		config.TokenLimits = tokens.Limits{
			MaxCached:         10,
			MaxWaiting:        10,
			CPUFraction:       1,
			MaxSingleUseIDs:   10,
			KeyReloadInterval: time.Second,
		}
	}
}

// newKey creates a key and returns it with the text of its public key file.
func newKey(id string) (*jose.JSONWebKey, []byte) {
	key := setuptest.Must(keyring.GenerateKey("EdDSA"))
	key.KeyID = id
	return key, setuptest.Must(keyring.EncodePublic(*key, time.Time{}, time.Time{}, false))
}

func keySetOf(text []byte) *keyring.KeySet {
	return setuptest.Must(keyring.ParseSet(map[string][]byte{"k.json": text}))
}

func (f *fixture) publish(name string, text []byte) {
	f.t.Helper()
	if err := keyring.WriteFileAtomic(filepath.Join(f.keyDir, name), text, 0o600); err != nil {
		f.t.Fatal(err)
	}
}

func (f *fixture) token(key *jose.JSONWebKey, subject string) string {
	f.t.Helper()
	signer := setuptest.Must(jose.NewSigner(jose.SigningKey{Algorithm: jose.EdDSA, Key: key}, nil))
	return setuptest.Must(jwt.Signed(signer).Claims(jwt.Claims{
		Issuer:   "us",
		Subject:  subject,
		Audience: jwt.Audience{"rota"},
		Expiry:   jwt.NewNumericDate(f.wall.Add(time.Hour)),
	}).Serialize())
}

// trustStore returns a store with the fixture's authority, which has revoked the given certificates.
func (f *fixture) trustStore(revoked ...*x509.Certificate) *certs.TrustStore {
	f.t.Helper()
	text, _, err := f.authority.EncodePEM()
	if err != nil {
		f.t.Fatal(err)
	}
	var lists []byte
	for _, certificate := range revoked {
		lists = setuptest.Must(f.authority.Revoke(lists, serials(certificate), f.wall, time.Hour))
	}
	return setuptest.Must(certs.NewTrustStore(text, lists, certs.RevocationPolicy{}, f.wall))
}

func (f *fixture) clientCertificate(uri string) *x509.Certificate {
	f.t.Helper()
	subject := certs.Subject{CommonName: "c", URIs: []string{uri}}
	return setuptest.Must(f.authority.IssueClient(subject, f.wall, time.Hour)).Certificate
}

// credentialOf returns the credential of a connection whose client presented a certificate in the handshake.
func (f *fixture) credentialOf(certificate *x509.Certificate) *Credential {
	f.t.Helper()
	proof, denial := f.VerifyCertificate([]*x509.Certificate{certificate})
	if denial != "" {
		f.t.Fatal(denial)
	}
	return &Credential{Proof: proof.(*certs.VerifiedChain)}
}

// authorize runs the event loop until the request is decided, and returns the decision.
func (f *fixture) authorize(credential *Credential, class admission.Class, token string) Decision {
	f.t.Helper()
	var decisions []Decision
	f.Authorize(credential, Request{Request: authz.Request{Class: class}, Token: token}, func(decision Decision) {
		decisions = append(decisions, decision)
	})
	for len(decisions) == 0 {
		f.runPosted()
	}
	if len(decisions) > 1 {
		f.t.Fatalf("%d decisions, want 1", len(decisions))
	}
	return decisions[0]
}

// runPosted waits for one function posted to the event loop and runs it.
func (f *fixture) runPosted() {
	f.t.Helper()
	select {
	case call := <-f.posted:
		call()
	case <-time.After(10 * time.Second):
		f.t.Fatal("nothing was posted to the event loop for 10 s")
	}
}
