package keep

import (
	"lanewheel/choice"
	"lanewheel/internal/front"
	"lanewheel/internal/identity"
	"lanewheel/internal/rights"
)

// enter asks the door for an op that was read. One whose caller is not known yet waits in the tables, unheard by the module:
// it can be given up, and its id is taken, as that of any other.
func (in *Instance) enter(badge *identity.Badge, ask front.Ask, owed front.Owed) *op {
	want := identity.Ask{Token: ask.Token, Ask: rights.Ask{Type: choice.Class(ask.Type),
		Tenant: choice.TenantID(ask.Tenant), Write: ask.Subject == ""}}
	o := in.take(ask, owed)
	o.outside = true
	in.door.Enter(badge, want, func(v identity.Verdict) {
		if o.owed == nil || in.ops[o.id] != o { // gone meanwhile
			in.door.Give(&v.Pass)
			return
		}
		in.verdict(ask, o, v)
	})
	ask.Body = nil // it is the reader's; the op has its own
	return o
}

// verdict carries out what the door said of an op.
func (in *Instance) verdict(ask front.Ask, o *op, v identity.Verdict) {
	switch {
	case v.Why != "":
		with := in.with()
		with.Why = string(v.Why)
		in.dismiss(o, func(w front.Owed) { w.Reject("denied", with) })
	case v.After > 0:
		// When to come again is said where the settings allow it, and no more.
		with := in.with()
		if passed, _ := in.told.Facts["stay away is passed on"].(bool); passed {
			with.After = v.After
			if longest := span(in.told.Facts, "longest stay away"); longest > 0 {
				with.After = min(v.After, longest)
			}
		}
		in.dismiss(o, func(w front.Owed) { w.Refuse(with) })
	default:
		ask.Tenant = string(v.Tenant)
		o.pass, o.tenant = v.Pass, v.Tenant
		in.admit(ask, nil, o)
	}
}

// dismiss answers an op that the module has not heard of, and takes it out of the tables.
func (in *Instance) dismiss(o *op, send func(front.Owed)) {
	o.outside = true
	in.answer(o, send)
	in.release(o)
}

// Admit puts what an operator's file says of callers in force, as it was read anew.
func (in *Instance) Admit(p *identity.Parts) {
	if in.door == nil || p == nil {
		return
	}
	in.door.Replace(*p)
	in.net.Tokens.Store(p.Keys != nil)
}
