package cli

import (
	"fmt"
	"math/big"
	"os"
	"path/filepath"
	"time"

	"lanewheel/internal/certs"
	"lanewheel/internal/keyring"
)

// certCommand creates a certificate authority, certificates and revocation lists, so that a deployment can authenticate
// devices by certificate without another tool.
type certCommand struct {
	Authority certAuthority `cmd:"" name:"authority" help:"${help_cert_authority}"`
	Issue     certIssue     `cmd:"" name:"issue" help:"${help_cert_issue}"`
	Revoke    certRevoke    `cmd:"" name:"revoke" help:"Revoke certificates by rewriting the revocation list."`
}

type certAuthority struct {
	Folder   string        `arg:"" name:"folder" help:"Folder to create it in." type:"path"`
	Name     string        `name:"name" default:"lanewheel authority" help:"Name of the authority."`
	Validity time.Duration `name:"validity" default:"43800h" help:"Validity period."`
}

func (c *certAuthority) Run(o output) error {
	if err := os.MkdirAll(c.Folder, 0o700); err != nil {
		return err
	}
	pair, err := certs.NewAuthority(c.Name, time.Now(), c.Validity)
	if err != nil {
		return err
	}
	if err := savePair(o, pair, filepath.Join(c.Folder, "authority")); err != nil {
		return err
	}
	// An empty revocation list is written at once: an instance that is configured with a list does not start without it.
	list, err := pair.Revoke(nil, nil, time.Now(), c.Validity)
	if err != nil {
		return err
	}
	return keyring.WriteFileAtomic(filepath.Join(c.Folder, "revoked.pem"), list, 0o644)
}

// savePair writes a key pair to PATH.pem and PATH.key. It returns an error if either file already exists.
func savePair(o output, pair certs.KeyPair, path string) error {
	for _, extension := range []string{".pem", ".key"} {
		if _, err := os.Stat(path + extension); err == nil {
			return fmt.Errorf("%s already exists", path+extension)
		}
	}
	cert, key, err := pair.EncodePEM()
	if err != nil {
		return err
	}
	if err := keyring.WriteFileAtomic(path+".key", key, 0o600); err != nil {
		return err
	}
	if err := keyring.WriteFileAtomic(path+".pem", cert, 0o644); err != nil {
		return err
	}
	o.printf("%s.pem until %s, serial %x\n", path, formatTime(pair.Certificate.NotAfter), pair.Certificate.SerialNumber)
	return nil
}

// loadAuthority reads an authority's certificate and private key from its folder.
func loadAuthority(folder string) (certs.KeyPair, error) {
	cert, err := os.ReadFile(filepath.Join(folder, "authority.pem"))
	if err != nil {
		return certs.KeyPair{}, err
	}
	key, err := os.ReadFile(filepath.Join(folder, "authority.key"))
	if err != nil {
		return certs.KeyPair{}, err
	}
	return certs.ParseKeyPair(cert, key)
}

type certIssue struct {
	Path      string        `arg:"" name:"path" help:"Path of the files, without an extension." type:"path"`
	Authority string        `name:"authority" required:"" help:"Folder of the authority." type:"path"`
	Name      string        `name:"name" help:"Common name; by default the last element of the path."`
	URI       []string      `name:"uri" help:"URI identities, for example rota://water/handheld-7."`
	Host      []string      `name:"host" help:"DNS names and IP addresses."`
	Server    bool          `name:"server" help:"Issue it to an instance instead of a client."`
	Validity  time.Duration `name:"validity" default:"8760h" help:"Validity period."`
}

func (c *certIssue) Run(o output) error {
	authority, err := loadAuthority(c.Authority)
	if err != nil {
		return err
	}
	name := c.Name
	if name == "" {
		name = filepath.Base(c.Path)
	}
	subject := certs.Subject{CommonName: name, URIs: c.URI, Hosts: c.Host}
	issue := authority.IssueClient
	if c.Server {
		issue = authority.IssueServer
	}
	pair, err := issue(subject, time.Now(), c.Validity)
	if err != nil {
		return err
	}
	return savePair(o, pair, c.Path)
}

type certRevoke struct {
	Certs      []string      `arg:"" name:"certs" optional:"" help:"${help_cert_files}" type:"path"`
	Authority  string        `name:"authority" required:"" help:"Folder of the authority." type:"path"`
	NextUpdate time.Duration `name:"next-update" default:"720h" help:"Time until the next list is due."`
}

func (c *certRevoke) Run(o output) error {
	authority, err := loadAuthority(c.Authority)
	if err != nil {
		return err
	}
	path := filepath.Join(c.Authority, "revoked.pem")
	previous, err := os.ReadFile(path)
	if err != nil && !os.IsNotExist(err) {
		return err
	}
	serials, err := loadSerials(c.Certs, authority)
	if err != nil {
		return err
	}
	list, err := authority.Revoke(previous, serials, time.Now(), c.NextUpdate)
	if err != nil {
		return err
	}
	if err := keyring.WriteFileAtomic(path, list, 0o644); err != nil {
		return err
	}
	o.printf("%s: %d more certificates revoked\n", path, len(serials))
	return nil
}

// loadSerials returns the serial number of the first certificate in each file. It returns an error for a certificate
// that the authority did not issue.
func loadSerials(files []string, authority certs.KeyPair) ([]*big.Int, error) {
	var serials []*big.Int
	for _, file := range files {
		text, err := os.ReadFile(file)
		if err != nil {
			return nil, err
		}
		certificates, err := certs.ParseCertificates(text)
		if err != nil {
			return nil, fmt.Errorf("%s: %w", file, err)
		}
		if err := certificates[0].CheckSignatureFrom(authority.Certificate); err != nil {
			return nil, fmt.Errorf("%s was not issued by this authority: %w", file, err)
		}
		serials = append(serials, certificates[0].SerialNumber)
	}
	return serials, nil
}
