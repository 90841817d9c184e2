package forward

import (
	"maps"
	"slices"
	"time"

	"lanewheel/internal/balancer"
	"lanewheel/internal/rpc"
)

const (
	// maxInFlight is the protocol's limit of requests in progress on one connection.
	maxInFlight = 32

	// connectTimeout is how long requests wait for a connection to be established before they go elsewhere: some round
	// trips of a poor link.
	connectTimeout = 300 * time.Millisecond

	// idleCheckInterval is how often idle connections are looked for.
	idleCheckInterval = time.Second
)

// connection is one connection to an endpoint. It is owned by the event loop.
type connection struct {
	forwarder   *Forwarder
	endpoint    *endpoint
	client      *rpc.ClientConn
	established bool
	draining    bool // no request is given to it any more; it may still be connecting
	lastID      uint32
	inFlight    map[uint32]*Request // by message id
	waiting     []*Request          // until it is established
	lastUsed    time.Duration
}

// pickConnection returns the connection to an endpoint that a request goes on: the established one with the fewest
// requests, else one that is connecting, else a new one. It returns nil where all are full. None is opened while
// another has room: of hundreds of senders and hundreds of endpoints each would have one for each.
func (f *Forwarder) pickConnection(endpoint *endpoint) *connection {
	var leastUsed, connecting *connection
	for _, c := range endpoint.connections {
		switch {
		case c.draining:
		case !c.established:
			if len(c.waiting) < maxInFlight {
				connecting = c
			}
		case len(c.inFlight) < maxInFlight && (leastUsed == nil || len(c.inFlight) < len(leastUsed.inFlight)):
			leastUsed = c
		}
	}
	if leastUsed != nil {
		return leastUsed
	}
	if connecting != nil || len(endpoint.connections) >= f.config.ConnectionsPerEndpoint {
		return connecting
	}
	return f.dial(endpoint)
}

// dial opens a connection.
func (f *Forwarder) dial(endpoint *endpoint) *connection {
	c := &connection{
		forwarder: f,
		endpoint:  endpoint,
		inFlight:  map[uint32]*Request{},
		lastUsed:  f.loop.Now(),
	}
	endpoint.connections = append(endpoint.connections, c)
	connectTimer := f.loop.ScheduleAt(f.loop.Now()+connectTimeout, c.failWaiting)
	c.client = rpc.Dial(f.net, endpoint.address, func(err error) {
		connectTimer.Stop()
		c.handleDialed(err)
	})
	c.client.OnResponse = c.handleResponse
	c.client.OnGoAway = c.drain
	c.client.OnClose = func(string) { c.handleClosed() }
	return c
}

func (c *connection) handleDialed(err error) {
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
}

// failWaiting has the requests that wait for the connection go to other endpoints: nothing of them went out.
func (c *connection) failWaiting() {
	waiting := c.waiting
	c.waiting = nil
	for _, request := range waiting {
		if request.connection == c {
			c.forwarder.finishAttempt(request, c.endpoint.name, busyResponse, attemptEnd{balancer.NoResponse, true})
		}
	}
}

func (c *connection) send(request *Request) {
	if request.onDone == nil || request.connection != c {
		return
	}
	c.lastID++
	request.id = c.lastID
	request.sent = true
	c.inFlight[request.id] = request
	c.client.Send(request.id, request.message)
}

// handleResponse takes a response. One to a request that was abandoned meanwhile is dropped.
func (c *connection) handleResponse(id uint32, response rpc.Response) {
	request := c.inFlight[id]
	if request == nil {
		return
	}
	delete(c.inFlight, id)
	c.lastUsed = c.forwarder.loop.Now()
	switch response.Error {
	case rpc.CodeNone:
		c.forwarder.finishAttempt(request, c.endpoint.name, response, attemptEnd{outcome: balancer.Succeeded})
	case rpc.CodeBusy:
		c.forwarder.finishAttempt(request, c.endpoint.name, response, attemptEnd{outcome: balancer.Rejected})
	case rpc.CodeDenied: // it says nothing of the endpoint
		c.forwarder.Balancer.RecordCancel(c.endpoint.name)
		request.connection = nil
		request.finish(Result{LastOutcome: balancer.Rejected, Response: response})
	default:
		c.forwarder.finishAttempt(request, c.endpoint.name, response, attemptEnd{outcome: balancer.Failed})
	}
	c.closeIfDrained()
}

// drain gives the connection no further request: its endpoint asked for that, or is none any more.
func (c *connection) drain() {
	c.draining = true
	c.closeIfDrained()
}

func (c *connection) closeIfDrained() {
	if c.draining && c.established && len(c.inFlight) == 0 {
		c.client.Close("unused")
	}
}

// handleClosed is called when the connection has ended. Whether what was in progress on it ran is not known.
func (c *connection) handleClosed() {
	c.remove()
	c.established = false
	inFlight := c.inFlight
	c.inFlight = map[uint32]*Request{}
	for _, id := range slices.Sorted(maps.Keys(inFlight)) {
		end := attemptEnd{outcome: balancer.NoResponse}
		c.forwarder.finishAttempt(inFlight[id], c.endpoint.name, failedResponse, end)
	}
	c.failWaiting()
}

func (c *connection) remove() {
	c.draining = true
	c.endpoint.connections = slices.DeleteFunc(c.endpoint.connections, func(other *connection) bool { return other == c })
}

// closeIdle closes connections that have carried nothing for IdleTimeout, and goes on doing so.
func (f *Forwarder) closeIdle() {
	for _, endpoint := range f.endpoints {
		for _, c := range slices.Clone(endpoint.connections) { // draining may remove it
			if c.established && len(c.inFlight) == 0 && f.loop.Now()-c.lastUsed > f.config.IdleTimeout {
				c.drain()
			}
		}
	}
	f.loop.ScheduleAt(f.loop.Now()+idleCheckInterval, f.closeIdle)
}
