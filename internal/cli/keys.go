package cli

import (
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"os"
	"path/filepath"
	"strings"
	"text/tabwriter"
	"time"

	"github.com/go-jose/go-jose/v4"
	"github.com/go-jose/go-jose/v4/jwt"

	"lanewheel/internal/authz"
	"lanewheel/internal/keyring"
	"lanewheel/internal/lifecycle"
	"lanewheel/internal/tokens"
)

// keysCommand makes and looks after the keys that tokens are signed with.
type keysCommand struct {
	New     keysNew     `cmd:"" name:"new" help:"Make a key pair; the private half is written for its owner alone, and nothing is published."`
	List    keysList    `cmd:"" name:"list" help:"List the published keys of a folder and what they count for now."`
	Publish keysPublish `cmd:"" name:"publish" help:"Publish the public half of a key, with the times between which it counts."`
	Retire  keysRetire  `cmd:"" name:"retire" help:"Tell when a published key stops to count, or take it back now."`
}

type keysNew struct {
	PrivateDir string `name:"private" help:"Folder for the private key." required:"" type:"path"`
	Algorithm  string `name:"algorithm" help:"EdDSA, ES256 or RS256." enum:"EdDSA,ES256,RS256" default:"EdDSA"`
	KeyID      string `name:"id" help:"The key's id; without it, its thumbprint." placeholder:"KID"`
}

func (c *keysNew) Run(o output) error {
	key, err := keyring.GenerateKey(c.Algorithm)
	if err != nil {
		return err
	}
	if c.KeyID != "" {
		key.KeyID = c.KeyID
	}
	text, err := key.MarshalJSON()
	if err != nil {
		return err
	}
	path := filepath.Join(c.PrivateDir, keyFileName(key.KeyID)+".private")
	if _, err := os.Stat(path); err == nil {
		return fmt.Errorf("%s is there already", path)
	}
	if err := os.MkdirAll(c.PrivateDir, 0o700); err != nil {
		return err
	}
	if err := keyring.WriteFileAtomic(path, append(text, '\n'), 0o600); err != nil {
		return err
	}
	fmt.Fprintf(o.out, "%s\t%s\t%s\n", key.KeyID, c.Algorithm, path)
	return nil
}

// keyFileName makes a file's name of a key's id, which may hold anything.
func keyFileName(id string) string {
	return strings.Map(func(r rune) rune {
		if r == '-' || r == '_' || r >= '0' && r <= '9' || r >= 'A' && r <= 'Z' || r >= 'a' && r <= 'z' {
			return r
		}
		return '_'
	}, id)
}

type keysList struct {
	Folder string `name:"folder" help:"Folder of the published keys." required:"" type:"path"`
}

func (c *keysList) Run(o output) error {
	set, err := keyring.LoadSet(c.Folder)
	if err != nil {
		return err
	}
	table := tabwriter.NewWriter(o.out, 0, 0, 2, ' ', 0)
	fmt.Fprintln(table, "key\talgorithm\tnow\tfrom\tuntil\tfile")
	for _, key := range set.Keys() {
		status := key.CheckTime(time.Now())
		if status == "" {
			status = "counts"
		}
		fmt.Fprintf(table, "%s\t%s\t%s\t%s\t%s\t%s\n", key.ID, key.Algorithm, status, formatTime(key.NotBefore), formatTime(key.RetireAt), filepath.Base(key.File))
	}
	return table.Flush()
}

func formatTime(t time.Time) string {
	if t.IsZero() {
		return "-"
	}
	return t.UTC().Format(time.RFC3339)
}

// validityFlags are two ends of a time, each told as a moment or from now.
type validityFlags struct {
	From  string `name:"from" help:"When it begins to count: RFC 3339, or a time from now as 10m. Without it, always." placeholder:"WHEN"`
	Until string `name:"until" help:"When it stops to count: RFC 3339, or a time from now as 720h. Without it, never." placeholder:"WHEN"`
}

