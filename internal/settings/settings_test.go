package settings

import (
	"fmt"
	"runtime"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/valyala/fastjson"

	"lanewheel/admission"
)

const sampleSettings = `{"classes":[
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

// fakeExecutor carries out what a desk decides: a run takes 30 ms, and every second one stands at a call of 5 ms first.
type fakeExecutor struct {
	now       time.Duration
	scheduled map[time.Duration][]func()
	answers   map[admission.RequestID]int
	problems  []string
	started   int
	onEnd     map[admission.RequestID]func(admission.Outcome, time.Duration)
	finished  map[admission.RequestID]bool
}

func (w *fakeExecutor) schedule(at time.Duration, call func()) {
	at = max(at, w.now+2*time.Millisecond).Truncate(2 * time.Millisecond)
	w.scheduled[at] = append(w.scheduled[at], call)
}

// answer gives the one answer; what is said of an op that has it changes nothing, as in an instance.
func (w *fakeExecutor) answer(id admission.RequestID)                 { w.answers[id] = 1 }
func (w *fakeExecutor) Now() time.Duration                            { return w.now }
func (w *fakeExecutor) Fail(id admission.RequestID)                   { w.answer(id) }
func (w *fakeExecutor) SkipCall(id admission.RequestID)               { w.endAfter(id, 30*time.Millisecond) }
func (w *fakeExecutor) KeepRecord(admission.RequestID, time.Duration) {}
func (w *fakeExecutor) DropRecord(admission.RequestID)                {}
func (w *fakeExecutor) SetHealth(admission.Health)                          {}
func (w *fakeExecutor) PublishLoad(float64)                           {}
func (w *fakeExecutor) SetIdleTimeout(time.Duration)                  {}
func (w *fakeExecutor) LogTransition(admission.Transition)            {}
func (w *fakeExecutor) Coalesce(admission.RequestID, func(admission.Outcome, time.Duration)) {
	w.problems = append(w.problems, "shares, and nothing repeats")
}
func (w *fakeExecutor) Reject(id admission.RequestID, away time.Duration, _ bool) {
	w.answer(id)
	if away < 0 {
		w.problems = append(w.problems, "away for "+away.String())
	}
}
func (w *fakeExecutor) Start(id admission.RequestID, atCall func(), ended func(admission.Outcome, time.Duration)) {
	w.started++
	w.onEnd[id] = ended
	if w.started%2 == 0 {
		w.schedule(w.now+2*time.Millisecond, atCall)
		return
	}
	w.endAfter(id, 30*time.Millisecond)
}
func (w *fakeExecutor) endAfter(id admission.RequestID, after time.Duration) {
	w.schedule(w.now+after, func() {
		if !w.finished[id] {
			w.finished[id] = true
			if w.answers[id] == 0 {
				w.answer(id)
			}
			w.onEnd[id](admission.Succeeded, after)
		}
	})
}
func (w *fakeExecutor) Stop(id admission.RequestID) {
	w.schedule(w.now+time.Millisecond, func() {
		if !w.finished[id] {
			w.finished[id] = true
			w.onEnd[id](admission.Stopped, time.Millisecond)
		}
	})
}
func (w *fakeExecutor) Call(id admission.RequestID, until time.Duration, done func(admission.Outcome, time.Duration)) {
	w.schedule(w.now+5*time.Millisecond, func() {
		done(admission.Succeeded, 5*time.Millisecond)
		w.endAfter(id, 20*time.Millisecond)
	})
}
func (w *fakeExecutor) WakeAt(at time.Duration, then func(admission.Gauges)) {
	w.schedule(at, func() { then(admission.Gauges{admission.GaugeRunnable: 2, admission.GaugeBusyCores: 0.9}) })
}

// simulate plays two seconds with settings and tells what was wrong: an op without exactly one answer in its time.
func simulate(settings admission.Settings) (problems []string) {
	executor := &fakeExecutor{scheduled: map[time.Duration][]func(){}, answers: map[admission.RequestID]int{}, onEnd: map[admission.RequestID]func(admission.Outcome, time.Duration){}, finished: map[admission.RequestID]bool{}}
	controller := admission.New(1, settings, executor)
	n := 0
	for ; executor.now < 2*time.Second; executor.now += 2 * time.Millisecond {
		if executor.now < time.Second && executor.now%(8*time.Millisecond) == 0 {
			n++
			controller.Submit(admission.Request{ID: admission.RequestID(strconv.Itoa(n)), Class: admission.Class("abc"[n%3 : n%3+1]), Rank: float64(n%10) / 10, IsWrite: n%3 > 0, Caller: admission.CallerID(n % 5),
				HasDeadline: true, Deadline: executor.now + 500*time.Millisecond, WorkHint: 30 * time.Millisecond, MemoryKB: 20, Tenant: admission.TenantID("xy"[n%2 : n%2+1])})
		}
		if executor.now == 1500*time.Millisecond {
			controller.Drain(executor.now + 400*time.Millisecond)
		}
		for _, call := range executor.scheduled[executor.now] {
			call()
		}
		delete(executor.scheduled, executor.now)
		controller.Decide()
		if executor.now%(50*time.Millisecond) == 0 { // what came over half a second ago has its answer
			for k := 1; time.Duration(k)*8*time.Millisecond < executor.now-530*time.Millisecond && k <= n; k++ {
				if answers := executor.answers[admission.RequestID(strconv.Itoa(k))]; answers != 1 {
					return append(executor.problems, fmt.Sprintf("op %d has %d answers at %v", k, answers, executor.now))
				}
			}
		}
	}
	return executor.problems
}

// Every value of the settings left out, of another type, zero, under zero, tiny and huge: it is refused with its name, or the module goes on
// and every op has one answer in its time.
func TestSettings(t *testing.T) {
	base := fastjson.MustParse(sampleSettings)
	if parsed, problems := Parse(base); len(problems) > 0 || len(simulate(parsed)) > 0 {
		t.Fatal(problems, simulate(parsed))
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
	var tests sync.WaitGroup
	defer tests.Wait()
	slots := make(chan bool, runtime.NumCPU())
	for _, path := range paths {
		for _, value := range []string{"", "null", `"what"`, `""`, "true", "[]", "{}", "[null]", "0", "-1", "-0.0001", "1e-12", "1e7", "9e15", "1e300"} {
			v := fastjson.MustParse(sampleSettings)
			in := v.Get(path[:len(path)-1]...)
			if last := path[len(path)-1]; value == "" {
				in.Del(last)
			} else if i, err := strconv.Atoi(last); err == nil {
				in.SetArrayItem(i, fastjson.MustParse(value))
			} else {
				in.Set(last, fastjson.MustParse(value))
			}
			description := strings.Join(path, ".") + " = " + value
			tests.Add(1)
			slots <- true
			go func() {
				defer func() {
					<-slots
					tests.Done()
				}()
				defer func() {
					if p := recover(); p != nil {
						t.Error(description, "panics:", p)
					}
				}()
				parsed, problems := Parse(v)
				if len(problems) > 0 {
					if text := fmt.Sprint(problems[0]); !strings.Contains(text, path[0]) {
						t.Error(description, "is refused with:", text)
					}
					return
				}
				began := time.Now()
				if failures := simulate(parsed); len(failures) > 0 {
					t.Error(description, failures[0])
				}
				if took := time.Since(began); took > time.Minute {
					t.Error(description, "takes", took)
				}
			}()
		}
	}
}
