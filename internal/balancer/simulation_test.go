package balancer

import (
	"container/heap"
	"math/rand/v2"
	"time"
)

// simulatedFleet is a discrete-event simulation of a fleet of servers, each with cores and a queue.
type simulatedFleet struct {
	now         float64 // s
	events      simulatedEvents
	eventCount  int
	random      *rand.Rand
	servers     []*simulatedServer
	meanRunTime float64 // s, mean run time of a request on a core
	delay       float64 // s, one-way network delay between sender and server
	countFrom   float64 // s, simulated time at which counting starts

	serversByLoad [][]int // indexes of the servers by their load; nil: not maintained

	latencies []float64 // s, of succeeded requests
	failed    int
}

// simulatedServer is one server of a simulated fleet.
type simulatedServer struct {
	index        int
	indexByLoad  int // index among the servers with the same load
	cores        int
	busy         int     // busy cores
	speed        float64 // relative speed, normally 1
	broken       bool    // whether requests fail immediately
	queue        []func()
	idleSince    float64   // s
	idleTimes    []float64 // s, duration of each idle period
	runsBySecond []int     // number of requests in each second since counting started
}

func (s *simulatedServer) load() float64 { return float64(s.busy + len(s.queue)) }

// reportedLoad returns the load that the server reports: the requests in progress and queued, or IdleLoad.
func (s *simulatedServer) reportedLoad(now float64) float64 {
	if load := s.load(); load > 0 {
		return load
	}
	return IdleLoad(seconds(now - s.idleSince))
}

// simulatedEvent is an action at a simulated time.
type simulatedEvent struct {
	at       float64 // s
	sequence int     // orders events at the same time by when they were scheduled
	do       func()
}

// simulatedEvents is a heap of events, ordered by time.
type simulatedEvents []simulatedEvent

func (h simulatedEvents) Len() int { return len(h) }
func (h simulatedEvents) Less(i, j int) bool {
	return h[i].at < h[j].at || h[i].at == h[j].at && h[i].sequence < h[j].sequence
}
func (h simulatedEvents) Swap(i, j int) { h[i], h[j] = h[j], h[i] }
func (h *simulatedEvents) Push(x any)   { *h = append(*h, x.(simulatedEvent)) }
func (h *simulatedEvents) Pop() any {
	last := len(*h) - 1
	event := (*h)[last]
	*h = (*h)[:last]
	return event
}

// time returns the simulated time.
func (f *simulatedFleet) time() time.Duration { return seconds(f.now) }

// schedule schedules an action after a delay in seconds.
func (f *simulatedFleet) schedule(delay float64, do func()) {
	f.eventCount++
	heap.Push(&f.events, simulatedEvent{f.now + delay, f.eventCount, do})
}

// run runs the events up to a simulated time in seconds.
func (f *simulatedFleet) run(until float64) {
	for len(f.events) > 0 && f.events[0].at <= until {
		event := heap.Pop(&f.events).(simulatedEvent)
		f.now = event.at
		event.do()
	}
	f.now = until
}

// indexByLoad builds serversByLoad, which is maintained from then on.
func (f *simulatedFleet) indexByLoad() {
	f.serversByLoad = [][]int{}
	for _, server := range f.servers {
		f.addByLoad(server)
	}
}

func (f *simulatedFleet) addByLoad(server *simulatedServer) {
	load := int(server.load())
	for len(f.serversByLoad) <= load {
		f.serversByLoad = append(f.serversByLoad, nil)
	}
	server.indexByLoad = len(f.serversByLoad[load])
	f.serversByLoad[load] = append(f.serversByLoad[load], server.index)
}

// reindex moves a server whose load has changed within serversByLoad.
func (f *simulatedFleet) reindex(server *simulatedServer, earlierLoad int) {
	if f.serversByLoad == nil {
		return
	}
	row := f.serversByLoad[earlierLoad]
	last := row[len(row)-1]
	row[server.indexByLoad] = last
	f.servers[last].indexByLoad = server.indexByLoad
	f.serversByLoad[earlierLoad] = row[:len(row)-1]
	f.addByLoad(server)
}

// leastLoaded returns the index of a random server among those with the lowest load.
func (f *simulatedFleet) leastLoaded() int {
	for _, row := range f.serversByLoad {
		if len(row) > 0 {
			return row[f.random.IntN(len(row))]
		}
	}
	return 0
}

// serve starts or queues a request at a server. done is called with the outcome at the time when the request ends.
func (f *simulatedFleet) serve(server *simulatedServer, done func(Outcome)) {
	f.countRun(server)
	if server.broken {
		done(Failed)
		return
	}
	earlierLoad := int(server.load())
	if server.busy < server.cores {
		f.start(server, done)
	} else {
		server.queue = append(server.queue, func() { f.start(server, done) })
	}
	f.reindex(server, earlierLoad)
}

func (f *simulatedFleet) start(server *simulatedServer, done func(Outcome)) {
	server.busy++
	f.schedule(f.random.ExpFloat64()*f.meanRunTime/server.speed, func() {
		earlierLoad := int(server.load())
		server.busy--
		server.idleSince = f.now
		done(Succeeded)
		if len(server.queue) > 0 {
			next := server.queue[0]
			server.queue = server.queue[1:]
			next()
		}
		f.reindex(server, earlierLoad)
	})
}

func (f *simulatedFleet) countRun(server *simulatedServer) {
	if f.now < f.countFrom {
		return
	}
	if f.now > f.countFrom && server.load() == 0 {
		f.recordIdleTime(server)
	}
	second := int(f.now - f.countFrom)
	for len(server.runsBySecond) <= second {
		server.runsBySecond = append(server.runsBySecond, 0)
	}
	server.runsBySecond[second]++
}

// recordIdleTime records how long a server has been idle.
func (f *simulatedFleet) recordIdleTime(server *simulatedServer) {
	server.idleTimes = append(server.idleTimes, f.now-max(f.countFrom, server.idleSince))
}

func slowDownEighth(f *simulatedFleet) {
	for i, server := range f.servers {
		if i%8 == 0 {
			server.speed = 0.25
		}
	}
}

func breakTwentieth(f *simulatedFleet) {
	for i, server := range f.servers {
		server.broken = i%20 == 0
	}
}

// poisson draws a number from the Poisson distribution with the given mean.
func poisson(random *rand.Rand, mean float64) (count int) {
	for x := random.ExpFloat64(); x < mean; x += random.ExpFloat64() {
		count++
	}
	return count
}
