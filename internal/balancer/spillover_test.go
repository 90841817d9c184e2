package balancer

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"
)

// Example_spillover shows each reason for which Pick does not spill over a request, and requests that are spilled over
// to an endpoint with spare capacity.
func Example_spillover() {
	config := DefaultSpilloverConfig()
	config.BudgetBurst = 3
	balancer := newBalancer(DefaultConfig(), makeEndpoints(4))
	policy := NewSpilloverPolicy(config, balancer)
	random := rand.New(rand.NewPCG(1, 1)).Float64
	now := 10 * time.Second
	pick := func(remaining time.Duration, ownLoad float64) {
		index, reason := policy.Pick(now, remaining, ownLoad, random)
		if reason == Allowed {
			balancer.RecordStart(now, index)
			fmt.Println("to", balancer.NameAt(index))
		} else {
			fmt.Println(reason)
		}
	}
	reportAll := func(age time.Duration, loads ...float64) {
		for i, load := range loads {
			balancer.RecordReport(now, i, load, age)
		}
	}
	pick(time.Second, 9)
	reportAll(0, 8, 8, 8, 0) // requests in progress on two cores each
	policy.saturation.countedAt = 0
	pick(50*time.Millisecond, 9)
	pick(time.Second, 9)
	now += 100 * time.Millisecond
	balancer.RecordReport(now, 2, 1, 0)
	pick(time.Second, 0.5)
	pick(time.Second, 9)
	policy.budget = 0.3
	pick(time.Second, 9)
	for range 4 {
		policy.RecordArrival()
	}
	pick(time.Second, 9)
	now += 5 * time.Second
	reportAll(2*time.Second, 0, 0, 0, 0)
	policy.budget = 3
	pick(time.Second, 9)
	reportAll(0, 0, 0, 0, 0)
	now += 60 * time.Millisecond
	for i := range 3 { // idle, but with reports that are too old; the endpoint with a recent report has no capacity
		balancer.endpoints[i].reportedAt = now - 2*time.Second
	}
	balancer.RecordReport(now, 3, 3, 0)
	pick(time.Second, 9)
	for range 3 {
		policy.RecordOutcome(now, Rejected)
	}
	pick(time.Second, 9)
	now += time.Second
	reportAll(0, 0, 0, 0, 0)
	pick(time.Second, 9)
	// Output:
	// no-reports
	// deadline-too-close
	// fleet-saturated
	// no-capacity
	// to m3
	// budget-exhausted
	// to m2
	// no-reports
	// no-capacity
	// backing-off
	// to m0
}

func TestSpilloverReasonString(t *testing.T) {
	for reason := Allowed; reason <= Draining; reason++ {
		if got := reason.String(); got == "" {
			t.Errorf("reason %d has no name", uint8(reason))
		}
	}
	if got := SpilloverReason(99).String(); got != "SpilloverReason(99)" {
		t.Errorf("name of unknown reason 99 is %q, want %q", got, "SpilloverReason(99)")
	}
}

// TestSpillover simulates a fleet in which a fifth of the servers receives three times the requests of the others, and
// servers spill over requests that they would reject. If all servers are saturated, few requests are spilled over, and
// about as many are rejected as without spillover.
func TestSpillover(t *testing.T) {
	config := DefaultSpilloverConfig()
	config.BudgetRatio, config.BudgetBurst = 0.5, 50
	without := simulateSpillover(0.7, nil)
	with := simulateSpillover(0.7, &config)
	t.Logf("uneven: rejected %.4f without spillover; with spillover %v", without.rejected, with)
	if with.rejected > 0.2*without.rejected || with.spilledRejected > 0.05 {
		t.Error("spillover does not reduce rejections, or too many spilled requests are rejected")
	}
	defaults := DefaultSpilloverConfig()
	withDefaults := simulateSpillover(0.7, &defaults)
	t.Logf("with the default budget: %v", withDefaults)
	if withDefaults.rejected > 0.9*without.rejected || withDefaults.spilled > defaults.BudgetRatio {
		t.Error("spillover with the default budget does not reduce rejections, or exceeds the budget")
	}
	without = simulateSpillover(1.6, nil)
	with = simulateSpillover(1.6, &config)
	t.Logf("all saturated: rejected %.4f without spillover; with spillover %v", without.rejected, with)
	if with.spilled > 0.02 || with.rejected > 1.02*without.rejected {
		t.Error("spillover adds to the overload of a saturated fleet")
	}
	ignoringSaturation := config
	ignoringSaturation.MaxSaturatedFraction, ignoringSaturation.SaturatedLoad = 1, 1000
	t.Logf("  ignoring saturation: %v", simulateSpillover(1.6, &ignoringSaturation))
}

// spilloverResult holds the measurements of a simulation of spillover.
type spilloverResult struct {
	rejected        float64 // fraction of all requests
	spilled         float64 // fraction of all requests
	spilledRejected float64 // rejected fraction of the spilled requests
}