// parseTime reads a moment, or a time from now.
func parseTime(text string) (time.Time, error) {
	if text == "" {
		return time.Time{}, nil
	}
	if fromNow, err := time.ParseDuration(text); err == nil {
		return time.Now().Add(fromNow), nil
	}
	t, err := time.Parse(time.RFC3339, text)
	if err != nil {
		return t, fmt.Errorf("%q: wants a moment as 2027-01-31T06:00:00Z, or a time from now as 36h", text)
	}
	return t, nil
}

type keysPublish struct {
	Key    string `arg:"" name:"key" help:"File of the private key." type:"path"`
	Folder string `name:"folder" help:"Folder of the published keys, which instances read." required:"" type:"path"`
	validityFlags
}

func (c *keysPublish) Run(o output) error {
	key, err := keyring.LoadPrivateKey(c.Key)
	if err != nil {
		return err
	}
	from, err := parseTime(c.From)
	if err != nil {
		return err
	}
	until, err := parseTime(c.Until)
	if err != nil {
		return err
	}
	return publishKey(o, c.Folder, key, from, until, false)
}

// publishKey writes a key's file, and proves that the folder is good with it before instances see it.
func publishKey(o output, folder string, key jose.JSONWebKey, from, until time.Time, withdrawn bool) error {
	text, err := keyring.EncodePublic(key, from, until, withdrawn)
	if err != nil {
		return err
	}
	if err := os.MkdirAll(folder, 0o755); err != nil {
		return err
	}
	path := filepath.Join(folder, keyFileName(key.KeyID)+".json")
	files, err := keyring.ReadFolder(folder)
	if err != nil {
		return err
	}
	files[path] = text
	if _, err := keyring.ParseSet(files); err != nil {
		return err
	}
	if err := keyring.WriteFileAtomic(path, text, 0o644); err != nil {
		return err
	}
	fmt.Fprintf(o.out, "%s\tfrom %s until %s\t%s\n", key.KeyID, formatTime(from), formatTime(until), path)
	return nil
}

type keysRetire struct {
	KeyID    string `arg:"" name:"kid" help:"The key's id."`
	Folder   string `name:"folder" help:"Folder of the published keys." required:"" type:"path"`
	RetireAt string `name:"at" help:"When it stops to count: RFC 3339, or a time from now." placeholder:"WHEN"`
	Withdraw bool   `name:"now" help:"Take it back now: whatever it signed counts no more."`
}

func (c *keysRetire) Run(o output) error {
	if c.Withdraw == (c.RetireAt != "") {
		return errors.New("wants one of --at and --now")
	}
	at, err := parseTime(c.RetireAt)
	if err != nil {
		return err
	}
	set, err := keyring.LoadSet(c.Folder)
	if err != nil {
		return err
	}
	key := set.Find(keyring.KeyID(c.KeyID))
	if key == nil {
		return fmt.Errorf("%s has no key %q", c.Folder, c.KeyID)
	}
	if c.Withdraw {
		at = key.RetireAt
	}
	if filepath.Base(key.File) != keyFileName(c.KeyID)+".json" {
		return fmt.Errorf("%s was not written by \"keys publish\": change it there", key.File)
	}
	return publishKey(o, c.Folder, jose.JSONWebKey{Key: key.PublicKey, KeyID: c.KeyID, Algorithm: string(key.Algorithm), Use: "sig"},
		key.NotBefore, at, c.Withdraw || key.Withdrawn)
}

// tokenCommand issues and shows tokens.
type tokenCommand struct {
	Issue tokenIssue `cmd:"" name:"issue" help:"Sign a token and print it."`
	Show  tokenShow  `cmd:"" name:"show" help:"Show what a token says and, with an operator's file, whether it counts now."`
}

type tokenIssue struct {
	Key         string        `name:"key" help:"File of the private key." required:"" type:"path"`
	Issuer      string        `name:"issuer" required:"" help:"Who issues it, as the instances are told."`
	Audience    string        `name:"audience" required:"" help:"For whom it is, as the instances are told."`
	Subject     string        `name:"subject" required:"" help:"Whom it is for, as handheld-7."`
	Tenant      string        `name:"tenant" help:"Tenant, in the claim that --tenant-claim names."`
	Roles       []string      `name:"roles" help:"Roles, in the claim that --roles-claim names." placeholder:"ROLE,..."`
	TenantClaim string        `name:"tenant-claim" default:"tenant" help:"Name of the claim with the tenant."`
	RolesClaim  string        `name:"roles-claim" default:"roles" help:"Name of the claim with the roles."`
	Validity    time.Duration `name:"for" default:"1h" help:"How long it counts."`
	TokenID     string        `name:"jti" help:"Its id; without one, it has one drawn at random."`
}

