package facts

import (
	"fmt"
	"runtime"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/valyala/fastjson"

	"lanewheel/choice"
)

const settings = `{"classes":[
 {"name":"a","credit":1,"promise-s":0.3,"give-up-s":1,"late-share":0.2,"repeat":"idempotent","dedup-window-s":5,"aim-stretch":0.5,"portion":0.5},
 {"name":"b","credit":2,"promise-s":0.3,"give-up-s":1,"late-share":0,"repeat":"at_most_once"},
 {"name":"c","credit":3,"promise-s":0.3,"give-up-s":1,"late-share":0,"repeat":"deduplicated","dedup-window-s":0.5}],
 "tenants":[{"name":"x","quota-per-s":9,"portion":0.7},{"name":"y","quota-per-s":5,"portion":0.3}],
 "clients":{"marks-retry":true},
 "domain":{"below":"common","calls-over-s":5,"class-calls":[true,true,false],"class-skip-worth":[0,0.5,0],"dep-share":0.8,"clients-total":3,
 "cpus":2,"fresh-s":0.2,"fresh-start":true,"halt":"drop","hangup-seen":true,"heard-for-s":1,"idle-s":30,"key-kb":1,"linger-s":0.2,"memory-kb":1900,
 "run-mem-factor":4,"signal":"tokens"},
 "fleet-size":3,"over-share-worth":0.1,"policy-limits":{"max-retry-after-s":1,"retry-after":true},
 "rules":{"drain-grace-s":0.5,"fall-multiple":8,"start-capacity":0.3,"tip-after-s":2,"warm-within-s":5},"tick-s":0.002}`

// world carries out what a desk decides: a run takes 30 ms, and every second one stands at a call of 5 ms first.
type world struct {
	now      time.Duration
	todo     map[time.Duration][]func()
	answers  map[choice.RequestID]int
	wrong    []string
	runs     int
	run      map[choice.RequestID]func(choice.Outcome, time.Duration)
	finished map[choice.RequestID]bool
}

func (w *world) at(at time.Duration, do func()) {
	at = max(at, w.now+2*time.Millisecond).Truncate(2 * time.Millisecond)
	w.todo[at] = append(w.todo[at], do)
}

// answer gives the one answer; what is said of an op that has it changes nothing, as in an instance.
func (w *world) answer(id choice.RequestID)                 { w.answers[id] = 1 }
func (w *world) Now() time.Duration                         { return w.now }
func (w *world) Fail(id choice.RequestID)                   { w.answer(id) }
func (w *world) SkipCall(id choice.RequestID)               { w.end(id, 30*time.Millisecond) }
func (w *world) KeepRecord(choice.RequestID, time.Duration) {}
func (w *world) DropRecord(choice.RequestID)                {}
func (w *world) SetHealth(bool, bool)                       {}
func (w *world) PublishLoad(float64)                        {}
func (w *world) SetIdleTimeout(time.Duration)               {}
func (w *world) LogTransition(string)                       {}
func (w *world) Coalesce(choice.RequestID, func(choice.Outcome, time.Duration)) {
	w.wrong = append(w.wrong, "shares, and nothing repeats")
}
func (w *world) Reject(id choice.RequestID, away time.Duration, _ bool) {
	w.answer(id)
	if away < 0 {
		w.wrong = append(w.wrong, "away for "+away.String())
	}
}
func (w *world) Start(id choice.RequestID, atCall func(), ended func(choice.Outcome, time.Duration)) {
	w.runs++
	w.run[id] = ended
	if w.runs%2 == 0 {
		w.at(w.now+2*time.Millisecond, atCall)
		return
	}
	w.end(id, 30*time.Millisecond)
}
func (w *world) end(id choice.RequestID, after time.Duration) {
	w.at(w.now+after, func() {
		if !w.finished[id] {
			w.finished[id] = true
			if w.answers[id] == 0 {
				w.answer(id)
			}
			w.run[id](choice.Succeeded, after)
		}
	})
}
func (w *world) Stop(id choice.RequestID) {
	w.at(w.now+time.Millisecond, func() {
		if !w.finished[id] {
			w.finished[id] = true
			w.run[id](choice.Stopped, time.Millisecond)
		}
	})
}
func (w *world) Call(id choice.RequestID, until time.Duration, done func(choice.Outcome, time.Duration)) {
	w.at(w.now+5*time.Millisecond, func() {
		done(choice.Succeeded, 5*time.Millisecond)
		w.end(id, 20*time.Millisecond)
	})
}
func (w *world) WakeAt(at time.Duration, then func(map[string]float64)) {
	w.at(at, func() { then(map[string]float64{"want a core": 2, "cores busy": 0.9}) })
}

