package drill

import (
	"fmt"
	"math"
	"math/rand/v2"
	"net"
	"strconv"
	"sync"
	"time"

	"lanewheel/internal/fake"
)

// issuedRequest is one op as its issuer saw it, and as the runtimes did.
type issuedRequest struct {
	id         string
	class      string
	process    int
	sentAt     time.Time
	answeredAt time.Time
	outcome    string // acked, Busy, Failed; broken: its connection ended
	responses  int
	executions []execution
}

type execution struct {
	process int
	at      time.Time
}

// requestLog is every op of the rehearsal. All of it is under mu.
type requestLog struct {
	mu       sync.Mutex
	byID     map[string]*issuedRequest
	requests []*issuedRequest
}

func (h *requestLog) recordExecution(p *process, id string) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if request := h.byID[id]; request != nil {
		request.executions = append(request.executions, execution{p.index, time.Now()})
	}
}

// generateLoad asks at the told rate, whatever comes back, by connections to processes that are drawn anew whenever one ends.
func (h *requestLog) generateLoad(w *cluster, until time.Time) {
	var clients sync.WaitGroup
	for client := range w.script.Clients {
		clients.Add(1)
		go func() {
			defer clients.Done()
			h.runClient(w, client, until)
		}()
	}
	clients.Wait()
}

var classes = []string{"view", "pay", "list"}

// requestTimeout is the told op timeout of the stand-in's settings; an op waits 2 s, and half a second is left for a busy machine.
const requestTimeout = 3*time.Second + 500*time.Millisecond

func (h *requestLog) runClient(w *cluster, client int, until time.Time) {
	random := rand.New(rand.NewPCG(w.script.RandomSeed, 1000+uint64(client)))
	interval := float64(w.script.Clients) / w.script.RequestRate * float64(time.Second)
	nextAt := time.Now()
	for number := 1; nextAt.Before(until); {
		targets := w.processes
		if w.script.Proxies > 0 { // then only they are known to the stubs
			targets = targets[w.script.Instances:]
		}
		targets = targets[:len(targets)-w.script.Allocators-w.script.Coordinators]
		target := targets[random.IntN(len(targets))]
		conn, err := net.DialTimeout("tcp", net.JoinHostPort(target.host, strconv.Itoa(clientPort)), 200*time.Millisecond)
		if err != nil {
			time.Sleep(20 * time.Millisecond)
			continue
		}
		stub := fake.NewClient(conn)
		inFlight := map[int]*issuedRequest{}
		ended := make(chan struct{})
		go func() {
			defer close(ended)
			for {
				response, err := stub.NextResponse()
				if err != nil {
					h.mu.Lock()
					for _, request := range inFlight {
						if request.responses == 0 {
							request.outcome, request.answeredAt = "broken", time.Now()
						}
					}
					h.mu.Unlock()
					return
				}
				h.mu.Lock()
				if request := inFlight[response.Number]; request != nil {
					request.responses++
					request.answeredAt, request.outcome = time.Now(), response.Error
					if response.Error == "" {
						request.outcome = "acked"
					}
				}
				h.mu.Unlock()
			}
		}()
		connected := true
		for reconnectAt := nextAt.Add(time.Duration((5 + 10*random.Float64()) * float64(time.Second))); connected && nextAt.Before(until) && nextAt.Before(reconnectAt); number++ {
			nextAt = nextAt.Add(time.Duration(random.ExpFloat64() * interval / math.Float64frombits(w.loadFactor.Load())))
			select {
			case <-ended:
				connected = false
				continue
			case <-time.After(time.Until(nextAt)):
			}
			request := &issuedRequest{id: fmt.Sprintf("%08x%08x", client, number), class: classes[random.IntN(len(classes))], process: target.index, sentAt: time.Now()}
			h.mu.Lock()
			outstanding := 0
			for _, other := range inFlight {
				if other.responses == 0 {
					outstanding++
				}
			}
			if outstanding < 32 { // the protocol's bound; past it a stub asks nothing
				inFlight[number], h.byID[request.id] = request, request
				h.requests = append(h.requests, request)
			}
			h.mu.Unlock()
			if outstanding >= 32 {
				continue
			}
			if !trySend(stub, fake.NewRequest(number, request.class, request.id, []byte(request.id), "from", fmt.Sprint(client), "kb", "1", "rank", "0.5", "cost", "5")) {
				connected = false
			}
		}
		awaitResponses(ended, requestTimeout, func() bool {
			h.mu.Lock()
			defer h.mu.Unlock()
			for _, request := range inFlight {
				if request.responses == 0 && request.outcome == "" {
					return false
				}
			}
			return true
		})
		stub.Close()
		<-ended
	}
}

func trySend(s *fake.Client, message []any) (sent bool) {
	defer func() { sent = recover() == nil }() // the connection ended: the reader tells
	s.Send(message)
	return true
}

// awaitResponses waits until all is answered, the connection is over, or the time is up.
func awaitResponses(ended chan struct{}, timeout time.Duration, done func() bool) {
	for deadline := time.Now().Add(timeout); time.Now().Before(deadline) && !done(); {
		select {
		case <-ended:
			return
		case <-time.After(5 * time.Millisecond):
		}
	}
}
