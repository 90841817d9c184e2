package keyring

import (
	"crypto/ecdsa"
	"crypto/ed25519"
	"crypto/elliptic"
	"crypto/rsa"
	"encoding/json"
	"errors"
	"fmt"
	"strconv"
	"time"

	"github.com/go-jose/go-jose/v4"

	"lanewheel/internal/diagnostic"
)

// The names of the members of a published key that RFC 7517 does not define.
const (
	notBeforeMember = "nbf" // seconds since 1970
	retireAtMember  = "exp" // seconds since 1970
	withdrawnMember = "withdrawn"
)

const (
	signatureUse = "sig" // the only accepted value of a key's use member

	// maxUnixSeconds is far later than any plausible time in seconds, and far below any recent time in milliseconds.
	maxUnixSeconds = 3e10

	minRSABits = 2048 // shorter keys are weak
	maxRSABits = 4096 // verification with longer keys takes too long
)

// extensions holds the members of a published key that RFC 7517 does not define.
type extensions struct {
	NotBefore *float64 `json:"nbf"`
	RetireAt  *float64 `json:"exp"`
	Withdrawn bool     `json:"withdrawn"`
}

// addFile adds the keys of one file and returns the faults of the file.
func (s *KeySet) addFile(name string, text []byte) diagnostic.List {
	var diagnostics diagnostic.List
	lines, duplicates := diagnostic.JSONLines(text)
	report := func(path, value, want string) {
		diagnostics = append(diagnostics, diagnostic.Diagnostic{
			File:  name,
			Line:  lines[path],
			Name:  path,
			Value: value,
			Want:  want,
		})
	}
	if len(text) > maxFileBytes {
		report("", strconv.Itoa(len(text)), fmt.Sprintf("must be at most %d bytes", maxFileBytes))
		return diagnostics
	}
	for _, path := range duplicates { // JSON parsers differ in which of the duplicates they use
		report(path, "", "must not appear more than once")
	}
	var set struct {
		Keys []json.RawMessage `json:"keys"`
	}
	if err := json.Unmarshal(text, &set); err != nil {
		report("", "", "cannot be parsed as a JWK set: "+err.Error())
		return diagnostics
	}
	if set.Keys == nil {
		report("keys", "", "must be a list of keys")
	}
	for i, raw := range set.Keys {
		path := fmt.Sprintf("keys.%d", i)
		key, err := parseKey(raw)
		if err != nil {
			report(path, "", err.Error())
			continue
		}
		if other := s.keys[key.ID]; other != nil {
			report(path+".kid", string(key.ID), "must be unique: "+other.File+" already has a key with this ID")
			continue
		}
		key.File = name
		s.keys[key.ID] = key
	}
	return diagnostics
}

// parseKey parses one key. The error states the requirement that the key does not meet.
func parseKey(raw json.RawMessage) (*Key, error) {
	var jwk jose.JSONWebKey
	if err := jwk.UnmarshalJSON(raw); err != nil {
		return nil, fmt.Errorf("cannot be parsed as a JWK: %w", err)
	}
	var extra extensions
	if err := json.Unmarshal(raw, &extra); err != nil {
		return nil, fmt.Errorf("cannot be parsed as a JWK: %w", err)
	}
	if jwk.KeyID == "" {
		return nil, errors.New("must have a kid")
	}
	// All instances, and possibly others, can read the folder: a private or symmetric key in it is no longer secret.
	if !jwk.IsPublic() {
		return nil, errors.New("must be a public key; this key is private or symmetric and must be replaced")
	}
	if jwk.Use != "" && jwk.Use != signatureUse {
		return nil, fmt.Errorf("use must be %q or absent", signatureUse)
	}
	key := &Key{ID: KeyID(jwk.KeyID), PublicKey: jwk.Key, Withdrawn: extra.Withdrawn}
	var err error
	if key.NotBefore, err = parseUnixTime(extra.NotBefore); err != nil {
		return nil, err
	}
	if key.RetireAt, err = parseUnixTime(extra.RetireAt); err != nil {
		return nil, err
	}
	if key.Algorithm, err = algorithmOf(jwk.Key); err != nil {
		return nil, err
	}
	if jwk.Algorithm != "" && jwk.Algorithm != string(key.Algorithm) {
		return nil, fmt.Errorf("alg must be %s for this type of key, or absent", key.Algorithm)
	}
	if !key.RetireAt.IsZero() && !key.NotBefore.Before(key.RetireAt) {
		return nil, errors.New("exp must be later than nbf")
	}
	return key, nil
}

// parseUnixTime converts seconds since 1970 to a time, and nil to the zero time. It returns an error unless the
// seconds are positive and at most maxUnixSeconds: with a time in milliseconds, or an implausible one, a key would
// never retire.
func parseUnixTime(seconds *float64) (time.Time, error) {
	if seconds == nil {
		return time.Time{}, nil
	}
	if *seconds <= 0 || *seconds > maxUnixSeconds {
		return time.Time{}, errors.New("nbf and exp must be in seconds since 1970")
	}
	return time.UnixMilli(int64(*seconds * 1e3)), nil
}

// algorithmOf returns the only algorithm that a public key is valid for. It returns an error for an unsupported key.
func algorithmOf(public any) (jose.SignatureAlgorithm, error) {
	switch public := public.(type) {
	case ed25519.PublicKey:
		return jose.EdDSA, nil
	case *ecdsa.PublicKey:
		if public.Curve != elliptic.P256() {
			return "", errors.New("must use the curve P-256")
		}
		return jose.ES256, nil
	case *rsa.PublicKey:
		if bits := public.N.BitLen(); bits < minRSABits || bits > maxRSABits {
			return "", fmt.Errorf("must have a modulus of %d to %d bits", minRSABits, maxRSABits)
		}
		return jose.RS256, nil
	}
	return "", errors.New("must be an Ed25519, P-256 or RSA key")
}
