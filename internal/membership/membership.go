// Package membership decides which processes make up the fleet. It keeps the state and the last heartbeat of each
// member and determines how far this process may trust its own observations. It does no I/O: messages, their times
// and random numbers are arguments, and internal/fleet/gossip sends and receives the messages. docs/fleet.md has the
// table of states.
package membership

import (
	"fmt"
	"strconv"
	"strings"
)

// Name is the name of a member. It stays the same across restarts.
type Name string

// Incarnation is the fencing number of a name. A process that starts under a name takes a higher incarnation than any
// that it has seen for that name.
type Incarnation uint64

// BootID is a random number drawn at each start. It distinguishes two processes with the same name and incarnation.
type BootID uint64

// bootIDDigits is the number of hexadecimal digits of a boot ID as text.
const bootIDDigits = 16

// String returns the boot ID in hexadecimal, as it appears in messages and on status sockets.
func (b BootID) String() string { return fmt.Sprintf("%016x", uint64(b)) }

// ID identifies one process of a name in gossip messages, from its start to its end.
type ID struct {
	Name   Name
	BootID BootID
}

// String returns the identity as messages carry it. ParseID parses this form.
func (id ID) String() string { return string(id.Name) + "@" + id.BootID.String() }

// ParseID parses the result of ID.String; ok is false for any other text.
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
