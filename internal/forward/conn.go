package forward

import (
	"maps"
	"slices"
	"time"

	"lanewheel/internal/balancer"
	"lanewheel/internal/transport"
)

// connection is one connection to a member.
type connection struct {
	forwarder   *Forwarder
	endpoint    *endpoint
	client      *transport.ClientConn
	established bool
	draining    bool // nothing new goes on it
	lastID      uint32
	inFlight    map[uint32]*Request
	waiting     []*Request // until it stands
	lastUsed    time.Duration
}

// maxInFlight is the protocol's bound on ops open on one connection.
const maxInFlight = 32

// connectTimeout is how long ops wait for a connection to stand before they go elsewhere: some round trips of a poor link.
const connectTimeout = 300 * time.Millisecond

// connection gives the connection to a member that an op goes on: the emptiest that stands, else one that is being opened, else a new
// one. It gives nil where all are full. Danger: hundreds of deciders times hundreds of members: none is opened while another has room.
func (m *endpoint) connection(forwarder *Forwarder) *connection {
	var leastUsed, opening *connection
	for _, c := range m.connections {
		switch {
		case c.draining:
		case !c.established:
			if len(c.waiting) < maxInFlight {
				opening = c
			}
		case len(c.inFlight) < maxInFlight && (leastUsed == nil || len(c.inFlight) < len(leastUsed.inFlight)):
			leastUsed = c
		}
	}
	if leastUsed != nil {
		return leastUsed
	}
	if opening != nil || len(m.connections) >= forwarder.config.ConnectionsPerEndpoint {
		return opening
	}
	c := &connection{forwarder: forwarder, endpoint: m, inFlight: map[uint32]*Request{}, lastUsed: forwarder.loop.Now()}
	m.connections = append(m.connections, c)
	connectTimer := forwarder.loop.ScheduleAt(forwarder.loop.Now()+connectTimeout, func() { c.failWaiting() })
	c.client = forwarder.net.DialMember(m.address, func(err error) {
		connectTimer.Stop()
		if err != nil {
			c.remove()
			c.failWaiting()
			return
		}
		c.established = true
		waiting := c.waiting
		c.waiting = nil
		for _, request := range waiting {
			c.send(request)
		}
		c.closeIfDrained()
	})
	c.client.OnResponse = c.handleResponse
	c.client.OnGoAway = c.drain
	c.client.OnClose = func(code string) { c.handleClosed() }
	return c
}

// failWaiting has the ops that wait for the connection to stand go to other members: nothing of them went out.
func (c *connection) failWaiting() {
	waiting := c.waiting
	c.waiting = nil
	for _, request := range waiting {
		if request.connection == c {
			c.forwarder.finishAttempt(request, c.endpoint.name, busyResponse, balancer.NoResponse, true)
		}
	}
}

func (c *connection) send(request *Request) {
	if request.onDone == nil || request.connection != c {
		return
	}
	c.lastID++
	request.id, request.sent = c.lastID, true
	c.inFlight[request.id] = request
	c.client.Send(request.id, request.message)
}

// handleResponse hears an answer. One to an op that was given up here meanwhile is nobody's.
func (c *connection) handleResponse(id uint32, response transport.Response) {
	request := c.inFlight[id]
	if request == nil {
		return
	}
	delete(c.inFlight, id)
	c.lastUsed = c.forwarder.loop.Now()
	outcome := balancer.Failed
	switch response.Error {
	case "":
		outcome = balancer.Succeeded
	case "Busy":
		outcome = balancer.Rejected
	case "Denied": // it says nothing of the member
		c.forwarder.Balancer.RecordCancel(c.endpoint.name)
		request.connection = nil
		request.finish(Result{LastOutcome: balancer.Rejected, Response: response})
		c.closeIfDrained()
		return
	}
	c.forwarder.finishAttempt(request, c.endpoint.name, response, outcome, false)
	c.closeIfDrained()
}

// drain puts nothing new on the connection: its member asked for that, or is none any more.
func (c *connection) drain() {
	c.draining = true
	c.closeIfDrained()
}

func (c *connection) closeIfDrained() {
	if c.draining && c.established && len(c.inFlight) == 0 {
		c.client.Close("unused")
	}
}

// handleClosed hears that the connection is over. Whether what was open on it ran, nobody knows.
func (c *connection) handleClosed() {
	c.remove()
	c.established = false
	inFlight := c.inFlight
	c.inFlight = map[uint32]*Request{}
	for _, id := range slices.Sorted(maps.Keys(inFlight)) {
		c.forwarder.finishAttempt(inFlight[id], c.endpoint.name, failedResponse, balancer.NoResponse, false)
	}
	c.failWaiting()
}

func (c *connection) remove() {
	c.draining = true
	c.endpoint.connections = slices.DeleteFunc(c.endpoint.connections, func(other *connection) bool { return other == c })
}

// closeIdle closes connections that have carried nothing for long. Danger: each change of mind leaves one open.
func (p *Forwarder) closeIdle() {
	for _, endpoint := range p.endpoints {
		for _, connection := range slices.Clone(endpoint.connections) {
			if connection.established && len(connection.inFlight) == 0 && p.loop.Now()-connection.lastUsed > p.config.IdleTimeout {
				connection.drain()
			}
		}
	}
	p.loop.ScheduleAt(p.loop.Now()+time.Second, p.closeIdle)
}
