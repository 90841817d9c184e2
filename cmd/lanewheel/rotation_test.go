package main

import (
	"bytes"
	"encoding/base64"
	"flag"
	"fmt"
	"math/rand/v2"
	"path/filepath"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/go-jose/go-jose/v4"
	"github.com/go-jose/go-jose/v4/jwt"

	"lanewheel/internal/fake"
	"lanewheel/internal/keyring"
)

// These flags set the duration of TestRotation and the interval of its key rotations. A long run rotates the keys
// every minute:
//
//	go test -run Rotation ./cmd/lanewheel -rotate-for 10m -rotate-every 1m -timeout 20m
var (
	rotateFor   = flag.Duration("rotate-for", 6*time.Second, "duration of the load of TestRotation")
	rotateEvery = flag.Duration("rotate-every", time.Second, "interval of key rotations in TestRotation, in whole seconds")
)

// signingKey is a key of the issuer. It is published before the first signature and stays published after the last.
type signingKey struct {
	key    *jose.JSONWebKey
	retire time.Time // tokens of this key are denied from this time on
}

// issuer rotates keys and revokes tokens. It is also the oracle that determines the expected result of each
// request. Its methods may be called by several goroutines.
type issuer struct {
	deployment     *authDeployment
	mu             sync.Mutex
	current        *signingKey
	serial         int
	revoked        map[string][2]time.Time // by jti: when writing of the list began, and when the list was in force
	lastHonest     issuedToken             // last token of the honest client water-0, to be revoked
	revocationList strings.Builder
}

// issuedToken is a token with the facts that determine whether it is valid.
type issuedToken struct {
	raw, id, subject string
	expiry, retire   time.Time
	forged           bool
}

// sign issues a token for subject. forge is empty, or the kind of forgery: a foreign key under the current key's id
// ("key"), a foreign key under an unknown id ("id"), or a changed subject under a valid signature ("body").
func (i *issuer) sign(subject string, validity time.Duration, forge string) issuedToken {
	i.mu.Lock()
	defer i.mu.Unlock()
	i.serial++
	token := issuedToken{
		id: fmt.Sprint("t", i.serial), subject: subject,
		retire: i.current.retire, expiry: time.Now().Add(validity).Truncate(time.Second),
	}
	key := *i.current.key
	switch forge {
	case "key":
		key = *fake.Must(keyring.GenerateKey("EdDSA"))
		key.KeyID = i.current.key.KeyID
	case "id":
		key = *fake.Must(keyring.GenerateKey("EdDSA"))
	}
	signer := fake.Must(jose.NewSigner(jose.SigningKey{Algorithm: jose.EdDSA, Key: key}, nil))
	token.raw = fake.Must(jwt.Signed(signer).Claims(jwt.Claims{
		Issuer: "us", Audience: jwt.Audience{"rota"}, Subject: subject, ID: token.id,
		Expiry: jwt.NewNumericDate(token.expiry),
	}).Serialize())
	token.forged = forge != ""
	if forge == "body" {
		parts := strings.Split(token.raw, ".")
		body := fake.Must(base64.RawURLEncoding.DecodeString(parts[1]))
		parts[1] = base64.RawURLEncoding.EncodeToString(bytes.Replace(body, []byte(subject), []byte("water-99"), 1))
		token.raw = strings.Join(parts, ".")
	}
	if forge == "" && subject == "water-0" {
		i.lastHonest = token
	}
	return token
}

// expectedDenial returns the reason for which a request at the given time must be denied, empty if it must be
// admitted. unsure is true if a reload was in progress at that time, so that either result is correct.
func (i *issuer) expectedDenial(t issuedToken, tenant, class string, at time.Time) (why string, unsure bool) {
	i.mu.Lock()
	defer i.mu.Unlock()
	revokedAt, listed := i.revoked[t.id]
	switch {
	case t.forged:
		return "forged", false
	case !at.Before(t.retire):
		return "retired-key", false
	case !at.Before(t.expiry.Add(time.Second)): // the leeway
		return "expired", false
	case listed && at.After(revokedAt[0]):
		return "revoked", revokedAt[1].IsZero() || at.Before(revokedAt[1])
	case tenant != strings.Split(t.subject, "-")[0]:
		return "tenant", false
	case class == "set":
		return "type", false
	}
	return "", false
}

