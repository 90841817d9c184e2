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

// fakeService is the service behind an allocator. It spends the full work time on each call, up to the call's timeout,
// even if the caller has gone, and counts the calls.
type fakeService struct {
	name     string
	capacity int // maximum number of concurrent calls; 0: not configured
	listener net.Listener
	workTime time.Duration // mean work time of a call

	mu          sync.Mutex // guards the fields below
	inFlight    int
	maxInFlight int // the most concurrent calls so far
	calls       int // in total
}

// newFakeService starts the service of an allocator, which has the allocator's name.
func newFakeService(name string, script *config.Drill) (*fakeService, error) {
	service := &fakeService{name: name, workTime: script.UpstreamCallDuration}
	for _, setting := range script.AllocatorSettings {
		if setting.Name == "max-concurrency" {
			service.capacity, _ = strconv.Atoi(setting.Value) // the allocator reports a value that is not a number
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

// ServeHTTP answers a call when its work is done, or with status 504 when its timeout has passed.
func (s *fakeService) ServeHTTP(response http.ResponseWriter, request *http.Request) {
	number := s.begin()
	timeoutMS, _ := strconv.Atoi(request.Header.Get("Statement-Timeout-Ms")) // without the header the timeout is 0
	timeout := time.Duration(timeoutMS) * time.Millisecond
	workTime := s.drawWorkTime(number)
	time.Sleep(min(workTime, timeout))
	s.end()
	if workTime > timeout {
		response.WriteHeader(http.StatusGatewayTimeout)
		return
	}
	_, _ = response.Write([]byte("rows")) // the caller may have disconnected
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

// drawWorkTime returns the work time of a call. Work times are exponentially distributed and depend on the number of
// the call alone, so that the same order of calls gets the same times.
func (s *fakeService) drawWorkTime(number int) time.Duration {
	const goldenRatio = 0.6180339887 // its multiples are spread evenly over [0, 1)
	return time.Duration(-math.Log(1-math.Mod(float64(number)*goldenRatio, 1)) * float64(s.workTime))
}

// totals returns the largest number of concurrent calls, and the number of all calls.
func (s *fakeService) totals() (maxInFlight, calls int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.maxInFlight, s.calls
}
