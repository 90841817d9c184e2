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

	"lanewheel/internal/authz"
	"lanewheel/internal/diagnostic"
)

// KeyID is a key's kid.
type KeyID string

// The reasons for which a key does not count.
const (
	UnknownKey  authz.Denial = "unknown-key"   // no file has it
	notYetValid authz.Denial = "early-key"     // published, but its time has not come
	retired     authz.Denial = "retired-key"   // its time is over
	Withdrawn   authz.Denial = "withdrawn-key" // taken back before its time, or its file is gone
)

// Key is one public key.
type Key struct {
	ID        KeyID
	Algorithm jose.SignatureAlgorithm // the only one that it counts for
	PublicKey crypto.PublicKey
	NotBefore time.Time // zero: always
	RetireAt  time.Time // the first moment at which it no longer counts; zero: never
	Withdrawn bool
	File      string
}

// CheckTime tells whether a key counts at a moment. It is a told time, the same for all instances, whenever they read the file.
func (k *Key) CheckTime(wall time.Time) authz.Denial {
	switch {
	case k.Withdrawn:
		return Withdrawn
	case wall.Before(k.NotBefore):
		return notYetValid
	case !k.RetireAt.IsZero() && !wall.Before(k.RetireAt):
		return retired
	}
	return ""
}

// SamePublicKey tells whether two keys are the same but for their ids and times.
func (k *Key) SamePublicKey(other *Key) bool {
	public, comparable := k.PublicKey.(interface{ Equal(crypto.PublicKey) bool })
	return comparable && k.Algorithm == other.Algorithm && public.Equal(other.PublicKey)
}

// KeySet is all keys of a folder. It never changes.
type KeySet struct {
	keys   map[KeyID]*Key
	digest [sha256.Size]byte
}

// Bounds of a folder: some rotations of some issuers, and far from what would hurt.
const (
	maxKeys      = 256
	maxFiles     = 64
	maxFileBytes = 256 << 10 // of one file
)

