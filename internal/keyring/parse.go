package keyring

import (
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

	"lanewheel/internal/diagnostic"
)

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
