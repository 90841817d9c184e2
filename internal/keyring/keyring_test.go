package keyring

import (
	"bytes"
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"pgregory.net/rapid"

	"lanewheel/internal/authz"
	_ "lanewheel/internal/rapidtest"
	"lanewheel/internal/setuptest"
)

var start = time.Unix(1_800_000_000, 0)

// lifetime is the validity period of a key, in seconds after start. 0 means no limit.
type lifetime struct{ from, until int }

func (l lifetime) times() (notBefore, retireAt time.Time) {
	at := func(seconds int) time.Time {
		if seconds == 0 {
			return time.Time{}
		}
		return start.Add(time.Duration(seconds) * time.Second)
	}
	return at(l.from), at(l.until)
}

// encodeTestKey generates a key and returns the content of the file that publishes it.
func encodeTestKey(id, algorithm string, period lifetime, withdrawn bool) []byte {
	key := setuptest.Must(GenerateKey(algorithm))
	key.KeyID = id
	notBefore, retireAt := period.times()
	return setuptest.Must(EncodePublic(*key, notBefore, retireAt, withdrawn))
}

// A key is valid from NotBefore until just before RetireAt. Find returns different denials for unknown keys and for
// keys that are withdrawn or removed from the folder.
func Example_validity() {
	set := setuptest.Must(ParseSet(map[string][]byte{
		"a.json": encodeTestKey("a", "EdDSA", lifetime{10, 20}, false),
		"b.json": encodeTestKey("b", "ES256", lifetime{}, false),
		"c.json": encodeTestKey("c", "RS256", lifetime{}, true),
	}))
	ring := NewKeyring(set, time.Second)
	for _, seconds := range []int{9, 10, 19, 20} {
		_, denial := ring.Find("a", start.Add(time.Duration(seconds)*time.Second))
		fmt.Printf("%d %q ", seconds, denial)
	}
	for _, id := range []KeyID{"b", "c", "d"} {
		_, denial := ring.Find(id, start)
		fmt.Printf("%s %q ", id, denial)
	}
	fmt.Println(ring.Replace(set), ring.Set() == set)
	other := setuptest.Must(ParseSet(map[string][]byte{"c.json": encodeTestKey("d", "EdDSA", lifetime{}, false)}))
	fmt.Println(ring.Replace(other), ring.Set() == other)
	_, denial := ring.Find("b", start)
	fmt.Println(denial)
	// Output:
	// 9 "early-key" 10 "" 19 "" 20 "retired-key" b "" c "withdrawn-key" d "unknown-key" false true
	// true true
	// withdrawn-key
}

// Faults of key files are reported with file, line and name. If any file is invalid, ParseSet returns no set.
func Example_invalidFiles() {
	good := string(encodeTestKey("a", "EdDSA", lifetime{}, false))
	private := string(setuptest.Must(setuptest.Must(GenerateKey("EdDSA")).MarshalJSON()))
	replaceIn := func(member, text string) string { return strings.Replace(good, member, text, 1) }
	for _, text := range []string{
		`{"keys":[`,
		`{}`,
		`{"keys":[{"kty":"oct","kid":"s","k":"c2VjcmV0"}]}`,
		`{"keys":[` + private + `]}`,
		replaceIn(`"kid"`, `"nbf": 1800000000000, "kid"`),
		replaceIn(`"alg": "EdDSA"`, `"alg": "RS256"`),
		replaceIn(`"kid"`, `"kid": "z", "kid"`),
		replaceIn(`"a"`, `""`),
		replaceIn(`"kid"`, `"nbf": 20, "exp": 10, "kid"`),
	} {
		_, err := ParseSet(map[string][]byte{"f.json": []byte(text)})
		fmt.Println(err)
	}
	_, err := ParseSet(map[string][]byte{"f.json": []byte(good), "g.json": []byte(good)})
	fmt.Println(err)
	// Output:
	// f.json:1: cannot be parsed as a JWK set: unexpected end of JSON input
	// f.json: keys: must be a list of keys
	// f.json:1: keys.0: must be a public key; this key is private or symmetric and must be replaced
	// f.json:1: keys.0: must be a public key; this key is private or symmetric and must be replaced
	// f.json:3: keys.0: nbf and exp must be in seconds since 1970
	// f.json:3: keys.0: alg must be EdDSA for this type of key, or absent
	// f.json:3: keys.0: cannot be parsed as a JWK: json: duplicate key 'kid' in object (and 1 more)
	// f.json:3: keys.0: must have a kid
	// f.json:3: keys.0: exp must be later than nbf
	// g.json:6: keys.0.kid: is "a", must be unique: f.json already has a key with this ID
}

