package tokens

import "strings"

// maxRevocations is how many entries a list may have; tokens that have expired need none.
const maxRevocations = 100_000

// Revocations are the tokens and subjects that no longer count, whatever they prove. It never changes; a nil one is
// empty.
type Revocations struct {
	tokenIDs map[string]bool
	subjects map[string]bool
}

// ParseRevocations reads a list: a line each of "jti ID" or "sub SUBJECT"; # begins a comment. It gives the number
// of the line that is wrong, 0 if none is.
func ParseRevocations(text string) (*Revocations, int) {
	revocations := &Revocations{tokenIDs: map[string]bool{}, subjects: map[string]bool{}}
	for i, line := range strings.Split(text, "\n") {
		line = strings.TrimSpace(line)
		if line == "" || line[0] == '#' {
			continue
		}
		kind, value, _ := strings.Cut(line, " ")
		value = strings.TrimSpace(value)
		if value == "" || len(revocations.tokenIDs)+len(revocations.subjects) >= maxRevocations {
			return nil, i + 1
		}
		switch kind {
		case "jti":
			revocations.tokenIDs[value] = true
		case "sub":
			revocations.subjects[value] = true
		default:
			return nil, i + 1
		}
	}
	return revocations, 0
}

// Contains tells whether a token or its subject is revoked.
func (r *Revocations) Contains(claims *Claims) bool {
	if r == nil {
		return false
	}
	return claims.ID != "" && r.tokenIDs[claims.ID] || r.subjects[claims.Subject]
}
