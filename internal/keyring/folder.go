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
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"time"

	"github.com/go-jose/go-jose/v4"

	"lanewheel/internal/diagnostic"
)

// ReadFolder reads all files of a folder that end in .json, names with a dot in front left out: what is still being written
// has such a name.
func ReadFolder(path string) (map[string][]byte, error) {
	entries, err := os.ReadDir(path)
	if err != nil {
		return nil, diagnostic.List{{File: path, Want: "can't be read: " + err.Error()}}
	}
	files := map[string][]byte{}
	for _, entry := range entries {
		if entry.IsDir() || strings.HasPrefix(entry.Name(), ".") || !strings.HasSuffix(entry.Name(), ".json") {
			continue
		}
		name := filepath.Join(path, entry.Name())
		if len(files) >= maxFiles {
			return nil, diagnostic.List{{File: path, Want: fmt.Sprintf("wants %d files or fewer", maxFiles)}}
		}
		if info, err := entry.Info(); err == nil && info.Size() > maxFileBytes {
			return nil, diagnostic.List{{File: name, Want: fmt.Sprintf("wants %d bytes or fewer", maxFileBytes)}}
		}
		text, err := os.ReadFile(name)
		if err != nil {
			return nil, diagnostic.List{{File: name, Want: "can't be read: " + err.Error()}}
		}
		files[name] = text
	}
	return files, nil
}

// LoadSet reads the set of a folder.
func LoadSet(path string) (*KeySet, error) {
	files, err := ReadFolder(path)
	if err != nil {
		return nil, err
	}
	return ParseSet(files)
}

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
		private, err = rsa.GenerateKey(rand.Reader, 2048)
	default:
		return nil, fmt.Errorf("algorithm %q: wants EdDSA, ES256 or RS256", algorithm)
	}
	if err != nil {
		return nil, err
	}
	key := &jose.JSONWebKey{Key: private, Algorithm: algorithm, Use: "sig"}
	thumbprint, err := key.Thumbprint(crypto.SHA256)
	if err != nil {
		return nil, err
	}
	key.KeyID = base64.RawURLEncoding.EncodeToString(thumbprint)
	return key, nil
}

// EncodePublic gives the text of a set with the public half of a key and the times between which it counts; zero ones are none.
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
		members["nbf"] = notBefore.Unix()
	}
	if !retireAt.IsZero() {
		members["exp"] = retireAt.Unix()
	}
	if withdrawn {
		members["withdrawn"] = true
	}
	set, err := json.MarshalIndent(map[string]any{"keys": []any{members}}, "", " ")
	return append(set, '\n'), err
}

// WriteFileAtomic replaces a file whole: no reader sees a part of it.
func WriteFileAtomic(path string, text []byte, mode os.FileMode) error {
	temporary := filepath.Join(filepath.Dir(path), "."+filepath.Base(path)+".new")
	f, err := os.OpenFile(temporary, os.O_WRONLY|os.O_CREATE|os.O_TRUNC, mode)
	if err != nil {
		return err
	}
	_, err = f.Write(text)
	err = errors.Join(err, f.Chmod(mode), f.Sync(), f.Close())
	if err == nil {
		err = os.Rename(temporary, path)
	}
	if err != nil {
		_ = os.Remove(temporary)
	}
	return err
}

// LoadPrivateKey reads a private key's file.
func LoadPrivateKey(path string) (jose.JSONWebKey, error) {
	var key jose.JSONWebKey
	text, err := os.ReadFile(path)
	if err != nil {
		return key, err
	}
	if err := key.UnmarshalJSON(text); err != nil || key.IsPublic() || !key.Valid() {
		return key, fmt.Errorf("%s: wants a private key as \"keys new\" writes it", path) // never what stands in it
	}
	return key, nil
}
