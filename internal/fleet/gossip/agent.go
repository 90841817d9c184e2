// Package gossip is the agent of a process that speaks to the other members of its fleet, over memberlist. What it
// receives goes to a membership.Table on an event loop of its own; what the table decides is carried out here and
// handed to those who have subscribed.
package gossip

import (
	"errors"
	"fmt"
	"log/slog"
	mathrand "math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"github.com/hashicorp/memberlist"
	"golang.org/x/time/rate"

	"lanewheel/internal/concurrencylease"
	"lanewheel/internal/eventloop"
	"lanewheel/internal/logging"
	"lanewheel/internal/membership"
	"lanewheel/internal/statussocket"
)

// tickInterval is how often the table is given the time. It has to be well under the table's stall threshold, or the
// process would seem to stand still.
const tickInterval = 100 * time.Millisecond

// Agent is one process's place in its fleet. What is not said to be shared is owned by its event loop.
type Agent struct {
	*eventloop.Loop
	config           Config
	process          Process
	table            *membership.Table
	random           *mathrand.Rand
	memberlist       *memberlist.Memberlist // may be called on any goroutine
	memberlistConfig *memberlist.Config
	transport        *transport                       // shared
	libraryLog       *libraryLog                      // shared
	broadcasts       *memberlist.TransmitLimitedQueue // shared
	start            time.Time
	inbox            inbox // shared

	publisher   publisher
	queries     queries
	joinAddrs   chan string // to the one goroutine that calls others
	joining     bool        // a call is under way
	draining    bool
	fenced      bool
	subscribers []func(*membership.View)
	logSampler  logging.Sampler[string]
	transitions map[string]uint64 // changes of members' states, by "from-to"
	localHealth membership.LocalHealth

	// The rest is shared with memberlist's goroutines and with callers on any goroutine.
	ownHeartbeat        atomic.Pointer[encodedHeartbeat]
	view                atomic.Pointer[membership.View]
	messageLimiter      atomic.Pointer[rate.Limiter]
	maxMembers          atomic.Int64  // config.Membership.MaxMembers
	rateLimited         atomic.Uint64 // messages past the rate
	malformed           atomic.Uint64 // messages that cannot be decoded
	rejectedDescriptors atomic.Uint64
	leaveOnce           sync.Once     // memberlist cannot be left twice
	done                chan struct{} // closed once the fleet has been left

	// OnLeaseRequest takes a holder's request for a lease, where the process is an allocator; answer may be called on any
	// goroutine. OnLease takes a lease that was granted to the process. Both are called on the agent's loop, are nil where
	// there is nobody to take it, and are set before Start.
	OnLeaseRequest func(request concurrencylease.Request, answer func(concurrencylease.Lease))
	OnLease        func(lease concurrencylease.Lease)
	// OnPermitBegin takes a member's wish to begin its permit, where the process is a coordinator; done is called once the
	// permit has begun. The same holds of it.
	OnPermitBegin func(name membership.Name, incarnation membership.Incarnation, number uint64, done func())
}

// Subscribe has callback called with each new view, on the agent's loop. It is to be called before Start.
func (a *Agent) Subscribe(callback func(*membership.View)) {
	a.subscribers = append(a.subscribers, callback)
}

// View is the last view of the fleet. Any goroutine may call it.
func (a *Agent) View() *membership.View { return a.view.Load() }

// Start begins to speak to others.
func (a *Agent) Start() {
	if a.config.StatusSocket != "" {
		statussocket.Serve(a.config.StatusSocket, a.done, a.serveStatus)
	}
	go a.runJoins()
	a.Post(func() {
		a.tick()
		a.joinPeriodically()
		a.pollStatus()
	})
	go a.Run(func() {})
}

func (a *Agent) tick() {
	a.inbox.deliver(a.table)
	a.table.Tick(a.Now())
	a.transport.muted.Store(a.table.HearsNobody())
	a.queries.expire(a.Now())
	a.applyChanges()
	a.logSampler.FlushSuppressed(a.WallTime(), func(kind string, suppressed int) {
		slog.Info("messages suppressed", "kind", kind, "count", suppressed)
	})
	if !a.HasQuit() {
		a.ScheduleAt(a.Now()+tickInterval, a.tick)
	}
}

// applyChanges logs what the table has changed, and publishes its view if it is new.
func (a *Agent) applyChanges() {
	for _, change := range a.table.TakeChanges() {
		a.recordChange(change)
	}
	view := a.table.View()
	if view == a.view.Load() {
		return
	}
	a.view.Store(view)
	if view.LocalHealth != a.localHealth {
		slog.Info("local health changed", "from", a.localHealth, "to", view.LocalHealth,
			"heard_fraction", fmt.Sprintf("%.2f", view.HeardFraction), "members", view.Len(), "view_version", view.Version)
		a.localHealth = view.LocalHealth
	}
	for _, notify := range a.subscribers {
		notify(view)
	}
}

func (a *Agent) recordChange(change membership.Change) {
	transition := fmt.Sprintf("%v-%v", change.From, change.To)
	a.transitions[transition]++
	if a.logSampler.Allow(transition, a.WallTime()) {
		slog.Info("member state changed", "member", string(change.Name), "incarnation", uint64(change.Incarnation),
			"from", change.From, "to", change.To, "reason", change.Reason, "view_version", change.ViewVersion)
	}
}

// SetConfig replaces keys, seeds, durations and limits. Addresses, names and what the process says of itself hold until
// the next start. Any goroutine may call it.
func (a *Agent) SetConfig(config Config) {
	a.Post(func() {
		a.rotateKeys(membership.PlanKeyRotation(a.config.Keys, config.Keys))
		a.config.Keys = config.Keys
		a.config.Membership = config.Membership
		a.config.MaxMessageRate = config.MaxMessageRate
		a.maxMembers.Store(int64(config.Membership.MaxMembers))
		a.table.SetConfig(config.Membership)
		a.setMessageLimit(config.MaxMessageRate)
	})
}

func (a *Agent) setMessageLimit(perSecond float64) {
	burst := int(max(1, perSecond))
	a.messageLimiter.Store(rate.NewLimiter(rate.Limit(perSecond), burst))
}

// rotateKeys carries out a rotation, if gossip is encrypted. After an error it goes on with the other keys: the more of
// them are there, the more members are understood.
func (a *Agent) rotateKeys(rotation membership.KeyRotation) {
	keyring := a.memberlistConfig.Keyring
	if keyring == nil {
		return
	}
	var errs []error
	for _, key := range rotation.Add {
		errs = append(errs, keyring.AddKey(key))
	}
	if rotation.Primary != nil {
		errs = append(errs, keyring.UseKey(rotation.Primary))
	}
	for _, key := range rotation.Remove {
		errs = append(errs, keyring.RemoveKey(key))
	}
	if len(errs) == 0 {
		return
	}
	attributes := []any{"added", len(rotation.Add), "primary_changed", rotation.Primary != nil,
		"removed", len(rotation.Remove)}
	if err := errors.Join(errs...); err != nil {
		slog.Warn("gossip key rotation failed", append(attributes, "err", err)...)
		return
	}
	slog.Info("gossip keys rotated", attributes...)
}
