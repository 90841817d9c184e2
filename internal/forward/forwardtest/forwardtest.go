// Package forwardtest provides sockets and membership tables for tests of packages that forward requests.
package forwardtest

import (
	"testing"
	"time"

	"lanewheel/internal/eventloop"
	"lanewheel/internal/membership"
	"lanewheel/internal/transport"
)

// pool is a buffer pool that allocates every buffer and reuses none.
type pool struct{}

func (pool) Get() []byte { return make([]byte, 0, transport.BufferSize) }
func (pool) Put([]byte)  {}

// NewNet returns started sockets that post their events to an event loop.
func NewNet(t testing.TB, loop *eventloop.Loop) *transport.Net {
	t.Helper()
	sockets := &transport.Net{
		BufferPool:     pool{},
		Post:           loop.Post,
		PostRead:       loop.PostBlocking,
		OnAccept:       func(*transport.Conn) {},
		OnFull:         func() {},
		MaxAccepted:    16,
		MaxDescriptors: 128,
		MaxUnread:      1 << 20,
	}
	if err := sockets.Start("127.0.0.1:0"); err != nil {
		t.Fatal(err)
	}
	return sockets
}

// NewTable returns the membership table of a process named self. The process is its only member.
func NewTable(self membership.Name) *membership.Table {
	descriptor := membership.Descriptor{Name: self, Incarnation: 1, BootID: 1}
	return membership.NewTable(descriptor, membership.DefaultConfig(), 0)
}

// AddInstance adds a ready instance to a membership table. addr is the address at which it serves requests.
func AddInstance(table *membership.Table, name membership.Name, addr string) {
	id := membership.ID{Name: name, BootID: 1}
	table.HandleAlive(membership.Descriptor{
		Name:        id.Name,
		BootID:      id.BootID,
		Incarnation: 1,
		Roles:       membership.RoleServer,
		ServiceAddr: addr,
		Capacity:    2,
	}, 0)
	table.HandleHeartbeat(membership.Heartbeat{ID: id, Sequence: 1, Ready: true, ReadyFor: time.Minute}, 0, 0)
}
