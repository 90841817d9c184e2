package transport

// Peer is the kind of program at the other end of a connection. Dials to one kind wait only for others of that kind.
type Peer uint8

// The kinds of peers.
const (
	PeerClient   Peer = iota // a client, or a proxy on behalf of clients: it was accepted
	PeerRuntime              // the runtime
	PeerDatabase             // a database or another upstream service
	PeerInstance             // an instance that requests are forwarded to
)

var peerNames = [...]string{
	PeerClient:   "client",
	PeerRuntime:  "runtime",
	PeerDatabase: "database",
	PeerInstance: "instance",
}

// String is the peer as the log has it.
func (p Peer) String() string { return peerNames[p] }

// dialWorkers is how many dials to peers of this kind go on at a time.
func (p Peer) dialWorkers() int {
	if p == PeerInstance { // there are hundreds, and dials to a lost zone hang until they time out
		return 32
	}
	return 4
}
