// Package keyring holds the keys that tokens are signed with: read whole or not at all from a folder of JWK sets (RFC 7517),
// each key with the times between which it counts. What is decided here is pure; folder.go reads and writes files.
package keyring

import (
	"crypto"
	"crypto/ecdsa"
	"crypto/ed25519"
	"crypto/elliptic"
	"crypto/rsa"
	"crypto/sha256"
	"encoding/json"
	"fmt"
	"maps"
	"slices"
	"strconv"
	"time"

	"github.com/go-jose/go-jose/v4"

	"lanewheel/internal/fault"
	"lanewheel/internal/rights"
)

// KeyID is a key's kid.
type KeyID string

// The reasons for which a key does not count.
const (
	Unknown   rights.Denial = "unknown-key"   // no file has it
	Early     rights.Denial = "early-key"     // published, but its time has not come
	Retired   rights.Denial = "retired-key"   // its time is over
	Withdrawn rights.Denial = "withdrawn-key" // taken back before its time, or its file is gone
)

// Key is one public key.
type Key struct {
	ID        KeyID
	Algorithm jose.SignatureAlgorithm // the only one that it counts for
	Public    crypto.PublicKey
	NotBefore time.Time // zero: always
	Retire    time.Time // the first moment at which it no longer counts; zero: never
	Withdrawn bool
	File      string
}

// At tells whether a key counts at a moment. It is a told time, the same for all instances, whenever they read the file.
func (k *Key) At(wall time.Time) rights.Denial {
	switch {
	case k.Withdrawn:
		return Withdrawn
	case wall.Before(k.NotBefore):
		return Early
	case !k.Retire.IsZero() && !wall.Before(k.Retire):
		return Retired
	}
	return ""
}

// Set is all keys of a folder. It never changes.
type Set struct {
	keys   map[KeyID]*Key
	digest [sha256.Size]byte
}

// Bounds of a folder: some rotations of some issuers, and far from what would hurt.
const (
	mostKeys  = 256
	mostFiles = 64
	mostBytes = 256 << 10 // of one file
)

// Keys are all keys, by id.
func (s *Set) Keys() []*Key {
	if s == nil {
		return nil
	}
	return slices.SortedFunc(maps.Values(s.keys), func(a, b *Key) int {
		if a.ID < b.ID {
			return -1
		}
		return 1
	})
}

// Find gives a key, nil if the set has none of that id.
func (s *Set) Find(id KeyID) *Key {
	if s == nil {
		return nil
	}
	return s.keys[id]
}

// own is what stands in a published key beside what RFC 7517 knows.
type own struct {
	NotBefore *float64 `json:"nbf"`
	Retire    *float64 `json:"exp"`
	Withdrawn bool     `json:"withdrawn"`
}

// Read makes a set of files, by their names. All of them have to be right. The error is a fault.List.
func Read(files map[string][]byte) (*Set, error) {
	s := &Set{keys: map[KeyID]*Key{}}
	var faults fault.List
	sum := sha256.New()
	for _, name := range slices.Sorted(maps.Keys(files)) {
		text := files[name]
		fmt.Fprintf(sum, "%q%d:", name, len(text))
		sum.Write(text)
		faults = append(faults, s.file(name, text)...)
	}
	if len(s.keys) > mostKeys {
		faults = append(faults, fault.Diagnostic{File: "keys", Value: strconv.Itoa(len(s.keys)), Want: fmt.Sprintf("wants %d keys or fewer", mostKeys)})
	}
	if err := faults.Err(); err != nil {
		return nil, err
	}
	sum.Sum(s.digest[:0])
	return s, nil
}

// file takes the keys of one file in.
func (s *Set) file(name string, text []byte) (faults fault.List) {
	lines, twice := fault.JSONLines(text)
	wrong := func(path, value, want string) {
		faults = append(faults, fault.Diagnostic{File: name, Line: lines[path], Name: path, Value: value, Want: want})
	}
	if len(text) > mostBytes {
		wrong("", strconv.Itoa(len(text)), fmt.Sprintf("wants %d bytes or fewer", mostBytes))
		return faults
	}
	for _, path := range twice { // Danger: readers that differ in which of the two they believe
		wrong(path, "", "stands twice")
	}
	var set struct {
		Keys []json.RawMessage `json:"keys"`
	}
	if err := json.Unmarshal(text, &set); err != nil {
		wrong("", "", "can't be read: "+err.Error())
		return faults
	}
	if set.Keys == nil {
		wrong("keys", "", "wants a list of keys")
	}
	for i, raw := range set.Keys {
		path := fmt.Sprintf("keys.%d", i)
		key, want := read(raw)
		if want != "" {
			wrong(path, "", want)
			continue
		}
		if before := s.keys[key.ID]; before != nil {
			wrong(path+".kid", string(key.ID), "is a key of "+before.File+" too")
			continue
		}
		key.File = name
		s.keys[key.ID] = key
	}
	return faults
}

