package keep

import (
	"time"

	"lanewheel/choice"
	"lanewheel/internal/certs"
	"lanewheel/internal/identity"
	"lanewheel/internal/rights"
	"lanewheel/internal/wire"
)

// enter asks the door for an op that was read. One whose caller is not known yet waits in the tables, unheard by the module:
// it can be interrupted, its connection may end, and its id is taken, as that of any other.
func (in *Instance) enter(c *caller, n uint32, ask wire.Ask) {
	want := identity.Ask{Token: ask.Token, Ask: rights.Ask{Type: choice.OpType(ask.Type),
		Tenant: choice.TenantID(ask.Tenant), Write: ask.Subject == ""}}
	var o *op
	asked := false // the verdict came before the op had to wait
	in.door.Enter(&c.badge, want, func(v identity.Verdict) {
		asked = true
		if o != nil && (o.stub == nil || in.ops[o.id] != o) { // gone meanwhile
			in.door.Give(&v.Pass)
			return
		}
		in.verdict(c, n, ask, o, v)
	})
	if asked {
		return
	}
	o = in.take(c, n, ask)
	o.outside = true
	ask.Body = nil // it is the reader's; the op has its own
}

// verdict carries out what the door said of an op; o is the op as it waits, nil if it did not have to.
func (in *Instance) verdict(c *caller, n uint32, ask wire.Ask, o *op, v identity.Verdict) {
	c.used = in.now
	switch {
	case v.Why != "":
		in.dismiss(o)
		with := in.with()
		with.Why = string(v.Why)
		c.conn.Denied(n, with)
		c.denied(v.Why)
	case v.After > 0:
		in.dismiss(o)
		in.refuse(c, n, v.After)
	case in.desk == nil: // it can't be: nothing is read before the runtime is up, and it stays up
		in.dismiss(o)
		in.door.Give(&v.Pass)
		in.refuse(c, n, 0)
	default:
		ask.Tenant = string(v.Tenant)
		held := o
		if held == nil {
			held = in.take(c, n, ask)
		}
		held.pass, held.tenant = v.Pass, v.Tenant
		in.admit(c, n, ask, held)
	}
}

// refuse nacks an op that the module has not heard of. When to come again is said where the settings allow it, and no more.
func (in *Instance) refuse(c *caller, n uint32, after time.Duration) {
	with := in.with()
	if passed, _ := in.told.Facts["stay away is passed on"].(bool); passed {
		with.After = after
		if longest := span(in.told.Facts, "longest stay away"); longest > 0 {
			with.After = min(after, longest)
		}
	}
	c.conn.Refuse(n, with)
}

// dismiss takes an op out of the tables that is answered without the module.
func (in *Instance) dismiss(o *op) {
	if o != nil {
		o.outside = true
		in.unowe(o)
		in.release(o)
	}
}

// proven hears that a handshake is over.
func (c *caller) proven(proof any) {
	c.used = c.in.now
	c.badge.Proof, _ = proof.(*certs.Proof)
	if c.parting > 0 { // what it was told before could not be sent
		c.conn.GoAway()
	}
}

// denied hears that an op of this connection was denied. Forged tokens end it as other bad asks do; a certificate that no
// longer counts bars it.
func (c *caller) denied(why rights.Reason) {
	if standing := c.in.door.Standing(&c.badge); standing != "" {
		c.bar(string(standing))
		return
	}
	if identity.Forged(why) {
		if c.strikes++; c.strikes >= 8 {
			c.fault("denied")
		}
	}
}

// bar takes nothing more from a connection whose certificate was taken back. What was read gets its answer; the connection
// ends with the last one.
func (c *caller) bar(code string) {
	if c.barred != "" || c.dying != "" {
		return
	}
	c.barred = code
	c.part()
	c.leaveIfBarred()
}

func (c *caller) leaveIfBarred() {
	if c.barred == "" || len(c.open) > 0 || c.checks > 0 || c.dying != "" {
		return
	}
	// The answer that is being sent goes before the close.
	c.in.At(c.in.now, func() {
		if len(c.open) == 0 && c.dying == "" {
			c.close(c.barred)
		}
	})
}

// looksAtOnce is how many connections are looked at again in one sweep after keys, authorities or lists have changed: a
// chain takes a tenth of a millisecond to follow. Every op is looked at besides.
const looksAtOnce = 64

// sweepDoor has connections end that nothing is asked on and whose certificates no longer count.
func (in *Instance) sweepDoor() {
	in.door.Sweep()
	looks := 0
	for _, c := range in.stubs {
		if looks < looksAtOnce && c.dying == "" && in.door.Old(&c.badge) {
			looks++
			if why := in.door.Standing(&c.badge); why != "" {
				c.bar(string(why))
			}
		}
	}
}

// Admit puts what an operator's file says of callers in force, as it was read anew.
func (in *Instance) Admit(p *identity.Parts) {
	if in.door == nil || p == nil {
		return
	}
	in.door.Replace(*p)
	in.net.Tokens.Store(p.Keys != nil)
}