func (c *tokenIssue) Run(o output) error {
	key, err := keyring.LoadPrivateKey(c.Key)
	if err != nil {
		return err
	}
	signer, err := jose.NewSigner(jose.SigningKey{Algorithm: jose.SignatureAlgorithm(key.Algorithm), Key: key},
		(&jose.SignerOptions{}).WithType("JWT"))
	if err != nil {
		return err
	}
	id := c.TokenID
	if id == "" {
		id = tokens.NewID()
	}
	now := time.Now()
	claims := jwt.Claims{Issuer: c.Issuer, Subject: c.Subject, Audience: jwt.Audience{c.Audience}, ID: id,
		IssuedAt: jwt.NewNumericDate(now), NotBefore: jwt.NewNumericDate(now), Expiry: jwt.NewNumericDate(now.Add(c.Validity))}
	private := map[string]any{}
	if c.Tenant != "" {
		private[c.TenantClaim] = c.Tenant
	}
	if len(c.Roles) > 0 {
		private[c.RolesClaim] = c.Roles
	}
	text, err := jwt.Signed(signer).Claims(claims).Claims(private).Serialize()
	if err != nil {
		return err
	}
	fmt.Fprintln(o.out, text)
	return nil
}

type tokenShow struct {
	File     string `arg:"" name:"file" help:"File with the token, - for standard input." default:"-"`
	Operator string `name:"operator" help:"Operator's file, whose keys and rules it is checked by." placeholder:"FILE" type:"path"`
}

func (c *tokenShow) Run(o output) error {
	var text []byte
	var err error
	if c.File == "-" {
		text, err = io.ReadAll(io.LimitReader(os.Stdin, 1<<16))
	} else {
		text, err = os.ReadFile(c.File)
	}
	if err != nil {
		return err
	}
	raw := strings.TrimSpace(string(text))
	token, err := jwt.ParseSigned(raw, []jose.SignatureAlgorithm{jose.EdDSA, jose.ES256, jose.RS256})
	if err != nil {
		return err
	}
	var claims map[string]any
	if err := token.UnsafeClaimsWithoutVerification(&claims); err != nil {
		return err
	}
	body, err := json.MarshalIndent(claims, "", " ")
	if err != nil {
		return err
	}
	fmt.Fprintf(o.out, "algorithm %s, key %s\n%s\n", token.Headers[0].Algorithm, token.Headers[0].KeyID, body)
	if c.Operator == "" {
		return nil
	}
	operatorConfig, err := lifecycle.LoadOperatorConfig(c.Operator)
	if err != nil {
		return err
	}
	if operatorConfig.Authn == nil || operatorConfig.Authn.KeySet == nil {
		return errors.New("the operator's file has no tokens")
	}
	callers := operatorConfig.Authn
	denial := verifyNow(raw, callers.KeySet, callers.TokenPolicy, callers.RevokedTokens)
	if denial != "" {
		fmt.Fprintf(o.out, "denied: %s\n", denial)
		return errReported
	}
	fmt.Fprintln(o.out, "good")
	return nil
}

// verifyNow tells whether a token counts now, as an instance would.
func verifyNow(raw string, keys *keyring.KeySet, policy *tokens.Policy, revoked *tokens.Revocations) authz.Denial {
	now := time.Now()
	ring := keyring.NewKeyring(keys, time.Second)
	claims, denial := tokens.Verify(raw, func(id keyring.KeyID) (*keyring.Key, authz.Denial) { return ring.Find(id, now) }, policy)
	if denial == "" {
		denial = claims.CheckTime(now, policy)
	}
	if denial == "" && revoked.Contains(&claims) {
		denial = tokens.Revoked
	}
	return denial
}
