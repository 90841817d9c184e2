package cli

import (
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"time"

	"github.com/go-jose/go-jose/v4"

	"lanewheel/internal/keyring"
)

// keysCommand creates, lists, publishes and retires the keys that sign tokens.
type keysCommand struct {
	New     keysNew     `cmd:"" name:"new" help:"${help_keys_new}"`
	List    keysList    `cmd:"" name:"list" help:"List the published keys of a folder and whether they are valid now."`
	Publish keysPublish `cmd:"" name:"publish" help:"${help_keys_publish}"`
	Retire  keysRetire  `cmd:"" name:"retire" help:"Set the time at which a published key expires, or revoke it now."`
}

type keysNew struct {
	PrivateDir string `name:"private" help:"Folder for the private key." required:"" type:"path"`
	Algorithm  string `name:"algorithm" help:"EdDSA, ES256 or RS256." enum:"EdDSA,ES256,RS256" default:"EdDSA"`
	KeyID      string `name:"id" help:"Key ID; by default the key's thumbprint." placeholder:"KID"`
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
		return fmt.Errorf("%s already exists", path)
	}
	if err := os.MkdirAll(c.PrivateDir, 0o700); err != nil {
		return err
	}
	if err := keyring.WriteFileAtomic(path, append(text, '\n'), 0o600); err != nil {
		return err
	}
	o.printf("%s\t%s\t%s\n", key.KeyID, c.Algorithm, path)
	return nil
}

// keyFileName returns the base name of a key's file. Each character of the key ID that is not an ASCII letter, a digit,
// '-' or '_' becomes '_', as a key ID may contain any character.
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
	table := newTable(o.out)
	table.row("key", "algorithm", "now", "from", "until", "file")
	for _, key := range set.Keys() {
		status := key.CheckTime(time.Now())
		if status == "" {
			status = "counts"
		}
		table.row(key.ID, key.Algorithm, status, formatTime(key.NotBefore), formatTime(key.RetireAt), filepath.Base(key.File))
	}
	return table.print()
}

func formatTime(t time.Time) string {
	if t.IsZero() {
		return "-"
	}
	return t.UTC().Format(time.RFC3339)
}

// validityFlags are the start and end of a validity period, each an absolute time or a duration from now.
type validityFlags struct {
	From  string `name:"from" help:"${help_key_from}" placeholder:"WHEN"`
	Until string `name:"until" help:"${help_key_until}" placeholder:"WHEN"`
}

// parseTime parses an absolute time in RFC 3339 or a duration from now. It returns the zero time for an empty text.
func parseTime(text string) (time.Time, error) {
	if text == "" {
		return time.Time{}, nil
	}
	if fromNow, err := time.ParseDuration(text); err == nil {
		return time.Now().Add(fromNow), nil
	}
	t, err := time.Parse(time.RFC3339, text)
	if err != nil {
		return t, fmt.Errorf("%q must be a time like 2027-01-31T06:00:00Z or a duration from now like 36h: %w", text, err)
	}
	return t, nil
}

type keysPublish struct {
	Key    string `arg:"" name:"key" help:"File of the private key." type:"path"`
	Folder string `name:"folder" help:"${help_key_folder}" required:"" type:"path"`
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
	return publishKey(o, c.Folder, publication{key: key, from: from, until: until})
}

// publication is a key with its validity period. A withdrawn key is never valid.
type publication struct {
	key         jose.JSONWebKey
	from, until time.Time
	withdrawn   bool
}

// publishKey writes the file of a published key. It first checks that the folder would be valid with the file, so that
// instances never read an invalid folder.
func publishKey(o output, folder string, published publication) error {
	key := published.key
	text, err := keyring.EncodePublic(key, published.from, published.until, published.withdrawn)
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
	o.printf("%s\tfrom %s until %s\t%s\n", key.KeyID, formatTime(published.from), formatTime(published.until), path)
	return nil
}

type keysRetire struct {
	KeyID    string `arg:"" name:"kid" help:"Key ID."`
	Folder   string `name:"folder" help:"Folder of the published keys." required:"" type:"path"`
	RetireAt string `name:"at" help:"Time at which it expires: RFC 3339, or a duration from now." placeholder:"WHEN"`
	Withdraw bool   `name:"now" help:"Revoke it now: every token that it signed becomes invalid."`
}

func (c *keysRetire) Run(o output) error {
	if c.Withdraw == (c.RetireAt != "") {
		return errors.New("exactly one of --at and --now is required")
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
		return fmt.Errorf("%s was not written by \"keys publish\" and must be edited directly", key.File)
	}
	return publishKey(o, c.Folder, publication{
		key: jose.JSONWebKey{
			Key:       key.PublicKey,
			KeyID:     c.KeyID,
			Algorithm: string(key.Algorithm),
			Use:       "sig",
		},
		from:      key.NotBefore,
		until:     at,
		withdrawn: c.Withdraw || key.Withdrawn,
	})
}
