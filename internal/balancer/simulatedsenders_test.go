package balancer

import (
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"time"
)

// simulation holds the parameters of a simulated fleet and its senders, each of which has its own Balancer.
type simulation struct {
	servers, senders    int
	utilization         float64 // mean fraction of all cores in use
	config              Config
	subsetSize          int                   // endpoints per sender; 0: all servers
	probesPerRequest    float64               // 0: responses carry no load report, either
	reportAge           time.Duration         // age of the load in each probe's answer when it is sent
	seconds             float64               // s, duration of the measurement
	oracle              bool                  // whether requests go to the server with the lowest true load
	inject              func(*simulatedFleet) // injects a fault into the fleet before the start; nil: no fault
	meanRunTime         float64               // s; 0: 0.1 s
	misreportingServers int                   // number of servers that always report that they are idle
}

// simulationResult holds the measurements of a simulation.
type simulationResult struct {
	p99          float64 // s, 99th percentile of the latency
	late         float64 // fraction of the requests that took longer than 8 mean run times
	peak         float64 // most requests to any server in a second, averaged over the seconds, relative to the mean
	peakByChance float64 // expected peak if each request goes to a uniformly random server
	longestIdle  float64 // longest idle time of a server, relative to the mean time between requests to it
	failed       float64 // fraction of the requests
	connections  int
}

func (r simulationResult) String() string {
	return fmt.Sprintf("99th %6.0f ms, late %.4f, peak %.2f of the mean (chance %.2f), longest idle %.1f expected gaps, "+
		"failed %.4f, connections %d",
		1000*r.p99, r.late, r.peak, r.peakByChance, r.longestIdle, r.failed, r.connections)
}

// simulationRun is the state of a running simulation.
type simulationRun struct {
	simulation
	fleet       *simulatedFleet
	names       []EndpointName
	indexByName map[EndpointName]int
	rate        float64 // requests per second of the fleet
	total       int     // requests sent since counting started
	connections int
}

func (sim simulation) run() simulationResult {
	r := sim.newRun()
	var senders []EndpointName
	for i := range sim.senders {
		senders = append(senders, EndpointName(fmt.Sprint("d", i)))
	}
	subsets := map[EndpointName][]EndpointName{}
	if sim.subsetSize > 0 {
		subsets = Subsets(senders, r.names, sim.subsetSize)
	}
	for _, sender := range senders {
		subset := r.names
		if sim.subsetSize > 0 {
			subset = subsets[sender]
		}
		r.startSender(subset)
	}
	r.fleet.run(r.fleet.countFrom + sim.seconds)
	return r.result()
}

func (sim simulation) newRun() *simulationRun {
	if sim.meanRunTime == 0 {
		sim.meanRunTime = 0.1
	}
	fleet := &simulatedFleet{random: rand.New(rand.NewPCG(1, 2)), meanRunTime: sim.meanRunTime, delay: 0.001, countFrom: 5}
	r := &simulationRun{simulation: sim, fleet: fleet, indexByName: map[EndpointName]int{}}
	for i := range sim.servers {
		name := EndpointName(fmt.Sprint("m", i))
		fleet.servers = append(fleet.servers, &simulatedServer{index: i, cores: 2, speed: 1})
		r.names = append(r.names, name)
		r.indexByName[name] = i
	}
	if sim.oracle {
		fleet.indexByLoad()
	}
	if sim.inject != nil {
		sim.inject(fleet)
	}
	r.rate = sim.utilization * float64(2*sim.servers) / fleet.meanRunTime
	return r
}

// simulatedSender is one process that sends requests to a simulated fleet.
type simulatedSender struct {
	run         *simulationRun
	balancer    *Balancer
	probeCredit float64
}

func (r *simulationRun) startSender(subset []EndpointName) {
	var endpoints []Endpoint
	for _, name := range subset {
		endpoints = append(endpoints, Endpoint{Name: name, Capacity: 2})
	}
	sender := &simulatedSender{run: r, balancer: New(r.config)}
	sender.balancer.SetEndpoints(0, endpoints)
	r.connections += len(endpoints)
	sender.scheduleNext()
}

func (s *simulatedSender) scheduleNext() {
	r := s.run
	r.fleet.schedule(r.fleet.random.ExpFloat64()*float64(r.senders)/r.rate, s.send)
}