// Keys are all keys, by id.
func (s *KeySet) Keys() []*Key {
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
func (s *KeySet) Find(id KeyID) *Key {
	if s == nil {
		return nil
	}
	return s.keys[id]
}

// extensions is what stands in a published key beside what RFC 7517 knows.
type extensions struct {
	NotBefore *float64 `json:"nbf"`
	RetireAt  *float64 `json:"exp"`
	Withdrawn bool     `json:"withdrawn"`
}

// ParseSet makes a set of files, by their names. All of them have to be right. The error is a fault.List.
func ParseSet(files map[string][]byte) (*KeySet, error) {
	set := &KeySet{keys: map[KeyID]*Key{}}
	var diagnostics diagnostic.List
	digest := sha256.New()
	for _, name := range slices.Sorted(maps.Keys(files)) {
		text := files[name]
		fmt.Fprintf(digest, "%q%d:", name, len(text))
		digest.Write(text)
		diagnostics = append(diagnostics, set.addFile(name, text)...)
	}
	if len(set.keys) > maxKeys {
		diagnostics = append(diagnostics, diagnostic.Diagnostic{File: "keys", Value: strconv.Itoa(len(set.keys)), Want: fmt.Sprintf("wants %d keys or fewer", maxKeys)})
	}
	if err := diagnostics.Err(); err != nil {
		return nil, err
	}
	digest.Sum(set.digest[:0])
	return set, nil
}

// addFile takes the keys of one file in.
func (s *KeySet) addFile(name string, text []byte) (diagnostics diagnostic.List) {
	lines, duplicates := diagnostic.JSONLines(text)
	report := func(path, value, want string) {
		diagnostics = append(diagnostics, diagnostic.Diagnostic{File: name, Line: lines[path], Name: path, Value: value, Want: want})
	}
	if len(text) > maxFileBytes {
		report("", strconv.Itoa(len(text)), fmt.Sprintf("wants %d bytes or fewer", maxFileBytes))
		return diagnostics
	}
	for _, path := range duplicates { // Danger: readers that differ in which of the two they believe
		report(path, "", "stands twice")
	}
	var set struct {
		Keys []json.RawMessage `json:"keys"`
	}
	if err := json.Unmarshal(text, &set); err != nil {
		report("", "", "can't be read: "+err.Error())
		return diagnostics
	}
	if set.Keys == nil {
		report("keys", "", "wants a list of keys")
	}
	for i, raw := range set.Keys {
		path := fmt.Sprintf("keys.%d", i)
		key, want := parseKey(raw)
		if want != "" {
			report(path, "", want)
			continue
		}
		if other := s.keys[key.ID]; other != nil {
			report(path+".kid", string(key.ID), "is a key of "+other.File+" too")
			continue
		}
		key.File = name
		s.keys[key.ID] = key
	}
	return diagnostics
}

// parseKey takes one key apart, or tells what is wanted of it.
func parseKey(raw json.RawMessage) (*Key, string) {
	var jwk jose.JSONWebKey
	if err := jwk.UnmarshalJSON(raw); err != nil {
		return nil, "can't be read: " + err.Error()
	}
	var extra extensions
	if err := json.Unmarshal(raw, &extra); err != nil {
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
	key := &Key{ID: KeyID(jwk.KeyID), PublicKey: jwk.Key, Withdrawn: extra.Withdrawn}
	for _, bound := range []struct {
		from *float64
		to   *time.Time
	}{{extra.NotBefore, &key.NotBefore}, {extra.RetireAt, &key.RetireAt}} {
		if bound.from == nil {
			continue
		}
		// Danger: a time in milliseconds, or none that anybody meant, would keep a key for ever.
		if *bound.from <= 0 || *bound.from > 3e10 {
			return nil, "wants nbf and exp in seconds since 1970"
		}
		*bound.to = time.UnixMilli(int64(*bound.from * 1e3))
	}
	switch public := jwk.Key.(type) {
	case ed25519.PublicKey:
		key.Algorithm = jose.EdDSA
	case *ecdsa.PublicKey:
		if public.Curve != elliptic.P256() {
			return nil, "wants the curve P-256"
		}
		key.Algorithm = jose.ES256
	case *rsa.PublicKey:
		if bits := public.N.BitLen(); bits < 2048 || bits > 4096 { // below it is weak, above it takes our time
			return nil, "wants a modulus of 2048 to 4096 bits"
		}
		key.Algorithm = jose.RS256
	default:
		return nil, "wants a key of Ed25519, P-256 or RSA"
	}
	if jwk.Algorithm != "" && jwk.Algorithm != string(key.Algorithm) {
		return nil, fmt.Sprintf("wants the alg %s, which is what such a key is for", key.Algorithm)
	}
	if !key.RetireAt.IsZero() && !key.NotBefore.Before(key.RetireAt) {
		return nil, "wants an exp after its nbf"
	}
	return key, ""
}

// Keyring is the set in force, and when the folder is looked at again. It belongs to the owner loop.
type Keyring struct {
	set            *KeySet
	generation     uint64
	removed        map[KeyID]bool          // keys that were in force and whose files are gone
	removedOrder   []KeyID                 // the oldest first
	notFound       map[KeyID]time.Duration // when a look that did not find it was begun
	notFoundOrder  []KeyID
	reloadInterval time.Duration // between looks for unknown keys
	reloadStarted  time.Duration // when the last look was begun
	reloading      bool
	everReloaded   bool
}

// maxRememberedIDs is how many ids that are no keys are noted: forged ones push each other out, and cost a look at most.
const maxRememberedIDs = 1024

// NewKeyring starts with a set. every is the least time between two looks at the folder for unknown keys.
func NewKeyring(set *KeySet, reloadInterval time.Duration) *Keyring {
	return &Keyring{set: set, generation: 1, reloadInterval: reloadInterval, removed: map[KeyID]bool{}, notFound: map[KeyID]time.Duration{}}
}

// Generation changes with each set that is another one.
func (r *Keyring) Generation() uint64 { return r.generation }

// Reloading tells whether a look is under way.
func (r *Keyring) Reloading() bool { return r.reloading }

// Set is the one in force.
func (r *Keyring) Set() *KeySet { return r.set }

// Replace puts a new set in force and tells whether it is another one. Keys that are no longer in it count as withdrawn.
func (r *Keyring) Replace(set *KeySet) bool {
	if r.set != nil && set != nil && r.set.digest == set.digest {
		return false
	}
	for _, old := range r.set.Keys() {
		if set.Find(old.ID) == nil && !r.removed[old.ID] {
			r.removed[old.ID] = true
			r.removedOrder = append(r.removedOrder, old.ID)
			if len(r.removedOrder) > maxRememberedIDs {
				delete(r.removed, r.removedOrder[0])
				r.removedOrder = r.removedOrder[1:]
			}
		}
	}
	r.set = set
	r.generation++
	clear(r.notFound)
	r.notFoundOrder = r.notFoundOrder[:0]
	return true
}

// Find tells of a key at a moment: nil with the reason if it does not count then.
func (r *Keyring) Find(id KeyID, wall time.Time) (*Key, authz.Denial) {
	key := r.set.Find(id)
	switch {
	case key != nil:
		if denial := key.CheckTime(wall); denial != "" {
			return nil, denial
		}
		return key, ""
	case r.removed[id]:
		return nil, Withdrawn
	}
	return nil, UnknownKey
}

// UnknownKeyAction is what an unknown key leads to.
type UnknownKeyAction int

const (
	Deny       UnknownKeyAction = iota // the folder was looked at for this key a moment ago
	Reload                             // look at the folder now, and decide then
	Await                              // a look is under way
	RetryLater                         // the next look may be begun after a while
)

// ResolveUnknown decides what an unknown key leads to: one look at the folder for all that ask, not one each. Danger: forged tokens
// with ever new ids would keep the disk busy, and hold up a key that was published a moment ago.
func (r *Keyring) ResolveUnknown(now time.Duration, id KeyID) (UnknownKeyAction, time.Duration) {
	if at, recent := r.notFound[id]; recent && now-at < r.reloadInterval {
		return Deny, 0
	}
	switch {
	case r.reloading:
		return Await, 0
	case r.everReloaded && now-r.reloadStarted < r.reloadInterval:
		return RetryLater, r.reloadInterval - (now - r.reloadStarted)
	}
	r.reloading, r.everReloaded, r.reloadStarted = true, true, now
	return Reload, 0
}

// ReloadDone hears that a look is over, after Replace if it brought a set. Those ids that were sought and are still unknown are
// denied for as long as no other look may begin.
func (r *Keyring) ReloadDone(sought []KeyID) {
	r.reloading = false
	for _, id := range sought {
		if r.set.Find(id) != nil {
			continue
		}
		if _, known := r.notFound[id]; !known {
			r.notFoundOrder = append(r.notFoundOrder, id)
			if len(r.notFoundOrder) > maxRememberedIDs {
				delete(r.notFound, r.notFoundOrder[0])
				r.notFoundOrder = r.notFoundOrder[1:]
			}
		}
		r.notFound[id] = r.reloadStarted
	}
}
