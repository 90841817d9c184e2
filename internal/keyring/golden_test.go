package keyring

import (
	"bytes"
	"os"
	"path/filepath"
	"testing"
	"time"

	"github.com/go-jose/go-jose/v4"

	"lanewheel/internal/authz"
	"lanewheel/internal/setuptest"
)

// The files in testdata/golden were written by "lanewheel keys new", "keys publish" and "keys retire". Their keys are
// used in tests only.

// Stored private keys are read correctly, and encoding them again yields the same bytes.
func TestGoldenPrivateKeys(t *testing.T) {
	for name, algorithm := range map[string]string{"ed": "EdDSA", "es": "ES256", "rs": "RS256"} {
		path := filepath.Join("testdata/golden", name+".private")
		key := setuptest.Must(LoadPrivateKey(path))
		if key.KeyID != name || key.Algorithm != algorithm || key.Use != "sig" || !key.Valid() || key.IsPublic() {
			t.Errorf("%s: kid %q, alg %q, use %q", path, key.KeyID, key.Algorithm, key.Use)
		}
		text := append(setuptest.Must(key.MarshalJSON()), '\n')
		if want := setuptest.Must(os.ReadFile(path)); !bytes.Equal(text, want) {
			t.Errorf("%s is encoded as\n%swant\n%s", path, text, want)
		}
	}
}

// Published keys are read with all their members, and encoding them again yields the same bytes.
func TestGoldenPublishedKeys(t *testing.T) {
	set := setuptest.Must(LoadSet("testdata/golden"))
	from := time.Date(2026, 12, 1, 0, 0, 0, 0, time.UTC)
	until := time.Date(2066, 1, 1, 0, 0, 0, 0, time.UTC)
	wantKeys := []struct {
		key    Key          // without PublicKey and File
		early  authz.Denial // one second before from
		during authz.Denial // between from and until
		late   authz.Denial // at until
	}{
		{
			key:   Key{ID: "ed", Algorithm: jose.EdDSA, NotBefore: from, RetireAt: until},
			early: "early-key",
			late:  "retired-key",
		},
		{key: Key{ID: "es", Algorithm: jose.ES256}},
		{
			key:    Key{ID: "rs", Algorithm: jose.RS256, Withdrawn: true},
			early:  "withdrawn-key",
			during: "withdrawn-key",
			late:   "withdrawn-key",
		},
	}
	keys := set.Keys()
	if len(keys) != len(wantKeys) {
		t.Fatalf("%d keys, want %d", len(keys), len(wantKeys))
	}
	for i, want := range wantKeys {
		got := keys[i]
		if got.ID != want.key.ID || got.Algorithm != want.key.Algorithm || got.Withdrawn != want.key.Withdrawn ||
			!got.NotBefore.Equal(want.key.NotBefore) || !got.RetireAt.Equal(want.key.RetireAt) ||
			filepath.Base(got.File) != string(want.key.ID)+".json" {
			t.Errorf("%s is read as %+v", want.key.ID, got)
		}
		for at, denial := range map[time.Time]authz.Denial{
			from.Add(-time.Second): want.early,
			start:                  want.during,
			until:                  want.late,
		} {
			if gotDenial := got.CheckTime(at); gotDenial != denial {
				t.Errorf("%s at %v: %q, want %q", got.ID, at, gotDenial, denial)
			}
		}
		path := filepath.Join("testdata/golden", string(got.ID))
		private := setuptest.Must(LoadPrivateKey(path + ".private"))
		text := setuptest.Must(EncodePublic(private, got.NotBefore, got.RetireAt, got.Withdrawn))
		if stored := setuptest.Must(os.ReadFile(path + ".json")); !bytes.Equal(text, stored) {
			t.Errorf("%s is published as\n%swant\n%s", got.ID, text, stored)
		}
	}
}

// The texts of denials, which appear in responses, logs and command-line listings, must not change.
func TestGoldenDenials(t *testing.T) {
	for denial, want := range map[authz.Denial]string{
		UnknownKey:  "unknown-key",
		notYetValid: "early-key",
		retired:     "retired-key",
		Withdrawn:   "withdrawn-key",
	} {
		if string(denial) != want {
			t.Errorf("%q, want %q", denial, want)
		}
	}
}