// read takes one key apart, or tells what is wanted of it.
func read(raw json.RawMessage) (*Key, string) {
	var jwk jose.JSONWebKey
	if err := jwk.UnmarshalJSON(raw); err != nil {
		return nil, "can't be read: " + err.Error()
	}
	var more own
	if err := json.Unmarshal(raw, &more); err != nil {
		return nil, "can't be read: " + err.Error()
	}
	if jwk.KeyID == "" {
		return nil, "wants a kid"
	}
	// Danger: a private key left where all instances read, and whoever else can.
	if !jwk.IsPublic() {
		return nil, "wants a public key; this one is private or shared, and has to be replaced"
	}
	if jwk.Use != "" && jwk.Use != "sig" {
		return nil, `wants the use "sig"`
	}
	k := &Key{ID: KeyID(jwk.KeyID), Public: jwk.Key, Withdrawn: more.Withdrawn}
	for _, told := range []struct {
		from *float64
		to   *time.Time
	}{{more.NotBefore, &k.NotBefore}, {more.Retire, &k.Retire}} {
		if told.from == nil {
			continue
		}
		// Danger: a time in milliseconds, or none that anybody meant, would keep a key for ever.
		if *told.from <= 0 || *told.from > 3e10 {
			return nil, "wants nbf and exp in seconds since 1970"
		}
		*told.to = time.UnixMilli(int64(*told.from * 1e3))
	}
	switch public := jwk.Key.(type) {
	case ed25519.PublicKey:
		k.Algorithm = jose.EdDSA
	case *ecdsa.PublicKey:
		if public.Curve != elliptic.P256() {
			return nil, "wants the curve P-256"
		}
		k.Algorithm = jose.ES256
	case *rsa.PublicKey:
		if bits := public.N.BitLen(); bits < 2048 || bits > 4096 { // below it is weak, above it takes our time
			return nil, "wants a modulus of 2048 to 4096 bits"
		}
		k.Algorithm = jose.RS256
	default:
		return nil, "wants a key of Ed25519, P-256 or RSA"
	}
	if jwk.Algorithm != "" && jwk.Algorithm != string(k.Algorithm) {
		return nil, fmt.Sprintf("wants the alg %s, which is what such a key is for", k.Algorithm)
	}
	if !k.Retire.IsZero() && !k.NotBefore.Before(k.Retire) {
		return nil, "wants an exp after its nbf"
	}
	return k, ""
}

// Ring is the set in force, and when the folder is looked at again. It belongs to the owner loop.
type Ring struct {
	set        *Set
	generation uint64
	gone       map[KeyID]bool          // keys that were in force and whose files are gone
	goneOrder  []KeyID                 // the oldest first
	missed     map[KeyID]time.Duration // when a look that did not find it was begun
	missOrder  []KeyID
	every      time.Duration // between looks for unknown keys
	looked     time.Duration // when the last look was begun
	looking    bool
	ever       bool
}

// mostNoted is how many ids that are no keys are noted: forged ones push each other out, and cost a look at most.
const mostNoted = 1024

// NewRing starts with a set. every is the least time between two looks at the folder for unknown keys.
func NewRing(set *Set, every time.Duration) *Ring {
	return &Ring{set: set, generation: 1, every: every, gone: map[KeyID]bool{}, missed: map[KeyID]time.Duration{}}
}

// Generation changes with each set that is another one.
func (r *Ring) Generation() uint64 { return r.generation }

// Looking tells whether a look is under way.
func (r *Ring) Looking() bool { return r.looking }

// Set is the one in force.
func (r *Ring) Set() *Set { return r.set }

// Replace puts a new set in force and tells whether it is another one. Keys that are no longer in it count as withdrawn.
func (r *Ring) Replace(set *Set) bool {
	if r.set != nil && set != nil && r.set.digest == set.digest {
		return false
	}
	for _, old := range r.set.Keys() {
		if set.Find(old.ID) == nil && !r.gone[old.ID] {
			r.gone[old.ID] = true
			r.goneOrder = append(r.goneOrder, old.ID)
			if len(r.goneOrder) > mostNoted {
				delete(r.gone, r.goneOrder[0])
				r.goneOrder = r.goneOrder[1:]
			}
		}
	}
	r.set = set
	r.generation++
	clear(r.missed)
	r.missOrder = r.missOrder[:0]
	return true
}

// Find tells of a key at a moment: nil with the reason if it does not count then.
func (r *Ring) Find(id KeyID, wall time.Time) (*Key, rights.Denial) {
	k := r.set.Find(id)
	switch {
	case k != nil:
		if why := k.At(wall); why != "" {
			return nil, why
		}
		return k, ""
	case r.gone[id]:
		return nil, Withdrawn
	}
	return nil, Unknown
}

// Step is what an unknown key leads to.
type Step int

const (
	Deny  Step = iota // the folder was looked at for this key a moment ago
	Look              // look at the folder now, and decide then
	Await             // a look is under way
	Later             // the next look may be begun after a while
)

// Seek decides what an unknown key leads to: one look at the folder for all that ask, not one each. Danger: forged tokens
// with ever new ids would keep the disk busy, and hold up a key that was published a moment ago.
func (r *Ring) Seek(now time.Duration, id KeyID) (Step, time.Duration) {
	if at, missed := r.missed[id]; missed && now-at < r.every {
		return Deny, 0
	}
	switch {
	case r.looking:
		return Await, 0
	case r.ever && now-r.looked < r.every:
		return Later, r.every - (now - r.looked)
	}
	r.looking, r.ever, r.looked = true, true, now
	return Look, 0
}

// Looked hears that a look is over, after Replace if it brought a set. Those ids that were sought and are still unknown are
// denied for as long as no other look may begin.
func (r *Ring) Looked(sought []KeyID) {
	r.looking = false
	for _, id := range sought {
		if r.set.Find(id) != nil {
			continue
		}
		if _, noted := r.missed[id]; !noted {
			r.missOrder = append(r.missOrder, id)
			if len(r.missOrder) > mostNoted {
				delete(r.missed, r.missOrder[0])
				r.missOrder = r.missOrder[1:]
			}
		}
		r.missed[id] = r.looked
	}
}
