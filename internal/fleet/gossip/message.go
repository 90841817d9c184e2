package gossip

import (
	"time"

	"github.com/hashicorp/memberlist"

	"lanewheel/internal/membership"
)

// handleMessage decodes a message and acts on it, or counts it as malformed. transit is the minimum time that the
// message took to arrive; it is added to the age of the message.
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

// handleHeartbeat passes a heartbeat to the table and, if the table accepts it as new, broadcasts it to other
// members.
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

// send sends a message as one datagram and ignores errors. A sender that needs an answer retries a lost message,
// and the next heartbeat replaces a lost one.
func (a *Agent) send(to memberlist.Address, message []byte) {
	_ = a.memberlist.SendToAddress(to, message)
}

// isSelf reports whether to, the addressee of a message, is the ID of this process.
func (a *Agent) isSelf(to string) bool { return to == a.table.Self().ID().String() }

func addressOf(member membership.Member) memberlist.Address {
	return memberlist.Address{Addr: member.GossipAddr, Name: member.ID().String()}
}

// replyAddress returns the memberlist address for the reply to a message. addr is the message's ReplyAddr field, and
// from is the ID of its sender.
func replyAddress(addr, from string) memberlist.Address {
	return memberlist.Address{Addr: addr, Name: from}
}
