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

// encodeTestKey makes a key's file; from and until are seconds after start, 0 for none.
func encodeTestKey(id, algorithm string, from, until int, withdrawn bool) []byte {
	k := setuptest.Must(GenerateKey(algorithm))
	k.KeyID = id
	at := func(s int) time.Time {
		if s == 0 {
			return time.Time{}
		}
		return start.Add(time.Duration(s) * time.Second)
	}
	return setuptest.Must(EncodePublic(*k, at(from), at(until), withdrawn))
}

// A key counts from its not-before until its retire-at, to the moment; what was taken back, what is gone and what nobody
// knows are told apart.
func Example_times() {
	set := setuptest.Must(ParseSet(map[string][]byte{"a.json": encodeTestKey("a", "EdDSA", 10, 20, false), "b.json": encodeTestKey("b", "ES256", 0, 0, false),
		"c.json": encodeTestKey("c", "RS256", 0, 0, true)}))
	r := NewKeyring(set, time.Second)
	for _, s := range []int{9, 10, 19, 20} {
		_, why := r.Find("a", start.Add(time.Duration(s)*time.Second))
		fmt.Printf("%d %q ", s, why)
	}
	for _, id := range []KeyID{"b", "c", "d"} {
		_, why := r.Find(id, start)
		fmt.Printf("%s %q ", id, why)
	}
	fmt.Println(r.Replace(set), r.Generation())
	fmt.Println(r.Replace(setuptest.Must(ParseSet(map[string][]byte{"c.json": encodeTestKey("d", "EdDSA", 0, 0, false)}))), r.Generation())
	_, gone := r.Find("b", start)
	fmt.Println(gone)
	// Output:
	// 9 "early-key" 10 "" 19 "" 20 "retired-key" b "" c "withdrawn-key" d "unknown-key" false 1
	// true 2
	// withdrawn-key
}

// What is wrong with a folder is told by file, line and name; with one thing wrong nothing of it counts.
func Example_faults() {
	good := string(encodeTestKey("a", "EdDSA", 0, 0, false))
	private := string(setuptest.Must(setuptest.Must(GenerateKey("EdDSA")).MarshalJSON()))
	for _, text := range []string{`{"keys":[`, `{}`, `{"keys":[{"kty":"oct","kid":"s","k":"c2VjcmV0"}]}`, `{"keys":[` + private + `]}`,
		strings.Replace(good, `"kid"`, `"nbf": 1800000000000, "kid"`, 1), strings.Replace(good, `"alg": "EdDSA"`, `"alg": "RS256"`, 1),
		strings.Replace(good, `"kid"`, `"kid": "z", "kid"`, 1), strings.Replace(good, `"a"`, `""`, 1),
		strings.Replace(good, `"kid"`, `"nbf": 20, "exp": 10, "kid"`, 1)} {
		_, err := ParseSet(map[string][]byte{"f.json": []byte(text)})
		fmt.Println(err)
	}
	_, err := ParseSet(map[string][]byte{"f.json": []byte(good), "g.json": []byte(good)})
	fmt.Println(err)
	// Output:
	// f.json:1: can't be read: unexpected end of JSON input
	// f.json: keys: wants a list of keys
	// f.json:1: keys.0: wants a public key; this one is private or shared, and has to be replaced
	// f.json:1: keys.0: wants a public key; this one is private or shared, and has to be replaced
	// f.json:3: keys.0: wants nbf and exp in seconds since 1970
	// f.json:3: keys.0: wants the alg EdDSA, which is what such a key is for
	// f.json:3: keys.0: can't be read: json: duplicate key 'kid' in object (and 1 more)
	// f.json:3: keys.0: wants a kid
	// f.json:3: keys.0: wants an exp after its nbf
	// g.json:6: keys.0.kid: is "a", is a key of f.json too
}

// Ever so many unknown ids lead to one look a second; a key that is published after a look is found by the next.
func Example_reloads() {
	r := NewKeyring(setuptest.Must(ParseSet(nil)), time.Second)
	say := func(now time.Duration, id KeyID) {
		step, after := r.ResolveUnknown(now, id)
		fmt.Print(now, " ", id, [...]string{" deny", " look", " await", " later "}[step], after, "; ")
	}
	say(0, "x")
	say(0, "y")
	r.ReloadDone([]KeyID{"x"})
	say(0, "x")
	say(300*time.Millisecond, "y")
	say(time.Second, "y")
	r.Replace(setuptest.Must(ParseSet(map[string][]byte{"y.json": encodeTestKey("y", "EdDSA", 0, 0, false)})))
	r.ReloadDone([]KeyID{"y"})
	_, why := r.Find("y", start)
	fmt.Printf("%q\n", why)
	looks := 0
	for i := range 100_000 {
		if step, _ := r.ResolveUnknown(time.Duration(i)*100*time.Microsecond+2*time.Second, KeyID(fmt.Sprint(i))); step == Reload {
			looks++
			r.ReloadDone([]KeyID{KeyID(fmt.Sprint(i))})
		}
	}
	fmt.Println(looks, len(r.notFound) <= maxRememberedIDs)
	// Output:
	// 0s x look0s; 0s y await0s; 0s x deny0s; 300ms y later 700ms; 1s y look0s; ""
	// 10 true
}

