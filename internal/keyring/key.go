// Package keyring holds the public keys that verify token signatures. They are read from a folder of JWK sets (RFC
// 7517), in which each key has a validity period. If any file of the folder is invalid, no key of the folder is used.
// Keyring and KeySet do no I/O and take the time as an argument. The functions in folder.go, generate.go and
// writefile.go read and write files.
package keyring

import (
	"crypto"
	"time"

	"github.com/go-jose/go-jose/v4"

	"lanewheel/internal/authz"
)

// KeyID identifies a key: the kid member of its JWK.
type KeyID string

// The reasons for which a key is not valid.
const (
	UnknownKey  authz.Denial = "unknown-key"   // no file contains the key, and it is not remembered as removed
	notYetValid authz.Denial = "early-key"     // the key is published, but its validity period has not started
	retired     authz.Denial = "retired-key"   // the validity period of the key has ended
	Withdrawn   authz.Denial = "withdrawn-key" // marked in its file to end its validity early, or in no file any more
)

// Key is a public key. It is immutable once it is part of a KeySet.
type Key struct {
	ID        KeyID
	Algorithm jose.SignatureAlgorithm // the only algorithm that the key is valid for
	PublicKey crypto.PublicKey
	NotBefore time.Time // zero: valid from the start
	RetireAt  time.Time // the first moment at which the key is no longer valid; zero: no end
	Withdrawn bool
	File      string // the path of the file that contains the key
}

// CheckTime returns the denial if the key is not valid at the given time, and "" if it is valid. The result depends on
// the key's file and the time only, not on when an instance read the file.
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

// SamePublicKey reports whether two keys have the same algorithm and public key. Their IDs and times may differ.
func (k *Key) SamePublicKey(other *Key) bool {
	public, hasEqual := k.PublicKey.(interface{ Equal(crypto.PublicKey) bool })
	return hasEqual && k.Algorithm == other.Algorithm && public.Equal(other.PublicKey)
}
