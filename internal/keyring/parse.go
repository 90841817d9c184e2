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

// Members of a published key beside those of RFC 7517.
const (
	notBeforeMember = "nbf" // seconds since 1970
	retireAtMember  = "exp" // seconds since 1970
	withdrawnMember = "withdrawn"
)

const (
	signatureUse = "sig" // the only use of a key, in its member of that name

	maxUnixSeconds = 3e10 // far beyond any time that is meant, and far below one in milliseconds

	minRSABits = 2048 // shorter ones are weak
	maxRSABits = 4096 // longer ones take too long to verify with
)

// extensions are the members of a published key beside those of RFC 7517.
type extensions struct {
	NotBefore *float64 `json:"nbf"`
	RetireAt  *float64 `json:"exp"`
	Withdrawn bool     `json:"withdrawn"`
}

// addFile adds the keys of one file, and gives all that is wrong with it.
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
		report("", strconv.Itoa(len(text)), fmt.Sprintf("wants %d bytes or fewer", maxFileBytes))
		return diagnostics
	}
	for _, path := range duplicates { // readers differ in which of the two they take
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
		key, err := parseKey(raw)
		if err != nil {
			report(path, "", err.Error())
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

// parseKey reads one key. Its error says what is wanted of it.
func parseKey(raw json.RawMessage) (*Key, error) {
	var jwk jose.JSONWebKey
	if err := jwk.UnmarshalJSON(raw); err != nil {
		return nil, fmt.Errorf("can't be read: %w", err)
	}
	var extra extensions
	if err := json.Unmarshal(raw, &extra); err != nil {
		return nil, fmt.Errorf("can't be read: %w", err)
	}
	if jwk.KeyID == "" {
		return nil, errors.New("wants a kid")
	}
	// All instances read the folder, and whoever else can: a private key in it is no secret any more.
	if !jwk.IsPublic() {
		return nil, errors.New("wants a public key; this one is private or shared, and has to be replaced")
	}
	if jwk.Use != "" && jwk.Use != signatureUse {
		return nil, fmt.Errorf("wants the use %q", signatureUse)
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
		return nil, fmt.Errorf("wants the alg %s, which is what such a key is for", key.Algorithm)
	}
	if !key.RetireAt.IsZero() && !key.NotBefore.Before(key.RetireAt) {
		return nil, errors.New("wants an exp after its nbf")
	}
	return key, nil
}

// parseUnixTime gives the time of a member in seconds; nil: the zero time. A time in milliseconds, or one that nobody meant,
// would keep a key for ever.
func parseUnixTime(seconds *float64) (time.Time, error) {
	if seconds == nil {
		return time.Time{}, nil
	}
	if *seconds <= 0 || *seconds > maxUnixSeconds {
		return time.Time{}, errors.New("wants nbf and exp in seconds since 1970")
	}
	return time.UnixMilli(int64(*seconds * 1e3)), nil
}

// algorithmOf gives the one algorithm that a public key counts for.
func algorithmOf(public any) (jose.SignatureAlgorithm, error) {
	switch public := public.(type) {
	case ed25519.PublicKey:
		return jose.EdDSA, nil
	case *ecdsa.PublicKey:
		if public.Curve != elliptic.P256() {
			return "", errors.New("wants the curve P-256")
		}
		return jose.ES256, nil
	case *rsa.PublicKey:
		if bits := public.N.BitLen(); bits < minRSABits || bits > maxRSABits {
			return "", fmt.Errorf("wants a modulus of %d to %d bits", minRSABits, maxRSABits)
		}
		return jose.RS256, nil
	}
	return "", errors.New("wants a key of Ed25519, P-256 or RSA")
}