// Unknown key IDs, however many, cause at most one read per second. A key that is published after a read is found by
// the next one.
func Example_reloads() {
	ring := NewKeyring(setuptest.Must(ParseSet(nil)), time.Second)
	resolve := func(now time.Duration, id KeyID) {
		action, retryAfter := ring.ResolveUnknown(now, id)
		fmt.Println(now, id, action, retryAfter)
	}
	resolve(0, "x")
	resolve(0, "y")
	ring.ReloadDone([]KeyID{"x"})
	resolve(0, "x")
	resolve(300*time.Millisecond, "y")
	resolve(time.Second, "y")
	published := map[string][]byte{"y.json": encodeTestKey("y", "EdDSA", lifetime{}, false)}
	ring.Replace(setuptest.Must(ParseSet(published)))
	ring.ReloadDone([]KeyID{"y"})
	_, denial := ring.Find("y", start)
	fmt.Printf("%q\n", denial)
	reloads := 0
	for i := range 100_000 {
		id := KeyID(fmt.Sprint(i))
		now := time.Duration(i)*100*time.Microsecond + 2*time.Second
		if action, _ := ring.ResolveUnknown(now, id); action == Reload {
			reloads++
			ring.ReloadDone([]KeyID{id})
		}
	}
	fmt.Println(reloads, ring.notFound.Len() <= maxRememberedIDs)
	// Output:
	// 0s x reload 0s
	// 0s y await 0s
	// 0s x deny 0s
	// 300ms y retry later 700ms
	// 1s y reload 0s
	// ""
	// 10 true
}

// A key file that is truncated after any byte is rejected or parses to the same set, never to a different one.
func TestTruncatedFile(t *testing.T) {
	text := encodeTestKey("a", "ES256", lifetime{10, 20}, false)
	for n := range len(text) {
		set, err := ParseSet(map[string][]byte{"a.json": text[:n]})
		if err == nil && (len(set.Keys()) != 1 || !set.Find("a").RetireAt.Equal(start.Add(20*time.Second))) {
			t.Fatalf("truncated after %d bytes, the file parses as %v", n, set.Keys())
		}
	}
}

// WriteFileAtomic sets the given file mode. LoadSet skips files that are being written, and rejects files that are too
// long.
func Example_writeFileAtomic() {
	dir := setuptest.Must(os.MkdirTemp("", "keys"))
	defer func() { _ = os.RemoveAll(dir) }() // best effort: the system cleans up temporary folders
	path := filepath.Join(dir, "a.json")
	fmt.Println(WriteFileAtomic(path, encodeTestKey("a", "EdDSA", lifetime{}, false), 0o600))
	fmt.Println(os.WriteFile(filepath.Join(dir, ".b.json.new"), []byte("{"), 0o600))
	fmt.Println(setuptest.Must(os.Stat(path)).Mode(), len(setuptest.Must(LoadSet(dir)).Keys()))
	tooLong := bytes.Repeat([]byte{' '}, maxFileBytes+1)
	fmt.Println(os.WriteFile(filepath.Join(dir, "b.json"), tooLong, 0o600))
	_, err := LoadSet(dir)
	fmt.Println(strings.ReplaceAll(err.Error(), dir, "DIR"))
	// Output:
	// <nil>
	// <nil>
	// -rw------- 1
	// <nil>
	// DIR/b.json: must be at most 262144 bytes
}

