package keyring

import (
	"crypto"
	"crypto/ecdsa"
	"crypto/ed25519"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/rsa"
	"encoding/base64"
	"encoding/json"
	"fmt"
	"os"
	"time"

	"github.com/go-jose/go-jose/v4"
)

// GenerateKey generates a key pair for EdDSA, ES256 or RS256, and returns an error for any other algorithm. The key
// ID is the thumbprint of the key (RFC 7638).
func GenerateKey(algorithm string) (*jose.JSONWebKey, error) {
	var private crypto.Signer
	var err error
	switch jose.SignatureAlgorithm(algorithm) {
	case jose.EdDSA:
		_, private, err = ed25519.GenerateKey(rand.Reader)
	case jose.ES256:
		private, err = ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	case jose.RS256:
		private, err = rsa.GenerateKey(rand.Reader, minRSABits)
	default:
		return nil, fmt.Errorf("algorithm %q is not supported: must be EdDSA, ES256 or RS256", algorithm)
	}
	if err != nil {
		return nil, err
	}
	key := &jose.JSONWebKey{Key: private, Algorithm: algorithm, Use: signatureUse}
	thumbprint, err := key.Thumbprint(crypto.SHA256)
	if err != nil {
		return nil, err
	}
	key.KeyID = base64.RawURLEncoding.EncodeToString(thumbprint)
	return key, nil
}

// EncodePublic returns the JSON text of a JWK set that contains the public half of a key and its validity period. A
// zero time is left out.
func EncodePublic(key jose.JSONWebKey, notBefore, retireAt time.Time, withdrawn bool) ([]byte, error) {
	public := key.Public()
	text, err := public.MarshalJSON()
	if err != nil {
		return nil, err
	}
	var members map[string]any
	if err := json.Unmarshal(text, &members); err != nil {
		return nil, err
	}
	if !notBefore.IsZero() {
		members[notBeforeMember] = notBefore.Unix()
	}
	if !retireAt.IsZero() {
		members[retireAtMember] = retireAt.Unix()
	}
	if withdrawn {
		members[withdrawnMember] = true
	}
	set, err := json.MarshalIndent(map[string]any{"keys": []any{members}}, "", " ")
	return append(set, '\n'), err
}

// LoadPrivateKey reads a private key from a file. Its errors contain no part of the key.
func LoadPrivateKey(path string) (jose.JSONWebKey, error) {
	var key jose.JSONWebKey
	text, err := os.ReadFile(path)
	if err != nil {
		return key, err
	}
	if err := key.UnmarshalJSON(text); err != nil || key.IsPublic() || !key.Valid() {
		return key, fmt.Errorf("%s is not a private key in the format that \"keys new\" writes", path)
	}
	return key, nil
}