// serve plays two seconds with settings and tells what was wrong: an op without exactly one answer in its time.
func serve(told choice.Settings) (wrong []string) {
	w := &world{todo: map[time.Duration][]func(){}, answers: map[choice.RequestID]int{}, run: map[choice.RequestID]func(choice.Outcome, time.Duration){}, finished: map[choice.RequestID]bool{}}
	d := choice.New(1, told, w)
	n := 0
	for ; w.now < 2*time.Second; w.now += 2 * time.Millisecond {
		if w.now < time.Second && w.now%(8*time.Millisecond) == 0 {
			n++
			d.Submit(choice.Request{ID: choice.RequestID(strconv.Itoa(n)), Class: choice.Class("abc"[n%3 : n%3+1]), Rank: float64(n%10) / 10, IsWrite: n%3 > 0, Caller: choice.CallerID(n % 5),
				HasDeadline: true, Deadline: w.now + 500*time.Millisecond, WorkHint: 30 * time.Millisecond, MemoryKB: 20, Tenant: choice.TenantID("xy"[n%2 : n%2+1])})
		}
		if w.now == 1500*time.Millisecond {
			d.Drain(w.now + 400*time.Millisecond)
		}
		for _, do := range w.todo[w.now] {
			do()
		}
		delete(w.todo, w.now)
		d.Decide()
		if w.now%(50*time.Millisecond) == 0 { // what came over half a second ago has its answer
			for k := 1; time.Duration(k)*8*time.Millisecond < w.now-530*time.Millisecond && k <= n; k++ {
				if a := w.answers[choice.RequestID(strconv.Itoa(k))]; a != 1 {
					return append(w.wrong, fmt.Sprintf("op %d has %d answers at %v", k, a, w.now))
				}
			}
		}
	}
	return w.wrong
}

// Every value of the settings left out, of another type, zero, under zero, tiny and huge: it is refused with its name, or the module goes on
// and every op has one answer in its time.
func TestSettings(t *testing.T) {
	base := fastjson.MustParse(settings)
	if told, wrong := Check(base); len(wrong) > 0 || len(serve(told)) > 0 {
		t.Fatal(wrong, serve(told))
	}
	var paths [][]string
	var walk func(v *fastjson.Value, path []string)
	walk = func(v *fastjson.Value, path []string) {
		if len(path) > 0 {
			paths = append(paths, path)
		}
		if o, err := v.Object(); err == nil {
			o.Visit(func(k []byte, x *fastjson.Value) { walk(x, append(path[:len(path):len(path)], string(k))) })
		}
		for i, x := range v.GetArray() {
			walk(x, append(path[:len(path):len(path)], strconv.Itoa(i)))
		}
	}
	walk(base, nil)
	var all sync.WaitGroup
	defer all.Wait()
	room := make(chan bool, runtime.NumCPU())
	for _, path := range paths {
		for _, value := range []string{"", "null", `"what"`, `""`, "true", "[]", "{}", "[null]", "0", "-1", "-0.0001", "1e-12", "1e7", "9e15", "1e300"} {
			v := fastjson.MustParse(settings)
			in := v.Get(path[:len(path)-1]...)
			if last := path[len(path)-1]; value == "" {
				in.Del(last)
			} else if i, err := strconv.Atoi(last); err == nil {
				in.SetArrayItem(i, fastjson.MustParse(value))
			} else {
				in.Set(last, fastjson.MustParse(value))
			}
			what := strings.Join(path, ".") + " = " + value
			all.Add(1)
			room <- true
			go func() {
				defer func() {
					<-room
					all.Done()
				}()
				defer func() {
					if p := recover(); p != nil {
						t.Error(what, "panics:", p)
					}
				}()
				told, wrong := Check(v)
				if len(wrong) > 0 {
					if text := fmt.Sprint(wrong[0]); !strings.Contains(text, path[0]) {
						t.Error(what, "is refused with:", text)
					}
					return
				}
				began := time.Now()
				if bad := serve(told); len(bad) > 0 {
					t.Error(what, bad[0])
				}
				if took := time.Since(began); took > time.Minute {
					t.Error(what, "takes", took)
				}
			}()
		}
	}
}