// keyringModel records which keys are published and which ones have ever been published.
type keyringModel struct {
	published     map[string]lifetime
	everPublished map[string]bool
}

// drawReload draws a new set of published keys.
func (m *keyringModel) drawReload(t *rapid.T) {
	m.published = map[string]lifetime{}
	for _, id := range []string{"a", "b", "c"} {
		if rapid.Bool().Draw(t, "published") {
			from := rapid.IntRange(1, 3).Draw(t, "from")
			m.published[id] = lifetime{from, rapid.IntRange(4, 6).Draw(t, "until")}
			m.everPublished[id] = true
		}
	}
}

// denial returns the denial that the keyring must return for a key, seconds after start.
func (m *keyringModel) denial(id string, seconds int) authz.Denial {
	period, published := m.published[id]
	switch {
	case !published && m.everPublished[id]:
		return Withdrawn
	case !published:
		return UnknownKey
	case seconds < period.from:
		return notYetValid
	case seconds >= period.until:
		return retired
	}
	return ""
}

// TestKeyring compares a keyring with a model over random reloads and times.
func TestKeyring(t *testing.T) {
	files := map[string][]byte{} // reused, as generating keys is slow
	encodedFile := func(id string, period lifetime) []byte {
		name := fmt.Sprint(id, period)
		if files[name] == nil {
			files[name] = encodeTestKey(id, "EdDSA", period, false)
		}
		return files[name]
	}
	rapid.Check(t, func(t *rapid.T) {
		ring := NewKeyring(setuptest.Must(ParseSet(nil)), time.Second)
		model := keyringModel{everPublished: map[string]bool{}}
		for range rapid.IntRange(1, 6).Draw(t, "reloads") {
			model.drawReload(t)
			folder := map[string][]byte{}
			for id, period := range model.published {
				folder[id+".json"] = encodedFile(id, period)
			}
			ring.Replace(setuptest.Must(ParseSet(folder)))
			seconds := rapid.IntRange(0, 7).Draw(t, "seconds")
			wall := start.Add(time.Duration(seconds) * time.Second)
			for _, id := range []string{"a", "b", "c", "d"} {
				want := model.denial(id, seconds)
				if _, denial := ring.Find(KeyID(id), wall); denial != want {
					t.Fatalf("%s at %d: %q, want %q", id, seconds, denial, want)
				}
			}
		}
	})
}

func FuzzParseSet(f *testing.F) {
	f.Add(encodeTestKey("a", "EdDSA", lifetime{1, 2}, false))
	f.Add([]byte(`{"keys":[{"kty":"oct","k":"AA","kid":"x"},{"kty":"RSA","n":"AQ","e":"AQAB","kid":"y","x5c":["AA"]}]}`))
	f.Fuzz(func(t *testing.T, text []byte) {
		set, err := ParseSet(map[string][]byte{"f.json": text})
		if err != nil {
			return
		}
		for _, key := range set.Keys() {
			if key.ID == "" || key.PublicKey == nil || key.Algorithm == "" {
				t.Fatalf("key without an ID, a public key or an algorithm: %+v", key)
			}
		}
	})
}

func TestSamePublicKey(t *testing.T) {
	parse := func(text []byte) *Key {
		return setuptest.Must(ParseSet(map[string][]byte{"a.json": text})).Find("a")
	}
	key := setuptest.Must(GenerateKey("EdDSA"))
	key.KeyID = "a"
	first := parse(setuptest.Must(EncodePublic(*key, time.Time{}, time.Time{}, false)))
	later := parse(setuptest.Must(EncodePublic(*key, start, time.Time{}, false)))
	if !first.SamePublicKey(later) {
		t.Error("keys that differ only in their times are reported as different")
	}
	for _, algorithm := range []string{"EdDSA", "ES256"} {
		if other := parse(encodeTestKey("a", algorithm, lifetime{}, false)); first.SamePublicKey(other) {
			t.Errorf("a different key for %s is reported as the same", algorithm)
		}
	}
}