// rotate publishes the next key and makes it the signing key. The key retires three rotation intervals and one second
// later. Every second key is read by a reload, the others when the instance finds their id in a token.
func (i *issuer) rotate(n int) {
	key := fake.Must(keyring.GenerateKey("EdDSA"))
	key.KeyID = fmt.Sprint("rotation-", n)
	retire := time.Now().Truncate(time.Second).Add(3*(*rotateEvery) + time.Second)
	text := fake.Must(keyring.EncodePublic(*key, time.Now().Add(-time.Second), retire, false))
	path := filepath.Join(i.deployment.path("keys"), key.KeyID+".json")
	if err := keyring.WriteFileAtomic(path, text, 0o644); err != nil {
		panic(err)
	}
	if n%2 == 0 {
		i.deployment.reloadFiles()
	}
	i.mu.Lock()
	i.current = &signingKey{key: key, retire: retire}
	i.mu.Unlock()
}

// revoke revokes a token and waits until the revocation is in force.
func (i *issuer) revoke(t issuedToken) {
	i.mu.Lock()
	i.revoked[t.id] = [2]time.Time{time.Now(), {}}
	fmt.Fprintln(&i.revocationList, "jti", t.id)
	text := i.revocationList.String()
	i.mu.Unlock()
	if err := keyring.WriteFileAtomic(i.deployment.path("revoked.txt"), []byte(text), 0o644); err != nil {
		panic(err)
	}
	i.deployment.reloadFiles()
	i.mu.Lock()
	i.revoked[t.id] = [2]time.Time{i.revoked[t.id][0], time.Now()}
	i.mu.Unlock()
}

// reloadFiles triggers two reloads one after the other and waits for each. The first wait may end with a reload that
// was already in progress and has read the previous files.
func (h *authDeployment) reloadFiles() {
	for range 2 {
		before := h.reloads()
		h.sendHangup()
		fake.WaitFor("the reload", func() bool { return h.reloads() > before })
	}
}

// loadResult counts the results of the requests and lists those that differ from the expected ones.
type loadResult struct {
	mu                                                    sync.Mutex
	sent, succeeded, denied, rejected, failed, unanswered int
	violations                                            []string
	denials                                               map[string]int
	deniedIDs                                             map[string]bool
}

// recordExecuted counts a request that was neither denied nor rejected. It must be called with mu held.
func (s *loadResult) recordExecuted(succeeded bool) {
	if succeeded {
		s.succeeded++
	} else {
		s.failed++
	}
}

// chooseRequest chooses at random the next request of a dishonest client: it claims another tenant, has a class for
// which the client has no permission, has a forged token, or is correct.
func chooseRequest(random *rand.Rand, tenant, other string) (claimed, class, forge string) {
	switch random.IntN(6) {
	case 0:
		return other, "view", ""
	case 1:
		return tenant, "set", ""
	case 2:
		return tenant, "view", [...]string{"key", "id", "body"}[random.IntN(3)]
	}
	return tenant, "view", ""
}

