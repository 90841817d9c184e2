// Package membership decides who is there: which processes make up the fleet, in which state each is, what is believed of it, and
// how far this process may trust its own eyes. It is pure: what came is handed in with its time, and chance is an argument; the
// part that speaks is internal/fleet/gossip. docs/fleet.md has the table of states.
package membership

import (
	"fmt"
	"strconv"
	"strings"
)

// Name is what a member is called; it stays over restarts.
type Name string

// Incarnation is the fencing number of a name: who starts anew under it takes a higher one than any that was heard.
type Incarnation uint64

// BootID is drawn at each start. It tells two processes apart that came under one name and number.
type BootID uint64

// ID is one life of a name, as the gossip knows it.
type ID struct {
	Name   Name
	BootID BootID
}

func (id ID) String() string { return fmt.Sprintf("%s@%016x", id.Name, uint64(id.BootID)) }

// ParseID reads what String wrote.
func ParseID(text string) (id ID, ok bool) {
	separator := strings.LastIndexByte(text, '@')
	if separator <= 0 || len(text)-separator-1 != 16 {
		return id, false
	}
	bootID, err := strconv.ParseUint(text[separator+1:], 16, 64)
	if err != nil {
		return id, false
	}
	return ID{Name(text[:separator]), BootID(bootID)}, true
}
