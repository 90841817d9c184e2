package cli

import (
	"encoding/json"
	"errors"
	"io"
	"os"
	"strings"
	"time"

	"github.com/go-jose/go-jose/v4"
	"github.com/go-jose/go-jose/v4/jwt"

	"lanewheel/internal/authz"
	"lanewheel/internal/keyring"
	"lanewheel/internal/lifecycle"
	"lanewheel/internal/tokens"
)

// tokenCommand issues tokens and prints their contents.
type tokenCommand struct {
	Issue tokenIssue `cmd:"" name:"issue" help:"Sign a token and print it."`
	Show  tokenShow  `cmd:"" name:"show" help:"${help_token_show}"`
}

type tokenIssue struct {
	Key         string        `name:"key" help:"File of the private key." required:"" type:"path"`
	Issuer      string        `name:"issuer" required:"" help:"Issuer, as configured in the instances."`
	Audience    string        `name:"audience" required:"" help:"Audience, as configured in the instances."`
	Subject     string        `name:"subject" required:"" help:"Subject, for example handheld-7."`
	Tenant      string        `name:"tenant" help:"Tenant, in the claim that --tenant-claim names."`
	Roles       []string      `name:"roles" help:"Roles, in the claim that --roles-claim names." placeholder:"ROLE,..."`
	TenantClaim string        `name:"tenant-claim" default:"tenant" help:"Name of the claim with the tenant."`
	RolesClaim  string        `name:"roles-claim" default:"roles" help:"Name of the claim with the roles."`
	Validity    time.Duration `name:"validity" default:"1h" help:"Validity period."`
	TokenID     string        `name:"jti" help:"Token ID; random by default."`
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
	claims := jwt.Claims{
		Issuer:    c.Issuer,
		Subject:   c.Subject,
		Audience:  jwt.Audience{c.Audience},
		ID:        id,
		IssuedAt:  jwt.NewNumericDate(now),
		NotBefore: jwt.NewNumericDate(now),
		Expiry:    jwt.NewNumericDate(now.Add(c.Validity)),
	}
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
	o.printf("%s\n", text)
	return nil
}

type tokenShow struct {
	File     string `arg:"" name:"file" help:"File with the token, - for standard input." default:"-"`
	Operator string `name:"operator" help:"${help_token_operator}" placeholder:"FILE" type:"path"`
}

func (c *tokenShow) Run(o output) error {
	raw, err := c.readToken()
	if err != nil {
		return err
	}
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
	o.printf("algorithm %s, key %s\n%s\n", token.Headers[0].Algorithm, token.Headers[0].KeyID, body)
	if c.Operator == "" {
		return nil
	}
	return c.printVerdict(o, raw)
}

// readToken reads the token from the file or from standard input.
func (c *tokenShow) readToken() (string, error) {
	if c.File != "-" {
		text, err := os.ReadFile(c.File)
		return strings.TrimSpace(string(text)), err
	}
	const maxBytes = 1 << 16 // many times the size of the longest token that an instance accepts
	text, err := io.ReadAll(io.LimitReader(os.Stdin, maxBytes))
	return strings.TrimSpace(string(text)), err
}

// printVerdict prints whether a token is valid now under the settings of the operator's file. It returns errReported if
// the token is denied.
func (c *tokenShow) printVerdict(o output, raw string) error {
	operatorConfig, err := lifecycle.LoadOperatorConfig(c.Operator)
	if err != nil {
		return err
	}
	operatorConfig.File.Renamed.Warn()
	if operatorConfig.Authn == nil || operatorConfig.Authn.KeySet == nil {
		return errors.New("the operator's file has no section [tokens]")
	}
	authn := operatorConfig.Authn
	denial := verifyNow(raw, authn.KeySet, authn.TokenPolicy, authn.RevokedTokens)
	if denial != "" {
		o.printf("denied: %s\n", denial)
		return errReported
	}
	o.printf("good\n")
	return nil
}

// verifyNow returns the reason why an instance would deny a token now, or the empty denial if it would accept it.
func verifyNow(raw string, keys *keyring.KeySet, policy *tokens.Policy, revoked *tokens.Revocations) authz.Denial {
	now := time.Now()
	ring := keyring.NewKeyring(keys, time.Second)
	find := func(id keyring.KeyID) (*keyring.Key, authz.Denial) { return ring.Find(id, now) }
	claims, denial := tokens.Verify(raw, find, policy)
	if denial == "" {
		denial = claims.CheckTime(now, policy)
	}
	if denial == "" && revoked.Contains(&claims) {
		denial = tokens.Revoked
	}
	return denial
}
