// Package keyring holds the keys that tokens are signed with: read whole or not at all from a folder of JWK sets (RFC
// 7517), each key with the times between which it counts. Decisions do no I/O and take the time as an argument; the
// functions of folder.go, generate.go and writefile.go read and write files.
package keyring

import (
	"crypto"
	"time"

	"github.com/go-jose/go-jose/v4"

	"lanewheel/internal/authz"
)

// KeyID is a key's kid.
type KeyID string

// Why a key does not count.
const (
	UnknownKey  authz.Denial = "unknown-key"   // no file has it
	notYetValid authz.Denial = "early-key"     // it is published, but its time has not come
	retired     authz.Denial = "retired-key"   // its time is over
	Withdrawn   authz.Denial = "withdrawn-key" // withdrawn before its time was over, or its file is gone
)

// Key is one public key. It never changes.
type Key struct {
	ID        KeyID
	Algorithm jose.SignatureAlgorithm // the only one that it counts for
	PublicKey crypto.PublicKey
	NotBefore time.Time // zero: always
	RetireAt  time.Time // the first moment at which it no longer counts; zero: never
	Withdrawn bool
	File      string
}

// CheckTime tells why a key does not count at a moment, empty if it does. That is the same for all instances, whenever
// they read the file.
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
	public, hasEqual := k.PublicKey.(interface{ Equal(crypto.PublicKey) bool })
	return hasEqual && k.Algorithm == other.Algorithm && public.Equal(other.PublicKey)
}
