package gossip

import (
	"log/slog"
	"net"
	"time"

	"github.com/hashicorp/memberlist"

	"lanewheel/internal/membership"
)

const (
	// fencedLeaveTimeout is the maximum time for which a fenced process announces that it leaves.
	fencedLeaveTimeout = 200 * time.Millisecond
	// announceTimeout is the maximum time for which a raised incarnation is announced.
	announceTimeout = time.Second
)

// fence ends this process's participation in the fleet because a later process has its name.
func (a *Agent) fence() {
	if a.fenced {
		return
	}
	a.fenced = true
	slog.Warn("fenced by a later process of the same name", "member", string(a.config.Name),
		"incarnation", uint64(a.table.Self().Incarnation), "leaving", a.config.DrainWhenFenced)
	a.applyChanges()
	// If this process left without an announcement, the failure detector would report it although it has been
	// superseded. The announcement identifies this process alone, so no member applies it to the later one.
	go a.leaveMemberlist(fencedLeaveTimeout)
	if a.config.DrainWhenFenced {
		a.process.OnFenced()
	}
}

// handleAlive passes a descriptor to the table and acts on the result.
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

// handleFenceNotice handles a notice that a later process has this process's name.
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

// announceSelf broadcasts this process's descriptor with its raised incarnation. It blocks for up to announceTimeout.
func (a *Agent) announceSelf() {
	// A member that does not receive it in time receives it with the next state exchange.
	_ = a.memberlist.UpdateNode(announceTimeout)
}

// notifyFenced notifies an outdated process that a later one has its name, if the table has chosen this process to send
// the notice.
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
	addr, err := net.ResolveUDPAddr("udp", outdated.GossipAddr) // the address is numeric, so there is no name lookup
	if err != nil {
		return // the process cannot be reached at this address
	}
	destination := memberlist.Address{Addr: addr.String(), Name: outdated.ID().String()}
	go a.send(destination, encode(kindFenceNotice, notice))
}
