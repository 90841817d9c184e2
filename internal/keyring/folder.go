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

	"lanewheel/internal/fault"
)

// Folder reads all files of a folder that end in .json, names with a dot in front left out: what is still being written
// has such a name.
func Folder(path string) (map[string][]byte, error) {
	entries, err := os.ReadDir(path)
	if err != nil {
		return nil, fault.List{{File: path, Want: "can't be read: " + err.Error()}}
	}
	files := map[string][]byte{}
	for _, e := range entries {
		if e.IsDir() || strings.HasPrefix(e.Name(), ".") || !strings.HasSuffix(e.Name(), ".json") {
			continue
		}
		name := filepath.Join(path, e.Name())
		if len(files) >= mostFiles {
			return nil, fault.List{{File: path, Want: fmt.Sprintf("wants %d files or fewer", mostFiles)}}
		}
		if info, err := e.Info(); err == nil && info.Size() > mostBytes {
			return nil, fault.List{{File: name, Want: fmt.Sprintf("wants %d bytes or fewer", mostBytes)}}
		}
		text, err := os.ReadFile(name)
		if err != nil {
			return nil, fault.List{{File: name, Want: "can't be read: " + err.Error()}}
		}
		files[name] = text
	}
	return files, nil
}

// Load reads the set of a folder.
func Load(path string) (*Set, error) {
	files, err := Folder(path)
	if err != nil {
		return nil, err
	}
	return Read(files)
}

// New makes a key pair for an algorithm: EdDSA, ES256 or RS256. Its id is the key's thumbprint (RFC 7638).
func New(algorithm string) (*jose.JSONWebKey, error) {
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
	k := &jose.JSONWebKey{Key: private, Algorithm: algorithm, Use: "sig"}
	print, err := k.Thumbprint(crypto.SHA256)
	if err != nil {
		return nil, err
	}
	k.KeyID = base64.RawURLEncoding.EncodeToString(print)
	return k, nil
}

// Publish gives the text of a set with the public half of a key and the times between which it counts; zero ones are none.
func Publish(k jose.JSONWebKey, notBefore, retire time.Time, withdrawn bool) ([]byte, error) {
	public := k.Public()
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
	if !retire.IsZero() {
		members["exp"] = retire.Unix()
	}
	if withdrawn {
		members["withdrawn"] = true
	}
	set, err := json.MarshalIndent(map[string]any{"keys": []any{members}}, "", " ")
	return append(set, '\n'), err
}

// Write replaces a file whole: no reader sees a part of it.
func Write(path string, text []byte, mode os.FileMode) error {
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

// Private reads a private key's file.
func Private(path string) (jose.JSONWebKey, error) {
	var k jose.JSONWebKey
	text, err := os.ReadFile(path)
	if err != nil {
		return k, err
	}
	if err := k.UnmarshalJSON(text); err != nil || k.IsPublic() || !k.Valid() {
		return k, fmt.Errorf("%s: wants a private key as \"keys new\" writes it", path) // never what stands in it
	}
	return k, nil
}
