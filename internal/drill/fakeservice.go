package drill

import (
	"context"
	"math"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"

	"lanewheel/internal/config"
)

// fakeService is what an allocator stands beside: it works at every call for as long as that takes, whoever still
// waits for it, and counts.
type fakeService struct {
	name     string
	capacity int // calls at a time that there may be; 0: not configured
	listener net.Listener
	workTime time.Duration // mean of a call

	mu          sync.Mutex // guards what follows
	inFlight    int
	maxInFlight int
	calls       int
}

// newFakeService starts a service of an allocator's name.
func newFakeService(name string, script *config.Drill) (*fakeService, error) {
	service := &fakeService{name: name, workTime: script.UpstreamCallDuration}
	for _, setting := range script.AllocatorSettings {
		if setting.Name == "max-concurrency" {
			service.capacity, _ = strconv.Atoi(setting.Value) // the allocator says so if it is no number
		}
	}
	var err error
	service.listener, err = (&net.ListenConfig{}).Listen(context.Background(), "tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	go func() { _ = http.Serve(service.listener, service) }() // until the listener is closed
	return service, nil
}

func (s *fakeService) address() string { return s.listener.Addr().String() }

// ServeHTTP answers a call when its work is done, or its time is up.
func (s *fakeService) ServeHTTP(response http.ResponseWriter, request *http.Request) {
	number := s.begin()
	timeoutMS, _ := strconv.Atoi(request.Header.Get("Statement-Timeout-Ms")) // without one there is no time
	timeout := time.Duration(timeoutMS) * time.Millisecond
	workTime := s.drawWorkTime(number)
	time.Sleep(min(workTime, timeout))
	s.end()
	if workTime > timeout {
		response.WriteHeader(http.StatusGatewayTimeout)
		return
	}
	_, _ = response.Write([]byte("rows")) // the caller may have gone
}

// begin counts a call and returns its number.
func (s *fakeService) begin() (number int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.inFlight++
	s.calls++
	s.maxInFlight = max(s.maxInFlight, s.inFlight)
	return s.calls
}

func (s *fakeService) end() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.inFlight--
}

// drawWorkTime returns how long a call works, exponentially distributed by its number: the same for the same order.
func (s *fakeService) drawWorkTime(number int) time.Duration {
	const goldenRatio = 0.6180339887 // its multiples are spread evenly over [0, 1)
	return time.Duration(-math.Log(1-math.Mod(float64(number)*goldenRatio, 1)) * float64(s.workTime))
}

// totals returns how many calls were running at a time at the most, and how many there were.
func (s *fakeService) totals() (maxInFlight, calls int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.maxInFlight, s.calls
}