// A file that is cut after any of its bytes is no set, or the same one; never another.
func TestCut(t *testing.T) {
	whole := encodeTestKey("a", "ES256", 10, 20, false)
	for n := range len(whole) {
		set, err := ParseSet(map[string][]byte{"a.json": whole[:n]})
		if err == nil && (len(set.Keys()) != 1 || !set.Find("a").RetireAt.Equal(start.Add(20*time.Second))) {
			t.Fatalf("cut after %d bytes it reads as %v", n, set.Keys())
		}
	}
}

// Files are replaced whole, private keys are for their owner, and what is being written is no part of the folder.
func Example_write() {
	dir := setuptest.Must(os.MkdirTemp("", "keys"))
	defer os.RemoveAll(dir)
	path := filepath.Join(dir, "a.json")
	fmt.Println(WriteFileAtomic(path, encodeTestKey("a", "EdDSA", 0, 0, false), 0o600))
	_ = os.WriteFile(filepath.Join(dir, ".b.json.new"), []byte("{"), 0o600)
	fmt.Println(setuptest.Must(os.Stat(path)).Mode(), len(setuptest.Must(LoadSet(dir)).Keys()))
	_ = os.WriteFile(filepath.Join(dir, "b.json"), bytes.Repeat([]byte{' '}, maxFileBytes+1), 0o600)
	_, err := LoadSet(dir)
	fmt.Println(strings.ReplaceAll(err.Error(), dir, "DIR"))
	// Output:
	// <nil>
	// -rw------- 1
	// DIR/b.json: wants 262144 bytes or fewer
}

// The ring against a table of what was published when.
func TestKeyring(t *testing.T) {
	type key struct{ from, until int }
	pool := map[string][]byte{}
	file := func(id string, k key) []byte {
		name := fmt.Sprint(id, k)
		if pool[name] == nil {
			pool[name] = encodeTestKey(id, "EdDSA", k.from, k.until, false)
		}
		return pool[name]
	}
	rapid.Check(t, func(t *rapid.T) {
		r := NewKeyring(setuptest.Must(ParseSet(nil)), time.Second)
		ever := map[string]bool{}
		for range rapid.IntRange(1, 6).Draw(t, "reloads") {
			files := map[string][]byte{}
			table := map[string]key{}
			for _, id := range []string{"a", "b", "c"} {
				if rapid.Bool().Draw(t, "there") {
					k := key{rapid.IntRange(1, 3).Draw(t, "from"), rapid.IntRange(4, 6).Draw(t, "until")}
					files[id+".json"], table[id] = file(id, k), k
					ever[id] = true
				}
			}
			r.Replace(setuptest.Must(ParseSet(files)))
			at := rapid.IntRange(0, 7).Draw(t, "at")
			for _, id := range []string{"a", "b", "c", "d"} {
				want := authz.Denial("")
				switch k, there := table[id]; {
				case !there && ever[id]:
					want = Withdrawn
				case !there:
					want = UnknownKey
				case at < k.from:
					want = notYetValid
				case at >= k.until:
					want = retired
				}
				if _, why := r.Find(KeyID(id), start.Add(time.Duration(at)*time.Second)); why != want {
					t.Fatalf("%s at %d: %q, want %q", id, at, why, want)
				}
			}
		}
	})
}

func FuzzRead(f *testing.F) {
	f.Add(encodeTestKey("a", "EdDSA", 1, 2, false))
	f.Add([]byte(`{"keys":[{"kty":"oct","k":"AA","kid":"x"},{"kty":"RSA","n":"AQ","e":"AQAB","kid":"y","x5c":["AA"]}]}`))
	f.Fuzz(func(t *testing.T, text []byte) {
		set, err := ParseSet(map[string][]byte{"f.json": text})
		if err != nil {
			return
		}
		for _, k := range set.Keys() {
			if k.ID == "" || k.PublicKey == nil || k.Algorithm == "" {
				t.Fatalf("a key without what it needs: %+v", k)
			}
		}
	})
}
