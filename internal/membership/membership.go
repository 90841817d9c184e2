// Package membership maintains a process's view of its fleet: the member processes, their states and their metrics,
// and how far the process can trust its own observations. It does no I/O: messages, the current time and random
// numbers are arguments of its functions. Package internal/fleet/gossip sends and receives the messages. The states
// are listed in docs/fleet.md.
package membership

import (
	"fmt"
	"strconv"
	"strings"
)

// Name is the name of a member. It stays the same across restarts.
type Name string

// Incarnation is the fencing number of a name. A process that starts with the name takes a higher one than any that
// it has seen.
type Incarnation uint64

// BootID is a random number that is drawn at each start of a process. It distinguishes processes with the same name
// and incarnation.
type BootID uint64

// bootIDDigits is the number of hexadecimal digits of a boot ID as text.
const bootIDDigits = 16

// String returns the boot ID in hexadecimal, as in messages and on status sockets.
func (b BootID) String() string { return fmt.Sprintf("%016x", uint64(b)) }

// ID identifies one process: a restart under the same name has another boot ID.
type ID struct {
	Name   Name
	BootID BootID
}

// String returns the identity in the form that messages carry and ParseID parses.
func (id ID) String() string { return string(id.Name) + "@" + id.BootID.String() }

// ParseID parses the result of ID.String. ok is false for any other text.
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
