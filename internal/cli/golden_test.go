package cli

import (
	"bytes"
	"encoding/base64"
	"encoding/json"
	"flag"
	"fmt"
	"io"
	"os"
	"path/filepath"
	"reflect"
	"slices"
	"strings"
	"testing"

	"github.com/alecthomas/kong"

	"lanewheel/internal/certs"
	"lanewheel/internal/keyring"
	"lanewheel/internal/setuptest"
)

var update = flag.Bool("update", false, "write the golden files anew from what the code says")

// listCommand lists a command with its flags and arguments, and all below it.
func listCommand(b *strings.Builder, n *kong.Node) {
	fmt.Fprintf(b, "%s", n.FullPath())
	if n.Hidden {
		b.WriteString(" (hidden)")
	}
	if n.DefaultCmd != nil {
		fmt.Fprintf(b, " (without a command: %s)", n.DefaultCmd.Name)
	}
	b.WriteString("\n")
	value := func(v *kong.Value) {
		fmt.Fprintf(b, " %s", v.Target.Type())
		if v.Required {
			b.WriteString(" required")
		}
		if v.HasDefault {
			fmt.Fprintf(b, " default %q", v.Default)
		}
		if v.Enum != "" {
			fmt.Fprintf(b, " one of %q", v.Enum)
		}
		if v.Tag.Type != "" {
			fmt.Fprintf(b, " type %s", v.Tag.Type)
		}
		b.WriteString("\n")
	}
	for _, arg := range n.Positional {
		fmt.Fprintf(b, "    <%s>", arg.Name)
		value(arg)
	}
	flags := slices.Clone(n.Flags)
	slices.SortFunc(flags, func(x, y *kong.Flag) int { return strings.Compare(x.Name, y.Name) })
	for _, f := range flags {
		fmt.Fprintf(b, "    --%s", f.Name)
		if f.Tag.Negatable != "" {
			b.WriteString(" (or --no-" + f.Name + ")")
		}
		if f.Hidden {
			b.WriteString(" (hidden)")
		}
		value(f.Value)
	}
	children := slices.Clone(n.Children)
	slices.SortFunc(children, func(x, y *kong.Node) int { return strings.Compare(x.Name, y.Name) })
	for _, child := range children {
		listCommand(b, child)
	}
}

// Every command, flag and argument that there was is there, under its name, with what holds without it.
func TestGoldenCommandLine(t *testing.T) {
	var l commandLine
	parser := setuptest.Must(kong.New(&l, kong.Name("lanewheel"), kong.Writers(io.Discard, io.Discard),
		kong.Vars{"user": "somebody"}))
	var b strings.Builder
	listCommand(&b, parser.Model.Node)
	const path = "testdata/golden/command-line.txt"
	if *update {
		if err := os.WriteFile(path, []byte(b.String()), 0o644); err != nil {
			t.Fatal(err)
		}
		return
	}
	if want := setuptest.Must(os.ReadFile(path)); b.String() != string(want) {
		t.Errorf("the command line is\n%s\nwant\n%s", b.String(), want)
	}
}

// run carries a command line out that has to succeed, and gives what it printed.
func run(t *testing.T, args ...string) string {
	t.Helper()
	var out, errs bytes.Buffer
	if code := Main(args, &out, &errs); code != 0 {
		t.Fatalf("%q ends with %d: %s%s", args, code, &out, &errs)
	}
	return out.String()
}

const goldenKeys = "../keyring/testdata/golden/"

// Keys are made, published and retired as they were when the golden files of the keyring were written.
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
		t.Errorf("a private key's file names %s", names)
	}
	if mode := setuptest.Must(os.Stat(filepath.Join(folder, "a_b.private"))).Mode(); mode != 0o600 {
		t.Errorf("a private key's file is %v", mode)
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

// A token has the header and the claims that it always had.
func TestGoldenToken(t *testing.T) {
	raw := run(t, "token", "issue", "--key", goldenKeys+"ed.private", "--issuer", "https://issuer.example", "--audience",
		"rota", "--subject", "handheld-7",
		"--tenant", "water", "--roles", "crew,visitor", "--jti", "t-ed", "--for", "2h")
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
	// Under other names, which the command line gives.
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

// An authority's folder, certificates and lists are as ever; a folder that was written before goes on.
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
		"h.example", "--host", "10.0.0.1", "--for", "1h")
	pair := setuptest.Must(certs.ParseKeyPair(setuptest.Must(os.ReadFile(path+".pem")), setuptest.Must(os.ReadFile(path+".key"))))
	if is := fmt.Sprint(pair.Certificate.Subject, pair.Certificate.URIs, pair.Certificate.DNSNames,
		pair.Certificate.IPAddresses); is != "CN=handheld [rota://water/7] [h.example] [10.0.0.1]" {
		t.Error(is)
	}
	run(t, "cert", "revoke", path+".pem", "--authority", folder, "--for", "1h")
	if len(setuptest.Must(os.ReadFile(filepath.Join(folder,
		"revoked.pem")))) <= len(setuptest.Must(os.ReadFile("../certs/testdata/golden/revoked.pem"))) {
		t.Error("the list has not grown")
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
