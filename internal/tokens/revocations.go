package tokens

import "strings"

// maxRevocations is the maximum number of entries in a list. Expired tokens need no entry.
const maxRevocations = 100_000

// Revocations is a list of revoked tokens and subjects. It is immutable. A nil *Revocations is empty.
type Revocations struct {
	tokenIDs map[string]bool
	subjects map[string]bool
}

// ParseRevocations parses a list with one "jti ID" or "sub SUBJECT" entry per line. Lines that start with # are
// comments. It returns the number of the first invalid line, counted from 1, and 0 if all lines are valid.
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

// Contains reports whether a token or its subject is revoked.
func (r *Revocations) Contains(claims *Claims) bool {
	if r == nil {
		return false
	}
	return claims.ID != "" && r.tokenIDs[claims.ID] || r.subjects[claims.Subject]
}
