package keep

import (
	"crypto/sha256"
	"time"

	"lanewheel/choice"
	"lanewheel/internal/front"
)

// keys are the ops that repeats are known by. Reads of like type and subject are repeats of each other; so are tries of a keyed op, which no
// field tells of: what they say is the same, byte for byte.
type keys struct {
	of    map[like]*kept
	calls bool // what comes here are calls of the tier above
}

type like struct {
	kind    choice.Class
	subject string
	tenant  choice.TenantID   // empty where there are none
	content [sha256.Size]byte // of a keyed op, or of a read that is a call; zero of any other
	keyed   bool
}

// kept is one key and, once its run has gone well, the result. It is its op's, not that of an id. Danger: a client that sends the id of an op that
// is over once more has the key of that one prolonged, or dropped when it is turned away, and a try of a keyed op runs a second time.
type kept struct {
	id      choice.RequestID
	gone    bool // forgotten
	like    like
	until   time.Duration
	over    bool
	result  []byte
	waiting []*op
}

// like is what repeats of an op have in common, zero where it has none. Danger: one tenant's read answered with what another's came to, of a
// key that both use.
func (k *keys) like(o *op, ask front.Ask, keyed bool) (l like) {
	switch {
	case keyed && ask.Anew:
		// Not who sends it: a further try may come by another stub.
		l = like{kind: o.kind, tenant: o.tenant, content: sha256.Sum256(o.body), keyed: true}
	case !keyed && o.subject != "":
		l = like{kind: o.kind, subject: o.subject, tenant: o.tenant}
		// Danger: calls carry the key of the op that makes them, and one op makes several, each for something else. The body tells them apart.
		if k.calls {
			l.content = sha256.Sum256(o.body)
		}
	}
	return l
}

// repeated is the kept op that this one, which came at a time, repeats, or none.
func (k *keys) repeated(o *op, came time.Duration) choice.RequestID {
	e := k.of[o.like]
	if o.like == (like{}) || e == nil {
		return ""
	}
	switch {
	// Danger: an effect that happens twice. While a keyed op is in hand its key does not age, and one that ran and failed is not run again.
	case e.like.keyed:
		if e.over && e.until <= came {
			return ""
		}
	case e.until <= came, e.over && e.result == nil:
		return ""
	}
	return e.id
}

// lately is how long a key outlasts its time, for repeats that came in it and are read behind it.
const lately = time.Second

func (k *keys) keep(in *Instance, o *op, span time.Duration) {
	if o.like == (like{}) {
		return
	}
	if k.of == nil {
		k.of = map[like]*kept{}
	}
	e := o.kept
	if e == nil {
		if before := k.of[o.like]; before != nil {
			k.drop(before)
		}
		e = &kept{id: o.id, like: o.like}
		k.of[e.like], o.kept = e, e
	}
	e.until = in.Now() + span
	k.age(in, e)
}

// age forgets a key when its time is over.
func (k *keys) age(in *Instance, e *kept) {
	at := e.until
	if e.like.keyed {
		at += lately
	}
	in.At(at, func() {
		if e.gone || e.like.keyed && (!e.over || e.until+lately > in.Now()) || e.until > in.Now() {
			return // it is in hand still, which ages it when it is over; or it got more time
		}
		k.drop(e)
	})
}

// drop forgets a key. Those that wait for its result still get it.
func (k *keys) drop(e *kept) {
	if e == nil || e.gone || len(e.waiting) > 0 {
		return
	}
	e.gone = true
	if k.of[e.like] == e {
		delete(k.of, e.like)
	}
}

// share has an op wait for the result of the one it repeats, or gives it what is kept.
func (k *keys) share(in *Instance, o *op) {
	e := k.of[o.like]
	if e == nil || e.over && e.result == nil {
		in.Hand(func() { in.shared(o, nil, true) })
		return
	}
	if e.over {
		in.Hand(func() { in.shared(o, e.result, true) })
		return
	}
	e.waiting = append(e.waiting, o)
}

// over hears that an op is over, with its result if it went well. The first word counts.
func (k *keys) over(in *Instance, o *op, result []byte) {
	e := o.kept
	if e == nil || e.over || e.gone {
		return
	}
	e.over = true
	if result != nil {
		e.result = append(make([]byte, 0, len(result)), result...)
		if !e.like.keyed {
			e.until = min(e.until, in.Now()+span(in.told.Facts, "shared reads for"))
		}
	}
	waiting := e.waiting
	e.waiting = nil
	for _, w := range waiting {
		in.Hand(func() { in.shared(w, e.result, o.ran) })
	}
	if e.like.keyed && !o.ran { // a later try is free to
		k.drop(e)
		return
	}
	k.age(in, e)
}

// settled hears that nothing more is owed of an op. Danger: a read that was given up, or whose caller left, may run on; who asks the same from now
// on is answered by what nobody asked for any more, or stopped and failed with it. Those that wait for it already still get what it comes to.
// Tries of a keyed op stay with it, whatever became of its answer: its effect may happen.
func (k *keys) settled(o *op) {
	if e := o.kept; e != nil && !e.over && !e.like.keyed && k.of[e.like] == e {
		delete(k.of, e.like)
	}
}

// shared ends an op that waited for another's result. Where that never ran, neither did this one.
func (in *Instance) shared(o *op, result []byte, ran bool) {
	if o.owed == nil || in.ops[o.id] != o {
		return
	}
	how := choice.Succeeded
	switch {
	case result != nil:
		in.answer(o, func(w front.Owed) { w.Answer(result, in.with()) })
	case ran:
		how = choice.Failed
		in.answer(o, func(w front.Owed) { w.Fail(in.with()) })
	default:
		how = choice.Failed
		in.answer(o, func(w front.Owed) { w.Refuse(in.with()) })
	}
	in.touched = true
	o.sharing(how, in.Now()-o.since)
	in.release(o)
}
