package transport

// Peer is the kind of program at the other end of a connection. Dials wait only for other dials to the same kind.
type Peer uint8

// The kinds of peers.
const (
	PeerClient   Peer = iota // a client, or a proxy on behalf of clients; the kind of all accepted connections
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

// String returns the name of the kind as it is logged.
func (p Peer) String() string { return peerNames[p] }

// dialWorkers returns the maximum number of concurrent dials to peers of this kind.
func (p Peer) dialWorkers() int {
	if p == PeerInstance { // there may be hundreds, and dials to an unreachable zone block until they time out
		return 32
	}
	return 4
}
