package tokens

import (
	"strings"
	"time"

	"github.com/go-jose/go-jose/v4"
	"github.com/go-jose/go-jose/v4/jwt"

	"lanewheel/internal/authz"
	"lanewheel/internal/keyring"
	_ "lanewheel/internal/rapidtest"
	"lanewheel/internal/setuptest"
)

var (
	start  = time.Unix(1_800_000_000, 0)
	policy = &Policy{
		Issuer:      "us",
		Audience:    "rota",
		Leeway:      30 * time.Second,
		MaxBytes:    2048,
		TenantClaim: "tenant",
		RolesClaim:  "roles",
	}
	limits = Limits{
		MaxCached:         16,
		MaxWaiting:        4,
		CPUFraction:       0.1,
		MaxSingleUseIDs:   3,
		KeyReloadInterval: time.Second,
	}
	keyPairs = map[string]*jose.JSONWebKey{}
)

// keyPair returns the key pair with an ID. It generates the pair on the first call only.
func keyPair(id, algorithm string) *jose.JSONWebKey {
	if keyPairs[id] == nil {
		keyPairs[id] = setuptest.Must(keyring.GenerateKey(algorithm))
		keyPairs[id].KeyID = id
	}
	return keyPairs[id]
}

// publishedSet returns a set of keys that are valid from one hour before start until one hour after it. IDs with the
// suffix "!" are published as withdrawn.
func publishedSet(ids ...string) *keyring.KeySet {
	files := map[string][]byte{}
	for _, id := range ids {
		name, withdrawn := strings.CutSuffix(id, "!")
		key := *keyPair(name, "EdDSA")
		files[name+".json"] = setuptest.Must(
			keyring.EncodePublic(key, start.Add(-time.Hour), start.Add(time.Hour), withdrawn))
	}
	return setuptest.Must(keyring.ParseSet(files))
}

// keyFinder returns a findKey argument for Verify that looks up keys in a set at a fixed time.
func keyFinder(set *keyring.KeySet, wall time.Time) func(keyring.KeyID) (*keyring.Key, authz.Denial) {
	ring := keyring.NewKeyring(set, time.Second)
	return func(id keyring.KeyID) (*keyring.Key, authz.Denial) { return ring.Find(id, wall) }
}

// claims returns the claims of a token that is valid for one minute from start. If change is not nil, it is applied to
// them.
func claims(change func(*jwt.Claims)) jwt.Claims {
	claims := jwt.Claims{
		Issuer:    "us",
		Subject:   "depot",
		Audience:  jwt.Audience{"rota"},
		ID:        "t1",
		NotBefore: jwt.NewNumericDate(start),
		Expiry:    jwt.NewNumericDate(start.Add(time.Minute)),
	}
	if change != nil {
		change(&claims)
	}
	return claims
}

// signToken returns a signed token with the given registered claims, a tenant and a role.
func signToken(key *jose.JSONWebKey, claims jwt.Claims, header map[jose.HeaderKey]any) string {
	signingKey := jose.SigningKey{Algorithm: jose.SignatureAlgorithm(key.Algorithm), Key: key}
	signer := setuptest.Must(jose.NewSigner(signingKey, &jose.SignerOptions{ExtraHeaders: header}))
	private := map[string]any{"tenant": "water", "roles": []string{"crew"}}
	return setuptest.Must(jwt.Signed(signer).Claims(claims).Claims(private).Serialize())
}

// goodToken returns a token with the given claims that is signed with the EdDSA key of an ID.
func goodToken(id string, change func(*jwt.Claims)) string {
	return signToken(keyPair(id, "EdDSA"), claims(change), nil)
}

// testVerifier drives a Verifier as an authenticator does. It performs checks immediately unless holdChecks is set.
type testVerifier struct {
	*Verifier
	now         time.Duration
	wall        time.Time
	published   *keyring.KeySet // the result of a read of the key folder
	checkCost   time.Duration   // simulated duration of a check
	checkCount  int
	reloadCount int
	holdChecks  bool
	heldChecks  []string
}

func newTestVerifier(ids ...string) *testVerifier {
	set := publishedSet(ids...)
	return &testVerifier{Verifier: NewVerifier(set, policy, nil, limits), wall: start, published: set}
}

func (v *testVerifier) advance(d time.Duration) {
	v.now += d
	v.wall = v.wall.Add(d)
}

// perform carries out a step and all steps that follow from it.
func (v *testVerifier) perform(step Step) {
	switch step.Action {
	case CheckToken:
		if v.holdChecks {
			v.heldChecks = append(v.heldChecks, step.Token)
			return
		}
		v.check(step.Token)
	case ReloadKeys:
		v.reloadCount++
		recheck, _ := v.HandleKeys(v.published)
		for _, raw := range recheck {
			v.perform(Step{CheckToken, raw})
		}
	}
}

func (v *testVerifier) check(raw string) {
	v.checkCount++
	set := v.KeySet()
	findKey := func(id keyring.KeyID) (*keyring.Key, authz.Denial) {
		if key := set.Find(id); key != nil {
			return key, key.CheckTime(v.wall)
		}
		return nil, keyring.UnknownKey
	}
	claims, denial := Verify(raw, findKey, v.Policy())
	result := CheckResult{Raw: raw, Claims: claims, Denial: denial, Duration: v.checkCost, KeySet: set}
	v.perform(v.HandleResult(v.now, v.wall, result))
}

// verdict looks up a token, requests its check if necessary, and returns the verdict as text, or "waiting" if the check
// is not done.
func (v *testVerifier) verdict(raw string) string {
	if entry, denial, found := v.Lookup(v.now, v.wall, raw); found {
		return verdictText(Verdict{Entry: entry, Denial: denial})
	}
	text := "waiting"
	v.perform(v.RequestCheck(v.now, raw, false, func(verdict Verdict) { text = verdictText(verdict) }))
	return text
}

func verdictText(verdict Verdict) string {
	switch {
	case verdict.Denial != "":
		return string(verdict.Denial)
	case verdict.Entry != nil:
		return "good"
	}
	return "retry after " + verdict.RetryAfter.Round(time.Millisecond).String()
}
