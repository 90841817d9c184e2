package clients

import (
	"testing"
	"time"

	"lanewheel/internal/fake"
)

// A connection on which no message, or only half a message, arrives for 1.5 s is closed.
func TestMessageTimeouts(t *testing.T) {
	for _, test := range []struct{ name, sent, reason string }{
		{"nothing", "", "first-message-timeout"},
		{"half a message", "\x94", "read-timeout"},
	} {
		t.Run(test.name, func(t *testing.T) {
			server := newFakeServer(t, nil)
			client := server.newClient()
			began := time.Now()
			fake.Must(client.Conn.Write([]byte(test.sent)))
			expect(t, client, closedText)
			if after := time.Since(began); after < 1400*time.Millisecond || after > 5*time.Second {
				t.Error("the connection was closed after", after)
			}
			_ = client.Conn.Close()
			server.waitForReason(test.reason)
		})
	}
}

// The client of an unused connection is asked to go away, and the connection is closed if it does not. A
// connection with a pending request stays open.
func TestIdleTimeout(t *testing.T) {
	server := newFakeServer(t, nil)
	idle, busy := server.newClient(), server.newClient()
	send(idle, 1)
	send(busy, 2)
	server.answer(1, succeed)
	expect(t, idle, textOn(succeededOn, 1))
	server.onLoop(func() { server.clients.SetIdleTimeout(100 * time.Millisecond) })
	expect(t, idle, goAway, closedText)
	_ = idle.Conn.Close()
	server.waitForReason("idle-timeout")
	server.answer(2, succeed)
	expect(t, busy, textOn(succeededOn, 2), goAway, closedText)
}

// If there is no room, the connection that has been unused for longest is closed. Connections on which no
// message has ever arrived are closed first, and connections with a pending request are not closed.
func TestEvictIdle(t *testing.T) {
	server := newFakeServer(t, nil)
	used, busy := server.newClient(), server.newClient()
	send(used, 1)
	server.answer(1, succeed)
	expect(t, used, textOn(succeededOn, 1))
	send(busy, 2)
	server.waitFor("the request", func() bool { return len(server.pending) == 1 })
	silent := server.newClient()
	server.onLoop(server.clients.EvictIdle) // too soon after the last use of each connection
	time.Sleep(150 * time.Millisecond)
	server.onLoop(server.clients.EvictIdle)
	expect(t, silent, closedText)
	_ = silent.Conn.Close()
	server.waitForReason("evicted")
	server.waitFor("the end of the connection", func() bool { return len(server.clients.connections) == 2 })
	server.onLoop(server.clients.EvictIdle) // too soon after the last use of the remaining connections
	time.Sleep(time.Second)
	server.onLoop(server.clients.EvictIdle)
	expect(t, used, closedText)
	server.onLoop(func() {
		for _, c := range server.clients.connections {
			if len(c.pending) > 0 && c.closeReason != "" {
				t.Error("the connection with a pending request was closed")
			}
		}
	})
}

// A connection that is closing, and whose client has had time to read the responses, is aborted at once to make
// room.
func TestEvictClosing(t *testing.T) {
	server := newFakeServer(t, nil)
	client := server.newClient()
	send(client, 1)
	client.Send(fake.NewRequest(1, "view", fake.RequestID(1), nil))
	expect(t, client, textOn(failedOn, 1), closedText)
	time.Sleep(150 * time.Millisecond)
	server.onLoop(server.clients.EvictIdle)
	server.waitFor("the end of the connection", func() bool { return len(server.clients.connections) == 0 })
}

// A client that connects after GoAway is also asked to go away.
func TestGoAway(t *testing.T) {
	server := newFakeServer(t, nil)
	before := server.newClient()
	server.onLoop(server.clients.GoAway)
	expect(t, before, goAway)
	expect(t, server.newClient(), goAway)
}

// A drain ends when all connections are closed and the other front ends are drained.
func TestDrain(t *testing.T) {
	server := newFakeServer(t, nil)
	client := server.newClient()
	send(client, 1)
	server.waitFor("the request", func() bool { return len(server.pending) == 1 })
	done := make(chan int, 1)
	others := false
	server.onLoop(func() {
		schedule := DrainScheduleFor(4 * time.Second)
		server.clients.Drain(schedule, server.Now()+4*time.Second, func() bool { return others },
			func(connections int) { done <- connections })
	})
	expect(t, client, goAway)
	server.answer(1, succeed)
	expect(t, client, textOn(succeededOn, 1))
	_ = client.Conn.Close()
	select {
	case <-done:
		t.Fatal("the drain ended before the other front ends were drained")
	case <-time.After(100 * time.Millisecond):
	}
	server.onLoop(func() { others = true })
	select {
	case connections := <-done:
		if connections != 0 {
			t.Errorf("%d connections were closed", connections)
		}
	case <-time.After(time.Second):
		t.Error("the drain has not ended")
	}
}

// Connections that are still open shortly before the kill are closed.
func TestDrainForced(t *testing.T) {
	server := newFakeServer(t, nil)
	client := server.newClient()
	done := make(chan int, 1)
	began := time.Now()
	server.onLoop(func() {
		schedule := DrainScheduleFor(4 * time.Second)
		server.clients.Drain(schedule, server.Now()+schedule.GoAway, func() bool { return true },
			func(connections int) { done <- connections })
	})
	expect(t, client, goAway, closedText)
	_ = client.Conn.Close()
	if connections := <-done; connections != 1 {
		t.Errorf("%d connections were closed", connections)
	}
	if after := time.Since(began); after < 240*time.Millisecond {
		t.Error("the drain ended after", after)
	}
	server.waitForReason("shutdown")
}

func TestDrainScheduleFor(t *testing.T) {
	const ms = time.Millisecond
	for grace, want := range map[time.Duration]DrainSchedule{
		10 * time.Second: {300 * ms, 150 * ms, 80 * ms, 60 * ms, 20 * ms},
		1200 * ms:        {300 * ms, 150 * ms, 80 * ms, 60 * ms, 20 * ms},
		120 * ms:         {30 * ms, 15 * ms, 8 * ms, 6 * ms, 2 * ms},
		0:                {},
	} {
		if got := DrainScheduleFor(grace); got != want {
			t.Errorf("%v: %v, want %v", grace, got, want)
		}
	}
}
