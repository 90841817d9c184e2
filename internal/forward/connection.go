package forward

import (
	"maps"
	"slices"
	"time"

	"lanewheel/internal/balancer"
	"lanewheel/internal/boundedmap"
	"lanewheel/internal/frontend"
	"lanewheel/internal/rpc"
)

const (
	// maxInFlight is the maximum number of requests in progress on one connection. The protocol sets this limit.
	maxInFlight = 32

	// maxCanceled is the maximum number of canceled requests of a connection whose late responses are of interest.
	maxCanceled = 1024

	// connectTimeout is how long requests wait for a connection to be established before they are sent to another
	// endpoint. It allows for several round trips on a slow link.
	connectTimeout = 300 * time.Millisecond

	// idleCheckInterval is the interval between two searches for idle connections.
	idleCheckInterval = time.Second
)

// connection is a connection to an endpoint. It is owned by the event loop.
type connection struct {
	forwarder   *Forwarder
	endpoint    *endpoint
	client      *rpc.ClientConn
	established bool
	draining    bool // it accepts no further requests; it may still be connecting
	lastID      uint32
	inFlight    map[uint32]*Request            // by message id
	canceled    boundedmap.Map[uint32, func()] // functions to call if a canceled request has not run, by message id
	waiting     []*Request                     // sent once the connection is established
	lastUsed    time.Duration                  // on the loop's clock
}

// pickConnection returns the connection on which to send a request to an endpoint: the established connection with
// the fewest requests in progress, otherwise one that is connecting, otherwise a new one. It returns nil if no existing
// connection has room and ConnectionsPerEndpoint of them exist, including those that are draining. A connection is
// opened only if no existing one has room, because there may be hundreds of senders, each with connections to hundreds
// of endpoints.
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

// dial starts opening a connection and adds it to the endpoint's connections.
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

// failWaiting ends the attempts that wait for the connection. Nothing of them has been sent, so their requests may be
// retried at other endpoints.
func (c *connection) failWaiting() {
	waiting := c.waiting
	c.waiting = nil
	for _, request := range waiting {
		if request.connection == c {
			c.forwarder.finishAttempt(request, c.endpoint.name, busyResponse, attemptEnd{balancer.NoResponse, true})
		}
	}
}

// send sends a request unless it has been finished or detached from the connection.
func (c *connection) send(request *Request) {
	if request.onDone == nil || request.connection != c {
		return
	}
	c.lastID++
	request.id = c.lastID
	request.sent = true
	request.sentTo = c.endpoint.name
	c.inFlight[request.id] = request
	c.client.Send(request.id, request.message)
}

// handleResponse ends the attempt that a response belongs to. It drops the response if the request has been canceled
// or has timed out.
func (c *connection) handleResponse(id uint32, response rpc.Response) {
	request := c.inFlight[id]
	if request == nil {
		c.handleCanceled(id, response)
		return
	}
	delete(c.inFlight, id)
	c.lastUsed = c.forwarder.loop.Now()
	switch invalid := invalidReason(response); {
	case invalid != "": // this depends on the caller, so it does not count for or against the endpoint
		response.Metadata.Reason = ""
		c.finishRequest(request, Result{LastOutcome: balancer.Rejected, Invalid: invalid, Response: response})
	case response.Error == rpc.CodeNone:
		c.forwarder.finishAttempt(request, c.endpoint.name, response, attemptEnd{outcome: balancer.Succeeded})
	case response.Error == rpc.CodeBusy:
		c.forwarder.finishAttempt(request, c.endpoint.name, response, attemptEnd{outcome: balancer.Rejected})
	case response.Error == rpc.CodeDenied: // like an invalid request
		c.finishRequest(request, Result{LastOutcome: balancer.Rejected, Response: response})
	default:
		c.forwarder.finishAttempt(request, c.endpoint.name, response, attemptEnd{outcome: balancer.Failed})
	}
	c.closeIfDrained()
}

// handleCanceled handles the response to a request that has been canceled.
func (c *connection) handleCanceled(id uint32, response rpc.Response) {
	onNeverRan, found := c.canceled.Get(id)
	if found && onNeverRan != nil && response.Error == rpc.CodeBusy {
		c.canceled.Put(id, nil, maxCanceled) // the entry goes when later ones need its place
		onNeverRan()
	}
}

// finishRequest finishes a request with a response that no other endpoint would change.
func (c *connection) finishRequest(request *Request, result Result) {
	c.forwarder.Balancer.RecordCancel(c.endpoint.name)
	request.connection = nil
	request.finish(result)
}

// invalidReason returns the reason why a request can never be served, if the endpoint has stated one.
func invalidReason(response rpc.Response) frontend.RejectionCode {
	code := frontend.RejectionCode(response.Metadata.Reason)
	if response.Error == rpc.CodeFailed && code.IsInvalid() {
		return code
	}
	return ""
}

// drain stops new requests from using the connection and closes it as soon as it is established and no request is in
// progress. It is called when the endpoint asks for it, when the endpoint is removed, and when the connection is idle.
func (c *connection) drain() {
	c.draining = true
	c.closeIfDrained()
}

func (c *connection) closeIfDrained() {
	if c.draining && c.established && len(c.inFlight) == 0 {
		c.client.Close("unused")
	}
}

// handleClosed is called when the connection has been closed. The requests in progress on it may have run.
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

// closeIdle closes the connections that have been idle for longer than IdleTimeout and schedules its next run.
func (f *Forwarder) closeIdle() {
	for _, endpoint := range f.endpoints {
		for _, c := range slices.Clone(endpoint.connections) { // drain may remove c from endpoint.connections
			if c.established && len(c.inFlight) == 0 && f.loop.Now()-c.lastUsed > f.config.IdleTimeout {
				c.drain()
			}
		}
	}
	f.loop.ScheduleAt(f.loop.Now()+idleCheckInterval, f.closeIdle)
}
