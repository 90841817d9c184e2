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

// The files of testdata/golden were written by "lanewheel keys new", "keys publish" and "keys retire". Their keys
// are for this test alone.

// Private keys read as what they are, and are written again to the byte.
func TestGoldenPrivate(t *testing.T) {
	for name, algorithm := range map[string]string{"ed": "EdDSA", "es": "ES256", "rs": "RS256"} {
		path := filepath.Join("testdata/golden", name+".private")
		key := setuptest.Must(LoadPrivateKey(path))
		if key.KeyID != name || key.Algorithm != algorithm || key.Use != "sig" || !key.Valid() || key.IsPublic() {
			t.Errorf("%s: kid %q, alg %q, use %q", path, key.KeyID, key.Algorithm, key.Use)
		}
		text := append(setuptest.Must(key.MarshalJSON()), '\n')
		if want := setuptest.Must(os.ReadFile(path)); !bytes.Equal(text, want) {
			t.Errorf("%s is written as\n%swant\n%s", path, text, want)
		}
	}
}

// A folder of published keys reads with all that each says, and each file is written again to the byte.
func TestGoldenPublished(t *testing.T) {
	set := setuptest.Must(LoadSet("testdata/golden"))
	from, until := time.Date(2026, 12, 1, 0, 0, 0, 0, time.UTC), time.Date(2066, 1, 1, 0, 0, 0, 0, time.UTC)
	want := []struct {
		id          KeyID
		algorithm   jose.SignatureAlgorithm
		from, until time.Time
		withdrawn   bool
		early, late authz.Denial // a second before the first moment, and at the last
		between     authz.Denial
	}{
		{id: "ed", algorithm: jose.EdDSA, from: from, until: until, early: "early-key", late: "retired-key"},
		{id: "es", algorithm: jose.ES256},
		{id: "rs", algorithm: jose.RS256, withdrawn: true, early: "withdrawn-key", late: "withdrawn-key",
			between: "withdrawn-key"},
	}
	all := set.Keys()
	if len(all) != len(want) {
		t.Fatalf("%d keys", len(all))
	}
	for i, w := range want {
		k := all[i]
		if k.ID != w.id || k.Algorithm != w.algorithm || !k.NotBefore.Equal(w.from) || !k.RetireAt.Equal(w.until) ||
			k.Withdrawn != w.withdrawn ||
			filepath.Base(k.File) != string(w.id)+".json" {
			t.Errorf("%s reads as %+v", w.id, k)
		}
		for at, why := range map[time.Time]authz.Denial{from.Add(-time.Second): w.early, start: w.between, until: w.late} {
			if got := k.CheckTime(at); got != why {
				t.Errorf("%s at %v: %q, want %q", w.id, at, got, why)
			}
		}
		path := filepath.Join("testdata/golden", string(w.id))
		private := setuptest.Must(LoadPrivateKey(path + ".private"))
		text := setuptest.Must(EncodePublic(private, k.NotBefore, k.RetireAt, k.Withdrawn))
		if stored := setuptest.Must(os.ReadFile(path + ".json")); !bytes.Equal(text, stored) {
			t.Errorf("%s is published as\n%swant\n%s", w.id, text, stored)
		}
	}
}

// The names and reasons that are spoken, in answers, logs and listings.
func TestGoldenReasons(t *testing.T) {
	for reason, want := range map[authz.Denial]string{UnknownKey: "unknown-key", notYetValid: "early-key",
		retired: "retired-key", Withdrawn: "withdrawn-key"} {
		if string(reason) != want {
			t.Errorf("%q, want %q", reason, want)
		}
	}
}
