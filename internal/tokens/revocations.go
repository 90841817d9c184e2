package tokens

import (
	"strings"
)

// Revocations are tokens and subjects that no longer count, whatever they prove. A nil one has none.
type Revocations struct {
	tokenIDs, subjects map[string]bool
}

// maxRevocations is how many lines a list may have; tokens that have expired need none.
const maxRevocations = 100_000

// ParseRevocations reads a list: a line each of "jti ID" or "sub SUBJECT"; # begins a comment. It gives the line that is
// wrong, 0 if none is.
func ParseRevocations(text string) (*Revocations, int) {
	revocations := &Revocations{tokenIDs: map[string]bool{}, subjects: map[string]bool{}}
	for i, line := range strings.Split(text, "\n") {
		line = strings.TrimSpace(line)
		kind, value, _ := strings.Cut(line, " ")
		value = strings.TrimSpace(value)
		switch {
		case line == "" || line[0] == '#':
		case value == "" || len(revocations.tokenIDs)+len(revocations.subjects) >= maxRevocations:
			return nil, i + 1
		case kind == "jti":
			revocations.tokenIDs[value] = true
		case kind == "sub":
			revocations.subjects[value] = true
		default:
			return nil, i + 1
		}
	}
	return revocations, 0
}

// Contains tells whether what claims are about is on the list.
func (r *Revocations) Contains(claims *Claims) bool {
	return r != nil && (claims.ID != "" && r.tokenIDs[claims.ID] || r.subjects[claims.Subject])
}
