package drill

import (
	"math"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"

	"lanewheel/internal/config"
)

// fakeService is what a desk stands beside: it works at every call for as long as that takes, whoever still waits for it, and counts.
type fakeService struct {
	name        string
	cap         int
	listener    net.Listener
	workTime    time.Duration
	mu          sync.Mutex
	inFlight    int
	maxInFlight int
	calls       int
}

func newFakeService(name string, script *config.Drill) *fakeService {
	service := &fakeService{name: name, workTime: script.UpstreamCallDuration}
	for _, setting := range script.AllocatorSettings {
		if setting[0] == "cap" {
			service.cap, _ = strconv.Atoi(setting[1])
		}
	}
	var err error
	if service.listener, err = net.Listen("tcp", "127.0.0.1:0"); err != nil {
		panic(err)
	}
	go func() { _ = http.Serve(service.listener, service) }()
	return service
}

func (s *fakeService) address() string { return s.listener.Addr().String() }

// ServeHTTP answers a call when its work is done, or its time is up.
func (s *fakeService) ServeHTTP(response http.ResponseWriter, request *http.Request) {
	s.mu.Lock()
	s.inFlight++
	s.calls++
	s.maxInFlight = max(s.maxInFlight, s.inFlight)
	number := s.calls
	s.mu.Unlock()
	timeoutMS, _ := strconv.Atoi(request.Header.Get("Statement-Timeout-Ms"))
	// Drawn by number, about the mean: the same for the same order.
	workTime := time.Duration(-math.Log(1-math.Mod(float64(number)*0.6180339887, 1)) * float64(s.workTime))
	time.Sleep(min(workTime, time.Duration(timeoutMS)*time.Millisecond))
	s.mu.Lock()
	s.inFlight--
	s.mu.Unlock()
	if workTime > time.Duration(timeoutMS)*time.Millisecond {
		response.WriteHeader(http.StatusGatewayTimeout)
		return
	}
	_, _ = response.Write([]byte("rows"))
}

// peak is how many calls were running at a time at the most, and how many came.
func (s *fakeService) peak() (most, calls int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.maxInFlight, s.calls
}
