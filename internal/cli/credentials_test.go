package cli

import (
	"bytes"
	"encoding/base64"
	"encoding/json"
	"fmt"
	"os"
	"path/filepath"
	"reflect"
	"slices"
	"strings"
	"testing"

	"lanewheel/internal/certs"
	"lanewheel/internal/keyring"
	"lanewheel/internal/setuptest"
)

// run runs a command line that must succeed and returns its output.
func run(t *testing.T, args ...string) string {
	t.Helper()
	var out, errs bytes.Buffer
	if code := Main(args, &out, &errs); code != 0 {
		t.Fatalf("%q exits with %d: %s%s", args, code, &out, &errs)
	}
	return out.String()
}

const goldenKeys = "../keyring/testdata/golden/"

// TestGoldenKeys checks that publishing and retiring keys still writes the golden files of the keyring, and that a new
// private key has the same JSON members and file mode as before.
func TestGoldenKeys(t *testing.T) {
	folder := t.TempDir()
	run(t, "keys", "publish", goldenKeys+"ed.private", "--folder", folder, "--from", "2026-12-01T00:00:00Z", "--until",
		"2066-01-01T00:00:00Z")
	run(t, "keys", "publish", goldenKeys+"es.private", "--folder", folder)
	run(t, "keys", "publish", goldenKeys+"rs.private", "--folder", folder)
	run(t, "keys", "retire", "rs", "--folder", folder, "--now")
	for _, name := range []string{"ed.json", "es.json", "rs.json"} {
		got, want := setuptest.Must(os.ReadFile(filepath.Join(folder, name))), setuptest.Must(os.ReadFile(goldenKeys+name))
		if !bytes.Equal(got, want) {
			t.Errorf("%s is\n%swant\n%s", name, got, want)
		}
	}
	run(t, "keys", "new", "--private", folder, "--algorithm", "ES256", "--id", "a/b")
	key := setuptest.Must(keyring.LoadPrivateKey(filepath.Join(folder, "a_b.private")))
	if key.KeyID != "a/b" || key.Algorithm != "ES256" {
		t.Errorf("new key: %q %q", key.KeyID, key.Algorithm)
	}
	var members map[string]any
	if err := json.Unmarshal(setuptest.Must(os.ReadFile(filepath.Join(folder, "a_b.private"))), &members); err != nil {
		t.Fatal(err)
	}
	if names := sortedNames(members); names != "alg crv d kid kty use x y" {
		t.Errorf("the private key's file has the members %s", names)
	}
	if mode := setuptest.Must(os.Stat(filepath.Join(folder, "a_b.private"))).Mode(); mode != 0o600 {
		t.Errorf("the private key's file has the mode %v", mode)
	}
}

func sortedNames(members map[string]any) string {
	var names []string
	for name := range members {
		names = append(names, name)
	}
	slices.Sort(names)
	return strings.Join(names, " ")
}

// TestGoldenToken checks that the header and the claims of an issued token are unchanged.
func TestGoldenToken(t *testing.T) {
	raw := run(t, "token", "issue", "--key", goldenKeys+"ed.private", "--issuer", "https://issuer.example", "--audience",
		"rota", "--subject", "handheld-7",
		"--tenant", "water", "--roles", "crew,visitor", "--jti", "t-ed", "--validity", "2h")
	parts := strings.Split(strings.TrimSpace(raw), ".")
	var header, claims map[string]any
	for i, to := range []*map[string]any{&header, &claims} {
		if err := json.Unmarshal(setuptest.Must(base64.RawURLEncoding.DecodeString(parts[i])), to); err != nil {
			t.Fatal(err)
		}
	}
	if want := (map[string]any{"alg": "EdDSA", "kid": "ed", "typ": "JWT"}); !reflect.DeepEqual(header, want) {
		t.Errorf("header %v", header)
	}
	issued, _ := claims["iat"].(float64)
	want := map[string]any{"iss": "https://issuer.example", "aud": "rota", "sub": "handheld-7", "jti": "t-ed",
		"tenant": "water",
		"roles":  []any{"crew", "visitor"}, "iat": issued, "nbf": issued, "exp": issued + 7200}
	if issued == 0 || !reflect.DeepEqual(claims, want) {
		t.Errorf("claims %v, want %v", claims, want)
	}
	// The tenant and the roles are in the claims that the command line names.
	raw = run(t, "token", "issue", "--key", goldenKeys+"es.private", "--issuer", "i", "--audience", "a", "--subject",
		"s", "--tenant", "water", "--roles", "crew",
		"--tenant-claim", "org", "--roles-claim", "groups")
	claims = nil
	if err := json.Unmarshal(setuptest.Must(base64.RawURLEncoding.DecodeString(strings.Split(raw, ".")[1])),
		&claims); err != nil {
		t.Fatal(err)
	}
	if names := sortedNames(claims); names != "aud exp groups iat iss jti nbf org sub" {
		t.Errorf("claims %s", names)
	}
}

// TestGoldenCertificates checks that the files of a new authority and the fields of a certificate are unchanged, and
// that a folder written by an earlier version still works for issuing and revoking.
func TestGoldenCertificates(t *testing.T) {
	folder := t.TempDir()
	for _, name := range []string{"authority.pem", "authority.key", "revoked.pem"} {
		if err := os.WriteFile(filepath.Join(folder, name), setuptest.Must(os.ReadFile("../certs/testdata/golden/"+name)),
			0o600); err != nil {
			t.Fatal(err)
		}
	}
	path := filepath.Join(folder, "new")
	run(t, "cert", "issue", path, "--authority", folder, "--name", "handheld", "--uri", "rota://water/7", "--host",
		"h.example", "--host", "10.0.0.1", "--validity", "1h")
	certificate, key := setuptest.Must(os.ReadFile(path+".pem")), setuptest.Must(os.ReadFile(path+".key"))
	pair := setuptest.Must(certs.ParseKeyPair(certificate, key))
	if got := fmt.Sprint(pair.Certificate.Subject, pair.Certificate.URIs, pair.Certificate.DNSNames,
		pair.Certificate.IPAddresses); got != "CN=handheld [rota://water/7] [h.example] [10.0.0.1]" {
		t.Error(got)
	}
	run(t, "cert", "revoke", path+".pem", "--authority", folder, "--next-update", "1h")
	if len(setuptest.Must(os.ReadFile(filepath.Join(folder,
		"revoked.pem")))) <= len(setuptest.Must(os.ReadFile("../certs/testdata/golden/revoked.pem"))) {
		t.Error("the revocation list has not grown")
	}
	fresh := filepath.Join(folder, "fresh")
	run(t, "cert", "authority", fresh)
	var names []string
	for _, e := range setuptest.Must(os.ReadDir(fresh)) {
		names = append(names, e.Name())
	}
	if got := strings.Join(names, " "); got != "authority.key authority.pem revoked.pem" {
		t.Errorf("an authority's folder holds %s", got)
	}
}