// runClient sends one request after the other until end and renews its tokens. An honest client uses its own tenant
// and tokens that are not forged.
func (s *loadResult) runClient(i *issuer, k int, honest bool, end time.Time) {
	random := rand.New(rand.NewPCG(uint64(k), 7))
	tenant, other := "water", "roads"
	if k%2 == 1 {
		tenant, other = other, tenant
	}
	conn := i.deployment.client()
	defer func() { conn.Close() }()
	var t issuedToken
	for n := 1; time.Now().Before(end); n++ {
		claimed, class, forge := tenant, "view", ""
		if !honest {
			claimed, class, forge = chooseRequest(random, tenant, other)
		}
		// A token is used until well after its expiry, so that requests before and after it are tested.
		if t.raw == "" || forge != "" || t.forged || time.Since(t.expiry) > 1500*time.Millisecond || random.IntN(200) == 0 {
			t = i.sign(fmt.Sprint(tenant, "-", k), time.Duration(random.IntN(8))*(*rotateEvery)/2+time.Second, forge)
		}
		id := fmt.Sprintf("%08x%08x", k, n)
		before := time.Now()
		conn.Send(fake.NewRequest(n, class, id, nil, "kb", "1", "cost", "1", "token", t.raw, "tenant", claimed))
		a, err := conn.NextResponse()
		after := time.Now()
		s.mu.Lock()
		s.sent++
		if err != nil || a.Number != n {
			s.unanswered++
			conn = i.deployment.client()
			s.mu.Unlock()
			t = issuedToken{}
			continue
		}
		whyBefore, unsureBefore := i.expectedDenial(t, claimed, class, before)
		whyAfter, unsureAfter := i.expectedDenial(t, claimed, class, after)
		sure := !unsureBefore && !unsureAfter
		why, _ := a.Fields["why"].(string)
		switch a.Error {
		case "Denied":
			s.denied++
			s.denials[why]++
			s.deniedIDs[id] = true
			if whyBefore == "" && whyAfter == "" && sure {
				s.violations = append(s.violations,
					fmt.Sprintf("denied %s of tenant %s by %s with reason %s", class, claimed, t.subject, why))
			}
		case "Busy":
			s.rejected++
		default:
			s.recordExecuted(a.Error == "")
			if whyBefore != "" && whyAfter != "" && sure {
				s.violations = append(s.violations, fmt.Sprintf("admitted %s of tenant %s by %s, must be denied with reason %s",
					class, claimed, t.subject, whyBefore))
			}
		}
		s.mu.Unlock()
		if forged := why == "signature" || why == "unknown-key"; a.Error == "Denied" && forged && honest {
			conn.Close()
			conn = i.deployment.client()
		}
		time.Sleep(time.Duration(random.IntN(20)) * time.Millisecond)
	}
}

// TestRotation rotates keys, revokes tokens and reloads files under a few hundred requests a second from honest and
// dishonest clients of two tenants. It checks that no request is wrongly denied or admitted, that each gets one
// response, and that a denied request never runs.
func TestRotation(t *testing.T) {
	h := deployWithAuth()
	defer h.close()
	var ran sync.Map
	h.database.AutoReply()
	h.runtime.AutoRun(2, 500*time.Microsecond, 1, func(id, class, _ string) { ran.Store(id, class) })
	i := &issuer{deployment: h, revoked: map[string][2]time.Time{}}
	i.rotate(0)
	s := &loadResult{denials: map[string]int{}, deniedIDs: map[string]bool{}}
	end := time.Now().Add(*rotateFor)
	var all sync.WaitGroup
	for k := range 10 {
		all.Add(1)
		go func() {
			defer all.Done()
			s.runClient(i, k, k < 6, end)
		}()
	}
	for n := 1; time.Now().Before(end); n++ {
		time.Sleep(*rotateEvery / 2)
		i.mu.Lock()
		last := i.lastHonest
		i.mu.Unlock()
		i.revoke(last)
		time.Sleep(*rotateEvery / 2)
		i.rotate(n)
	}
	all.Wait()
	t.Logf("sent %d, succeeded %d, denied %d %v, rejected %d, failed %d, unanswered %d",
		s.sent, s.succeeded, s.denied, s.denials, s.rejected, s.failed, s.unanswered)
	for _, violation := range s.violations[:min(len(s.violations), 10)] {
		t.Error(violation)
	}
	for id := range s.deniedIDs {
		if class, found := ran.Load(id); found {
			t.Errorf("request %s of class %s was denied but ran", id, class)
		}
	}
	switch {
	case s.succeeded < 100 || s.denied < 50:
		t.Errorf("%d requests succeeded and %d were denied, must be at least 100 and 50", s.succeeded, s.denied)
	case s.unanswered > 0:
		t.Errorf("%d requests were not answered", s.unanswered)
	case s.failed > 0 || s.rejected*20 > s.sent:
		t.Errorf("%d requests failed, must be 0; %d of %d were rejected, must be at most one in 20",
			s.failed, s.rejected, s.sent)
	}
	for _, why := range []string{"tenant", "type", "signature", "unknown-key", "expired", "revoked"} {
		if s.denials[why] == 0 {
			t.Errorf("no request was denied with reason %s", why)
		}
	}
	h.sendTerminate()
	if code, _ := h.waitExit(); code != 0 {
		t.Errorf("exit code %d, must be 0", code)
	}
}
