// Package told is what a steward is told, apart from the steward itself, so that whoever reads files does not link it.
package told

import (
	"time"

	"lanewheel/internal/accord"
	"lanewheel/internal/accord/judge"
	"lanewheel/internal/members"
)

// Told is what a steward goes by.
type Told struct {
	Name     string
	Listen   string   // where the other stewards and operators reach it
	At       string   // where they dial it; empty: where it listens
	Others   []string // addresses of the stewards, its own may be among them
	Folder   string   // of its log and snapshots
	Begin    bool     // it is the first of a new fleet
	Alone    bool     // the others are lost for good: it goes on from its own state
	Beat     time.Duration
	Keys     []members.Key
	Accord   accord.Config
	Judge    judge.Config
	Window   time.Duration // of the judgement
	Asked    int           // members of each release that a window asks
	Restart  string        // an operator's command that starts a member anew; empty: whoever else does it
	Patience time.Duration // that the command may take
	Output   int           // bytes of what it prints that are kept
	From     string        // address to dial from, empty for any
	Snapshot uint64        // log entries between two snapshots
}
