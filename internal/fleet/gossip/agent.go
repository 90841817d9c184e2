// Package gossip connects a process to the other members of its fleet through memberlist. Its Agent passes received
// messages to a membership.Table on an event loop of its own, carries out the table's decisions and passes each new
// view of the fleet to its subscribers.
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

// tickInterval is the interval between two calls of membership.Table.Tick. It must be well below the table's stall
// threshold; otherwise the table would conclude that the process has stalled.
const tickInterval = 100 * time.Millisecond

// Agent connects one process to its fleet. Fields that are not marked as shared are owned by its event loop.
type Agent struct {
	*eventloop.Loop
	config           Config
	process          Process
	table            *membership.Table
	random           *mathrand.Rand
	memberlist       *memberlist.Memberlist // shared
	memberlistConfig *memberlist.Config
	transport        *transport                       // shared
	libraryLog       *libraryLog                      // shared
	broadcasts       *memberlist.TransmitLimitedQueue // shared
	start            time.Time
	inbox            inbox // shared

	publisher   publisher
	queries     queries
	joinAddrs   chan string // addresses for runJoins; shared
	joining     bool        // a join is in progress
	draining    bool
	fenced      bool
	subscribers []func(*membership.View)
	logSampler  logging.Sampler[string]
	transitions map[string]uint64 // number of changes of members' states, by "from-to"
	localHealth membership.LocalHealth

	// The fields below are shared with memberlist's goroutines and with callers on any goroutine.
	ownHeartbeat        atomic.Pointer[encodedHeartbeat]
	view                atomic.Pointer[membership.View]
	messageLimiter      atomic.Pointer[rate.Limiter]
	maxMembers          atomic.Int64  // config.Membership.MaxMembers
	rateLimited         atomic.Uint64 // messages dropped because of the rate limit
	malformed           atomic.Uint64 // messages that could not be decoded
	rejectedDescriptors atomic.Uint64
	leaveOnce           sync.Once     // memberlist must not be left twice
	done                chan struct{} // closed when the agent has left the fleet

	// OnLeaseRequest handles a holder's request for a lease if the process is an allocator; answer may be called on
	// any goroutine. OnLease handles a lease that was granted to the process. Both are called on the agent's loop and
	// must be set before Start. If one is nil, the messages for it are ignored.
	OnLeaseRequest func(request concurrencylease.Request, answer func(concurrencylease.Lease))
	OnLease        func(lease concurrencylease.Lease)
	// OnPermitBegin handles a member's request to begin its permit if the process is a coordinator. The handler calls
	// done, on any goroutine, once the permit has begun. OnPermitBegin is called on the agent's loop and must be set
	// before Start. If it is nil, such requests are ignored.
	OnPermitBegin func(name membership.Name, incarnation membership.Incarnation, permitID uint64, done func())
}

// Subscribe registers callback, which is called on the agent's loop with each new view. Subscribe must be called before
// Start.
func (a *Agent) Subscribe(callback func(*membership.View)) {
	a.subscribers = append(a.subscribers, callback)
}

// View returns the latest view of the fleet. Any goroutine may call it.
func (a *Agent) View() *membership.View { return a.view.Load() }

// Start starts the event loop, the status socket and the communication with other members.
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

// applyChanges logs the table's changes and passes its view to the subscribers if it is new.
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

// SetConfig replaces the keys, seeds, durations and limits. The addresses, the names and the other properties that the
// process announces of itself do not change until the next start. Any goroutine may call it.
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

// rotateKeys applies a key rotation if gossip is encrypted. After an error it continues with the remaining keys: the
// more keys are installed, the more members' messages can be decrypted.
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
