package keep

import (
	"time"

	"lanewheel/choice"
	"lanewheel/internal/front"
)

// keys are the ops that repeats are known by. Reads of like type and subject are repeats of each other. No
// field tells of a keyed op that it repeats another; once one does, like is where it belongs.
type keys struct {
	of   map[like]*kept
	held map[choice.OpID]*kept
}

type like struct {
	kind    choice.OpType
	subject string
	tenant  choice.TenantID // empty where there are none
}

// kept is one key and, once its run has gone well, the result.
type kept struct {
	id      choice.OpID
	like    like
	until   time.Duration
	over    bool
	result  []byte
	waiting []*op
}

// like is what repeats of an op have in common. Danger: one tenant's read answered with what another's came to, of a key that both use.
func (k *keys) like(o *op) like { return like{o.kind, o.subject, o.tenant} }

// repeated is the kept op that this one repeats, or none.
func (k *keys) repeated(in *Instance, o *op) choice.OpID {
	e := k.of[k.like(o)]
	if o.subject == "" || e == nil || e.until <= in.Now() || e.over && e.result == nil {
		return ""
	}
	return e.id
}

func (k *keys) keep(in *Instance, o *op, span time.Duration) {
	if o.subject == "" {
		return
	}
	if k.of == nil {
		k.of, k.held = map[like]*kept{}, map[choice.OpID]*kept{}
	}
	e := k.held[o.id]
	if e == nil {
		if before := k.of[k.like(o)]; before != nil {
			k.drop(before.id)
		}
		e = &kept{id: o.id, like: k.like(o)}
		k.of[e.like], k.held[o.id] = e, e
	}
	e.until = in.Now() + span
	in.At(e.until, func() {
		if e.until <= in.Now() {
			k.drop(e.id)
		}
	})
}

// drop forgets a key. Those that wait for its result still get it.
func (k *keys) drop(id choice.OpID) {
	e := k.held[id]
	if e == nil || len(e.waiting) > 0 {
		return
	}
	delete(k.held, id)
	if k.of[e.like] == e {
		delete(k.of, e.like)
	}
}

// share has an op wait for the result of the one it repeats, or gives it what is kept.
func (k *keys) share(in *Instance, o *op) {
	e := k.of[k.like(o)]
	if e == nil || e.over && e.result == nil {
		in.Hand(func() { in.shared(o, nil) })
		return
	}
	if e.over {
		in.Hand(func() { in.shared(o, e.result) })
		return
	}
	e.waiting = append(e.waiting, o)
}

// over hears that an op is over, with its result if it went well. The first word counts.
func (k *keys) over(in *Instance, o *op, result []byte) {
	e := k.held[o.id]
	if e == nil || e.over {
		return
	}
	e.over = true
	if result != nil {
		e.result = append(make([]byte, 0, len(result)), result...)
		e.until = min(e.until, in.Now()+span(in.told.Facts, "shared reads for"))
	}
	waiting := e.waiting
	e.waiting = nil
	for _, w := range waiting {
		in.Hand(func() { in.shared(w, e.result) })
	}
	in.At(e.until, func() { k.drop(e.id) })
}

// shared ends an op that waited for another's result.
func (in *Instance) shared(o *op, result []byte) {
	if o.owed == nil || in.ops[o.id] != o {
		return
	}
	how := choice.Acked
	if result == nil {
		how = choice.Failed
		in.answer(o, func(w front.Owed) { w.Fail(in.with()) })
	} else {
		in.answer(o, func(w front.Owed) { w.Answer(result, in.with()) })
	}
	in.touched = true
	o.sharing(how, in.Now()-o.since)
	in.release(o)
}
