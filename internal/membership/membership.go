// Package membership decides who is there: which processes make up the fleet, in which state each is, what is known
// of it, and how far this process may trust what it observes itself. It has no I/O: messages are handed in with their
// time, and randomness is an argument; internal/fleet/gossip sends and receives. docs/fleet.md has the table of
// states.
package membership

import (
	"fmt"
	"strconv"
	"strings"
)

// Name is a member's name; it stays over restarts.
type Name string

// Incarnation is the fencing number of a name: a process that starts anew under a name takes a higher one than any that
// it has seen.
type Incarnation uint64

// BootID is drawn at random at each start. It tells two processes apart that have the same name and incarnation.
type BootID uint64

// bootIDDigits is the length of a boot ID as text.
const bootIDDigits = 16

// String is the boot ID in hexadecimal, as messages and status sockets show it.
func (b BootID) String() string { return fmt.Sprintf("%016x", uint64(b)) }

// ID is one process of a name, from its start to its end, as gossip knows it.
type ID struct {
	Name   Name
	BootID BootID
}

// String is the identity as messages carry it; ParseID reads it.
func (id ID) String() string { return string(id.Name) + "@" + id.BootID.String() }

// ParseID reads what ID.String wrote; ok is false for any other text.
func ParseID(text string) (id ID, ok bool) {
	separator := strings.LastIndexByte(text, '@')
	if separator <= 0 || len(text)-separator-1 != bootIDDigits {
		return id, false
	}
	bootID, err := strconv.ParseUint(text[separator+1:], 16, 64)
	if err != nil {
		return id, false
	}
	return ID{Name: Name(text[:separator]), BootID: BootID(bootID)}, true
}
