package gossip

import (
	"log/slog"
	"net"
	"time"

	"github.com/hashicorp/memberlist"

	"lanewheel/internal/membership"
)

// fence ends our part in the fleet: a later life has our name.
func (p *Agent) fence() {
	if p.fenced {
		return
	}
	p.fenced = true
	slog.Warn("fenced", "name", string(p.config.Name), "incarnation", uint64(p.table.Self().Incarnation), "leaves", p.config.LeaveWhenFenced)
	p.applyChanges()
	// Danger: shutting down without a word would have the detector doubt a life that is over anyway; with one it says
	// the old life has left, which nobody takes for the new one.
	go p.leaveMemberlist(200 * time.Millisecond)
	if p.config.LeaveWhenFenced {
		p.process.Fenced()
	}
}

// handleAlive hands a claim to the table and does what it says.
func (p *Agent) handleAlive(descriptor membership.Descriptor) {
	switch p.table.HandleAlive(descriptor, p.Now()) {
	case membership.AliveOutdated:
		p.notifyFenced(descriptor)
	case membership.AliveIncarnationRaised:
		slog.Info("incarnation-raised", "name", string(p.config.Name), "incarnation", uint64(p.table.Self().Incarnation))
		go func() { _ = p.memberlist.UpdateNode(time.Second) }()
	case membership.AliveFenced:
		p.fence()
	}
	p.applyChanges()
}

// notifyFenced says to an old life that it is over, if that is on us.
func (p *Agent) notifyFenced(outdated membership.Descriptor) {
	if !p.table.ShouldNotifyFenced(outdated.ID(), p.Now()) {
		return
	}
	notice := wireFenceNotice{Name: string(outdated.Name)}
	if self := p.table.Self(); outdated.Name == self.Name {
		notice.Incarnation, notice.BootID = uint64(self.Incarnation), uint64(self.BootID)
	} else if successor, known := p.table.View().Get(outdated.Name); known {
		notice.Incarnation, notice.BootID = uint64(successor.Incarnation), uint64(successor.BootID)
	}
	addr, err := net.ResolveUDPAddr("udp", outdated.GossipAddr) // an address in figures: nothing is looked up
	if err != nil {
		return
	}
	message := encode(kindFenceNotice, notice)
	destination := memberlist.Address{Addr: addr.String(), Name: outdated.ID().String()}
	go func() { _ = p.memberlist.SendToAddress(destination, message) }()
}