func (s *simulatedSender) send() {
	s.scheduleNext()
	r, fleet := s.run, s.run.fleet
	index := 0
	if r.oracle {
		index = fleet.leastLoaded()
	} else {
		picked, _ := s.balancer.Pick(fleet.time(), fleet.random.Float64, nil)
		s.balancer.RecordStart(fleet.time(), picked)
		index = r.indexByName[s.balancer.NameAt(picked)]
		for s.probeCredit += r.probesPerRequest; s.probeCredit >= 1; s.probeCredit-- {
			s.probe()
		}
	}
	sentAt := fleet.now
	if sentAt >= fleet.countFrom {
		r.total++
	}
	fleet.schedule(fleet.delay, func() {
		fleet.serve(fleet.servers[index], func(outcome Outcome) {
			load := fleet.servers[index].reportedLoad(fleet.now)
			fleet.schedule(fleet.delay, func() { s.handleResponse(index, outcome, load, sentAt) })
		})
	})
}

func (s *simulatedSender) probe() {
	r, fleet := s.run, s.run.fleet
	picked, ok := s.balancer.PickProbe(fleet.time(), fleet.random.Float64)
	if !ok {
		return
	}
	name := s.balancer.NameAt(picked)
	server := r.indexByName[name]
	load := fleet.servers[server].reportedLoad(fleet.now)
	if server < r.misreportingServers {
		load = -1
	}
	fleet.schedule(r.reportAge.Seconds()+2*fleet.delay, func() {
		if index, ok := s.balancer.IndexOf(name); ok {
			s.balancer.RecordProbe(fleet.time(), index, load, r.reportAge+seconds(fleet.delay))
		}
	})
}

func (s *simulatedSender) handleResponse(server int, outcome Outcome, load, sentAt float64) {
	r, fleet := s.run, s.run.fleet
	if !r.oracle {
		name := r.names[server]
		s.balancer.RecordOutcome(fleet.time(), name, outcome, seconds(fleet.now-sentAt))
		if index, ok := s.balancer.IndexOf(name); ok && r.probesPerRequest > 0 && server >= r.misreportingServers {
			s.balancer.RecordReport(fleet.time(), index, load, seconds(fleet.delay))
		}
	}
	if sentAt < fleet.countFrom {
		return
	}
	if outcome == Succeeded {
		fleet.latencies = append(fleet.latencies, fleet.now-sentAt)
	} else {
		fleet.failed++
	}
}

func (r *simulationRun) result() (result simulationResult) {
	result.connections = r.connections
	result.failed = float64(r.fleet.failed) / float64(r.total)
	result.p99, result.late = r.latency()
	ratePerServer := r.rate / float64(r.servers)
	result.peak = r.peak() / ratePerServer
	result.peakByChance = r.peakByChance(ratePerServer) / ratePerServer
	result.longestIdle = r.longestIdle() * ratePerServer
	return result
}

// latency returns the 99th percentile of the latency in seconds, and the fraction of the requests that took longer than
// 8 mean run times.
func (r *simulationRun) latency() (p99, late float64) {
	latencies := r.fleet.latencies
	if len(latencies) == 0 { // the oracle sends all requests to broken servers, because their load is lowest
		latencies = []float64{math.Inf(1)}
	}
	slices.Sort(latencies)
	for _, latency := range latencies {
		if latency > 8*r.fleet.meanRunTime {
			late++
		}
	}
	return latencies[len(latencies)*99/100], late / float64(r.total)
}

// peak returns the number of requests of the most loaded server of each second, averaged over the seconds.
func (r *simulationRun) peak() float64 {
	sum, windows := 0, int(r.seconds)
	for second := range windows {
		peak := 0
		for _, server := range r.fleet.servers {
			if second < len(server.runsBySecond) {
				peak = max(peak, server.runsBySecond[second])
			}
		}
		sum += peak
	}
	return float64(sum) / float64(windows)
}

// peakByChance returns the expected peak if each request goes to a uniformly random server.
func (r *simulationRun) peakByChance(ratePerServer float64) float64 {
	const draws = 50
	sum := 0
	for range draws {
		peak := 0
		for range r.servers {
			peak = max(peak, poisson(r.fleet.random, ratePerServer))
		}
		sum += peak
	}
	return float64(sum) / draws
}

// longestIdle returns the longest time in seconds that a server was idle.
func (r *simulationRun) longestIdle() (longest float64) {
	for _, server := range r.fleet.servers {
		if server.load() == 0 {
			r.fleet.recordIdleTime(server)
		}
		for _, idleTime := range server.idleTimes {
			longest = max(longest, idleTime)
		}
	}
	return longest
}
