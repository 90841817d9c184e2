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

// GenerateKey makes a key pair for an algorithm: EdDSA, ES256 or RS256. Its id is the key's thumbprint (RFC 7638).
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
		return nil, fmt.Errorf("algorithm %q: wants EdDSA, ES256 or RS256", algorithm)
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

// EncodePublic gives the text of a set with the public half of a key and the times between which it counts. A zero time
// is none.
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

// LoadPrivateKey reads a private key's file. Its errors hold nothing of the key.
func LoadPrivateKey(path string) (jose.JSONWebKey, error) {
	var key jose.JSONWebKey
	text, err := os.ReadFile(path)
	if err != nil {
		return key, err
	}
	if err := key.UnmarshalJSON(text); err != nil || key.IsPublic() || !key.Valid() {
		return key, fmt.Errorf("%s: wants a private key as \"keys new\" writes it", path)
	}
	return key, nil
}
