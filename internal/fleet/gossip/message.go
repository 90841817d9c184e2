package gossip

import (
	"time"

	"github.com/hashicorp/memberlist"

	"lanewheel/internal/membership"
)

// handleMessage decodes a message and acts on it; transit is how long it was on its way at least.
func (a *Agent) handleMessage(message []byte, transit time.Duration) {
	received, err := parseEnvelope(message)
	if err == nil {
		received.age += transit
		err = a.dispatch(received)
	}
	if err != nil {
		a.malformed.Add(1)
	}
}

func (a *Agent) dispatch(received envelope) error {
	switch received.kind {
	case kindHeartbeat:
		return a.handleHeartbeat(received)
	case kindQuery:
		return a.handleQuery(received.body)
	case kindQueryReply:
		return a.handleQueryReply(received.body)
	case kindLeaseRequest:
		return a.handleLeaseRequest(received.body)
	case kindLease:
		return a.handleLease(received.body)
	case kindPermitNotice:
		return a.handlePermitNotice(received.body)
	case kindPermitBegin:
		return a.handlePermitBegin(received.body)
	case kindFenceNotice:
		return a.handleFenceNotice(received.body)
	}
	return errUnknownKind
}

// handleHeartbeat hands a heartbeat to the table and spreads it on if it is news.
func (a *Agent) handleHeartbeat(received envelope) error {
	heartbeat, err := decodeHeartbeat(received.body)
	if err != nil {
		return err
	}
	if !a.table.HandleHeartbeat(heartbeat, received.age, a.Now()) {
		return nil
	}
	a.broadcasts.QueueBroadcast(&heartbeatBroadcast{
		from: heartbeat.ID,
		heartbeat: &encodedHeartbeat{
			message:   append([]byte(nil), received.message...),
			encodedAt: time.Now().Add(-received.age),
		},
	})
	a.applyChanges()
	return nil
}

// send sends a message by one datagram. Nothing waits for it: what is lost is sent again by whoever wants an answer, or
// made up for by the next heartbeat.
func (a *Agent) send(to memberlist.Address, message []byte) {
	_ = a.memberlist.SendToAddress(to, message)
}

// isSelf reports whether a message's addressee is this very process.
func (a *Agent) isSelf(to string) bool { return to == a.table.Self().ID().String() }

func addressOf(member membership.Member) memberlist.Address {
	return memberlist.Address{Addr: member.GossipAddr, Name: member.ID().String()}
}

// replyAddress is where a message's sender wants its reply.
func replyAddress(addr, from string) memberlist.Address {
	return memberlist.Address{Addr: addr, Name: from}
}