func (r spilloverResult) String() string {
	return fmt.Sprintf("rejected %.4f, spilled %.4f, of which %.3f were rejected",
		r.rejected, r.spilled, r.spilledRejected)
}

// spilloverRun is the state of a running simulation of spillover.
type spilloverRun struct {
	fleet                                       *simulatedFleet
	arrived, rejected, spilled, spilledRejected float64
}

// maxSpilloverLoad is the number of requests that each server accepts at a time.
const maxSpilloverLoad = 6

// spillingServer is a server that spills over requests.
type spillingServer struct {
	run      *spilloverRun
	index    int
	server   *simulatedServer
	balancer *Balancer        // with all other servers as endpoints
	policy   *SpilloverPolicy // nil: no spillover
	rate     float64          // requests per second
}

// simulateSpillover simulates a fleet. If config is nil, no requests are spilled over.
func simulateSpillover(utilization float64, config *SpilloverConfig) spilloverResult {
	const servers = 60
	fleet := &simulatedFleet{random: rand.New(rand.NewPCG(3, 2)), meanRunTime: 0.05, countFrom: 2}
	run := &spilloverRun{fleet: fleet}
	endpoints := makeEndpoints(servers)
	for range endpoints {
		fleet.servers = append(fleet.servers, &simulatedServer{cores: 2, speed: 1})
	}
	for i := range endpoints {
		server := &spillingServer{
			run:      run,
			index:    i,
			server:   fleet.servers[i],
			balancer: New(DefaultConfig()),
			rate:     utilization * 2 / fleet.meanRunTime * 5 / 7,
		}
		server.balancer.SetEndpoints(0, append(append([]Endpoint{}, endpoints[:i]...), endpoints[i+1:]...))
		if config != nil {
			server.policy = NewSpilloverPolicy(*config, server.balancer)
		}
		if i%5 == 0 {
			server.rate *= 3
		}
		fleet.schedule(fleet.random.Float64()*0.05, server.poll)
		fleet.schedule(fleet.random.ExpFloat64()/server.rate, server.arrive)
	}
	fleet.run(20)
	return spilloverResult{
		rejected:        run.rejected / run.arrived,
		spilled:         run.spilled / run.arrived,
		spilledRejected: run.spilledRejected / max(1, run.spilled),
	}
}

// serverAt returns the server at an index of s.balancer, whose endpoints are all servers but s.
func (s *spillingServer) serverAt(index int) *simulatedServer {
	if index >= s.index {
		index++
	}
	return s.run.fleet.servers[index]
}

// poll probes other servers periodically while the server has more requests than cores.
func (s *spillingServer) poll() {
	if s.server.load() > 2 {
		s.probe()
		s.probe()
	}
	s.run.fleet.schedule(0.05, s.poll)
}

func (s *spillingServer) probe() {
	fleet := s.run.fleet
	index, ok := s.balancer.PickProbe(fleet.time(), fleet.random.Float64)
	if !ok {
		return
	}
	name, load := s.balancer.NameAt(index), s.serverAt(index).reportedLoad(fleet.now)
	fleet.schedule(0.002, func() {
		if index, ok := s.balancer.IndexOf(name); ok {
			s.balancer.RecordProbe(fleet.time(), index, load, time.Millisecond)
		}
	})
}

// arrive handles an arriving request, and schedules the next arrival.
func (s *spillingServer) arrive() {
	run, fleet := s.run, s.run.fleet
	fleet.schedule(fleet.random.ExpFloat64()/s.rate, s.arrive)
	run.arrived++
	if s.policy != nil {
		s.policy.RecordArrival()
	}
	if s.server.load() < maxSpilloverLoad {
		fleet.serve(s.server, func(Outcome) {})
		return
	}
	if s.policy == nil {
		run.rejected++
		return
	}
	s.probe()
	index, reason := s.policy.Pick(fleet.time(), time.Second, s.server.load()/2, fleet.random.Float64)
	if reason != Allowed {
		run.rejected++
		return
	}
	run.spilled++
	s.spill(index)
}

func (s *spillingServer) spill(index int) {
	fleet := s.run.fleet
	sentAt, name, server := fleet.now, s.balancer.NameAt(index), s.serverAt(index)
	s.balancer.RecordStart(fleet.time(), index)
	fleet.schedule(0.001, func() {
		if server.load() >= maxSpilloverLoad {
			s.run.spilledRejected++
			s.run.rejected++
			s.balancer.RecordOutcome(fleet.time(), name, Rejected, 0)
			s.policy.RecordOutcome(fleet.time(), Rejected)
			return
		}
		fleet.serve(server, func(Outcome) {
			s.balancer.RecordOutcome(fleet.time(), name, Succeeded, seconds(fleet.now-sentAt))
			s.policy.RecordOutcome(fleet.time(), Succeeded)
		})
	})
}
