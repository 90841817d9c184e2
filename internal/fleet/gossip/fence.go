package gossip

import (
	"log/slog"
	"net"
	"time"

	"github.com/hashicorp/memberlist"

	"lanewheel/internal/membership"
)

const (
	// fencedLeaveTimeout is how long a fenced process tells others that it leaves.
	fencedLeaveTimeout = 200 * time.Millisecond
	// announceTimeout is how long a raised incarnation is announced.
	announceTimeout = time.Second
)

// fence ends our part in the fleet: a later process has our name.
func (a *Agent) fence() {
	if a.fenced {
		return
	}
	a.fenced = true
	slog.Warn("fenced by a later process of the same name", "member", string(a.config.Name),
		"incarnation", uint64(a.table.Self().Incarnation), "leaving", a.config.LeaveWhenFenced)
	a.applyChanges()
	// Without a word the detector would report a process that is over anyway. Leaving names this process alone, so nobody
	// takes it for the later one.
	go a.leaveMemberlist(fencedLeaveTimeout)
	if a.config.LeaveWhenFenced {
		a.process.Fenced()
	}
}

// handleAlive hands a descriptor to the table and carries out the result.
func (a *Agent) handleAlive(descriptor membership.Descriptor) {
	switch a.table.HandleAlive(descriptor, a.Now()) {
	case membership.AliveOutdated:
		a.notifyFenced(descriptor)
	case membership.AliveIncarnationRaised:
		slog.Info("incarnation raised", "member", string(a.config.Name),
			"incarnation", uint64(a.table.Self().Incarnation))
		go a.announceSelf()
	case membership.AliveFenced:
		a.fence()
	}
	a.applyChanges()
}

// handleFenceNotice takes a notice that a later process has our name.
func (a *Agent) handleFenceNotice(body []byte) error {
	var notice wireFenceNotice
	if err := decode(body, &notice); err != nil {
		return err
	}
	if membership.Name(notice.Name) != a.config.Name {
		return nil
	}
	result := a.table.HandleFenceNotice(membership.Incarnation(notice.Incarnation), membership.BootID(notice.BootID),
		a.Now())
	switch result {
	case membership.AliveFenced:
		a.fence()
	case membership.AliveIncarnationRaised:
		go a.announceSelf()
	}
	a.applyChanges()
	return nil
}

// announceSelf spreads our descriptor with its raised incarnation. It blocks.
func (a *Agent) announceSelf() {
	// Whoever does not get it in time gets it with the next exchange of states.
	_ = a.memberlist.UpdateNode(announceTimeout)
}

// notifyFenced tells an outdated process that a later one has its name, if it is up to us to do so.
func (a *Agent) notifyFenced(outdated membership.Descriptor) {
	if !a.table.ShouldNotifyFenced(outdated.ID(), a.Now()) {
		return
	}
	notice := wireFenceNotice{Name: string(outdated.Name)}
	if self := a.table.Self(); outdated.Name == self.Name {
		notice.Incarnation = uint64(self.Incarnation)
		notice.BootID = uint64(self.BootID)
	} else if successor, found := a.table.View().Get(outdated.Name); found {
		notice.Incarnation = uint64(successor.Incarnation)
		notice.BootID = uint64(successor.BootID)
	}
	addr, err := net.ResolveUDPAddr("udp", outdated.GossipAddr) // numeric: nothing is looked up
	if err != nil {
		return // it cannot be reached there
	}
	destination := memberlist.Address{Addr: addr.String(), Name: outdated.ID().String()}
	go a.send(destination, encode(kindFenceNotice, notice))
}
