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

// A long form turns the keys every minute:  go test -run Rotation ./cmd/lanewheel -rotate-for 10m -rotate-every 1m
// -timeout 20m
var (
	rotateFor   = flag.Duration("rotate-for", 6*time.Second, "how long the load of TestRotation goes on")
	rotateEvery = flag.Duration("rotate-every", time.Second, "how often its keys turn; whole seconds")
)

// signingKey is a key as the test knows it: published before it signs, kept after it stops.
type signingKey struct {
	key    *jose.JSONWebKey
	retire time.Time
}

// issuer rotates keys and revokes tokens; it is also the oracle, which knows for each request what is right.
type issuer struct {
	deployment *authDeployment
	mu         sync.Mutex
	current    *signingKey
	serial     int
	revoked    map[string][2]time.Time // jti to when the list was being written, and when it was in force
	lastHonest issuedToken             // of an honest handheld's, to be taken back
	lines      strings.Builder
}

// issuedToken is a token with all that makes it good or not.
type issuedToken struct {
	raw, id, subject string
	expiry, retire   time.Time
	forged           bool
}

func (i *issuer) sign(subject string, span time.Duration, forge string) issuedToken {
	i.mu.Lock()
	defer i.mu.Unlock()
	i.serial++
	h := issuedToken{
		id: fmt.Sprint("t", i.serial), subject: subject,
		retire: i.current.retire, expiry: time.Now().Add(span).Truncate(time.Second),
	}
	key := *i.current.key
	switch forge {
	case "key": // signed by a key of its own under the id of ours
		key = *fake.Must(keyring.GenerateKey("EdDSA"))
		key.KeyID = i.current.key.KeyID
	case "id":
		key = *fake.Must(keyring.GenerateKey("EdDSA"))
	}
	s := fake.Must(jose.NewSigner(jose.SigningKey{Algorithm: jose.EdDSA, Key: key}, nil))
	h.raw = fake.Must(jwt.Signed(s).Claims(jwt.Claims{
		Issuer: "us", Audience: jwt.Audience{"rota"}, Subject: subject, ID: h.id,
		Expiry: jwt.NewNumericDate(h.expiry),
	}).Serialize())
	h.forged = forge != ""
	if forge == "body" {
		parts := strings.Split(h.raw, ".")
		body := fake.Must(base64.RawURLEncoding.DecodeString(parts[1]))
		parts[1] = base64.RawURLEncoding.EncodeToString(bytes.Replace(body, []byte(subject), []byte("water-99"), 1))
		h.raw = strings.Join(parts, ".")
	}
	if forge == "" && subject == "water-0" {
		i.lastHonest = h
	}
	return h
}

// expected tells what is right for an op at a moment: why it is to be denied, empty if it is not. unsure: a reload
// was under way.
func (i *issuer) expected(t issuedToken, tenant, kind string, at time.Time) (why string, unsure bool) {
	i.mu.Lock()
	defer i.mu.Unlock()
	taken, listed := i.revoked[t.id]
	switch {
	case t.forged:
		return "forged", false
	case !at.Before(t.retire):
		return "retired-key", false
	case !at.Before(t.expiry.Add(time.Second)): // the leeway
		return "expired", false
	case listed && at.After(taken[0]):
		return "revoked", taken[1].IsZero() || at.Before(taken[1])
	case tenant != strings.Split(t.subject, "-")[0]:
		return "tenant", false
	case kind == "set":
		return "type", false
	}
	return "", false
}

// rotate publishes the next key, signs with it once it is there, and retires the one before a while after that.
func (i *issuer) rotate(n int) {
	key := fake.Must(keyring.GenerateKey("EdDSA"))
	key.KeyID = fmt.Sprint("turn-", n)
	retire := time.Now().Truncate(time.Second).Add(3*(*rotateEvery) + time.Second)
	text := fake.Must(keyring.EncodePublic(*key, time.Now().Add(-time.Second), retire, false))
	path := filepath.Join(i.deployment.path("keys"), key.KeyID+".json")
	if err := keyring.WriteFileAtomic(path, text, 0o644); err != nil {
		panic(err)
	}
	if n%2 == 0 { // every other one is found by a look
		i.deployment.reloadOnce()
	}
	i.mu.Lock()
	i.current = &signingKey{key: key, retire: retire}
	i.mu.Unlock()
}

// revoke revokes a token and waits until that is in force.
func (i *issuer) revoke(t issuedToken) {
	i.mu.Lock()
	i.revoked[t.id] = [2]time.Time{time.Now(), {}}
	fmt.Fprintln(&i.lines, "jti", t.id)
	text := i.lines.String()
	i.mu.Unlock()
	if err := keyring.WriteFileAtomic(i.deployment.path("revoked.txt"), []byte(text), 0o644); err != nil {
		panic(err)
	}
	i.deployment.reloadOnce()
	i.mu.Lock()
	i.revoked[t.id] = [2]time.Time{i.revoked[t.id][0], time.Now()}
	i.mu.Unlock()
}

