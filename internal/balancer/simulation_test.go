package balancer

import (
	"container/heap"
	"math/rand/v2"
	"time"
)

// simulatedFleet is a fleet in simulated time: servers with cores and a queue.
type simulatedFleet struct {
	now         float64 // s
	events      simulatedEvents
	eventCount  int
	random      *rand.Rand
	servers     []*simulatedServer
	meanRunTime float64 // s that a request takes on a core
	delay       float64 // s from an answer or a report to the sender
	countFrom   float64 // s, when counting starts

	serversByLoad [][]int // indexes of the servers by their load; nil: not kept

	latencies []float64 // s, of succeeded requests
	failed    int
}

// simulatedServer is one server of a simulated fleet.
type simulatedServer struct {
	index        int
	indexByLoad  int // its place among the servers of its load
	cores        int
	busy         int     // cores at work
	speed        float64 // 1 is usual
	broken       bool    // fails at once
	queue        []func()
	idleSince    float64   // s
	idleTimes    []float64 // s that it was idle, each time
	runsBySecond []int     // requests by second since counting started
}

func (s *simulatedServer) load() float64 { return float64(s.busy + len(s.queue)) }

// reportedLoad is the load that it reports.
func (s *simulatedServer) reportedLoad(now float64) float64 {
	if load := s.load(); load > 0 {
		return load
	}
	return IdleLoad(seconds(now - s.idleSince))
}

// simulatedEvent is something that is done at a simulated time.
type simulatedEvent struct {
	at       float64 // s
	sequence int     // of events at the same time the earlier scheduled one comes first
	do       func()
}

// simulatedEvents is a heap of events.
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

// schedule has something done in so many seconds.
func (f *simulatedFleet) schedule(delay float64, do func()) {
	f.eventCount++
	heap.Push(&f.events, simulatedEvent{f.now + delay, f.eventCount, do})
}

// run does what is scheduled up to a time in seconds.
func (f *simulatedFleet) run(until float64) {
	for len(f.events) > 0 && f.events[0].at <= until {
		event := heap.Pop(&f.events).(simulatedEvent)
		f.now = event.at
		event.do()
	}
	f.now = until
}

// indexByLoad starts to keep serversByLoad.
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

// reindex moves a server whose load has changed.
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

// leastLoaded draws one of the servers with the least load.
func (f *simulatedFleet) leastLoaded() int {
	for _, row := range f.serversByLoad {
		if len(row) > 0 {
			return row[f.random.IntN(len(row))]
		}
	}
	return 0
}

// serve gives a request to a server; done gets the outcome, at the server.
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

// recordIdleTime notes how long a server has been idle.
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

// poisson draws how many requests come where so many are expected.
func poisson(random *rand.Rand, mean float64) (count int) {
	for x := random.ExpFloat64(); x < mean; x += random.ExpFloat64() {
		count++
	}
	return count
}