// reloadOnce asks for a reload that reads what is there now, and waits for it.
func (h *authDeployment) reloadOnce() {
	for range 2 { // one reading may have begun before the files were written
		before := h.reloads()
		h.sendHangup()
		fake.WaitFor("the reload", func() bool { return h.reloads() > before })
	}
}

// loadResult is what became of the requests, by how they came out and what was right.
type loadResult struct {
	mu                                                    sync.Mutex
	sent, succeeded, denied, rejected, failed, unanswered int
	violations                                            []string
	denials                                               map[string]int
	deniedIDs                                             map[string]bool
}

// recordExecuted counts a request that was not denied or rejected.
func (s *loadResult) recordExecuted(succeeded bool) {
	if succeeded {
		s.succeeded++
	} else {
		s.failed++
	}
}

// misbehave draws what a dishonest client does: it claims another's tenant, sends a class that it may not, or forges.
func misbehave(chance *rand.Rand, tenant, other string) (claims, kind, forge string) {
	switch chance.IntN(6) {
	case 0:
		return other, "view", ""
	case 1:
		return tenant, "set", ""
	case 2:
		return tenant, "view", [...]string{"key", "id", "body"}[chance.IntN(3)]
	}
	return tenant, "view", ""
}

// runClient sends one request after the other with tokens that it renews; an honest one has its own tenant and good
// tokens.
func (s *loadResult) runClient(i *issuer, k int, honest bool, end time.Time) {
	chance := rand.New(rand.NewPCG(uint64(k), 7))
	tenant, other := "water", "roads"
	if k%2 == 1 {
		tenant, other = other, tenant
	}
	conn := i.deployment.client()
	defer func() { conn.Close() }()
	var t issuedToken
	for n := 1; time.Now().Before(end); n++ {
		claims, kind, forge := tenant, "view", ""
		if !honest {
			claims, kind, forge = misbehave(chance, tenant, other)
		}
		// A token is used until well past its end, so that both sides of the end are seen.
		if t.raw == "" || forge != "" || t.forged || time.Since(t.expiry) > 1500*time.Millisecond || chance.IntN(200) == 0 {
			t = i.sign(fmt.Sprint(tenant, "-", k), time.Duration(chance.IntN(8))*(*rotateEvery)/2+time.Second, forge)
		}
		id := fmt.Sprintf("%08x%08x", k, n)
		before := time.Now()
		conn.Send(fake.NewRequest(n, kind, id, nil, "kb", "1", "cost", "1", "token", t.raw, "tenant", claims))
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
		first, unsure := i.expected(t, claims, kind, before)
		last, alsoUnsure := i.expected(t, claims, kind, after)
		sure := !unsure && !alsoUnsure
		why, _ := a.Fields["why"].(string)
		switch a.Error {
		case "Denied":
			s.denied++
			s.denials[why]++
			s.deniedIDs[id] = true
			if first == "" && last == "" && sure {
				s.violations = append(s.violations, fmt.Sprintf("refused %s %s of %s: %s", kind, claims, t.subject, why))
			}
		case "Busy":
			s.rejected++
		default:
			s.recordExecuted(a.Error == "")
			if first != "" && last != "" && sure {
				s.violations = append(s.violations,
					fmt.Sprintf("admitted %s %s of %s: should be %s", kind, claims, t.subject, first))
			}
		}
		s.mu.Unlock()
		if forged := why == "signature" || why == "unknown-key"; a.Error == "Denied" && forged && honest {
			conn.Close()
			conn = i.deployment.client()
		}
		time.Sleep(time.Duration(chance.IntN(20)) * time.Millisecond)
	}
}

// Keys are rotated, tokens revoked and files read again under a few hundred requests a second from clients of two
// tenants, honest and not: no wrongful denial, no wrongful admission, one response each, and nothing that was
// denied ever runs.
func TestRotation(t *testing.T) {
	h := deployWithAuth()
	defer h.close()
	var ran sync.Map
	h.database.AutoReply()
	h.runtime.AutoRun(2, 500*time.Microsecond, 1, func(id, kind, _ string) { ran.Store(id, kind) })
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
	for _, w := range s.violations[:min(len(s.violations), 10)] {
		t.Error(w)
	}
	for id := range s.deniedIDs {
		if kind, there := ran.Load(id); there {
			t.Errorf("%s was denied and ran as %s", id, kind)
		}
	}
	switch {
	case s.succeeded < 100 || s.denied < 50:
		t.Error("too little was asked to tell")
	case s.unanswered > 0:
		t.Error("an op without an answer")
	case s.failed > 0 || s.rejected*20 > s.sent:
		t.Error("requests that failed, or more than one in twenty rejected")
	}
	for _, why := range []string{"tenant", "type", "signature", "unknown-key", "expired", "revoked"} {
		if s.denials[why] == 0 {
			t.Errorf("nothing was denied for %s", why)
		}
	}
	h.sendTerminate()
	if code, _ := h.waitExit(); code != 0 {
		t.Error("exit code", code)
	}
}
