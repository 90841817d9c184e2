package drill

import (
	"fmt"
	"io"
	"os"
	"path/filepath"
	"runtime"
	"strconv"
	"strings"
	"sync"
	"time"

	"lanewheel/internal/operator"
)

// Run carries a script out with processes of the program at binary, prints how it goes, and gives the record. An error is what
// kept it from being carried out; whatever did not hold is in the record.
func Run(d *operator.Drill, binary string, out io.Writer) (Record, error) {
	if err := fits(d, out); err != nil {
		return nil, err
	}
	folder, err := os.MkdirTemp("", "lanewheel-drill")
	if err != nil {
		return nil, err
	}
	keep := false
	defer func() {
		if keep {
			fmt.Fprintf(out, "what the processes logged is under %s\n", folder)
		} else {
			os.RemoveAll(folder)
		}
	}()
	w, err := newWorld(d, binary, folder)
	if err != nil {
		return nil, err
	}
	defer w.close()
	if d.Coordinators > 0 {
		w.binary = filepath.Join(filepath.Dir(binary), "lanewheel-steward") // it has all that the others have
	}
	var mu sync.Mutex
	var broken, fallen []Violation
	first := time.Now()
	w.failed = func(what string) {
		mu.Lock()
		defer mu.Unlock()
		fallen = append(fallen, Violation{time.Since(first), "nothing falls over", what})
	}
	w.say = func(line string) { fmt.Fprintln(out, line) }
	h := &history{ops: map[string]*asked{}}
	w.heard = h.ran
	if d.Coordinators > 0 {
		if err := w.stewarding(); err != nil {
			return nil, err
		}
	}
	events := Timeline(d)
	for _, e := range events {
		fmt.Fprintln(out, e)
	}
	v := &views{w: w, took: map[string]time.Duration{}}
	upIn, err := raise(w, v, out)
	if err != nil {
		keep = true
		return nil, err
	}
	v.figures = append(v.figures, Figure{"s until all know all, at the start", upIn.Seconds()})
	began := time.Now()
	mu.Lock()
	first = began
	mu.Unlock()
	var differs []Row
	var loads sync.WaitGroup
	loads.Add(1)
	go func() { defer loads.Done(); h.issue(w, began.Add(d.LoadDuration)) }()
	rest := newRest(v)
	until := d.LoadDuration // the last fault has its time to settle
	if len(events) > 0 {
		until = max(until, events[len(events)-1].At+d.SettleTimeout)
	}
	for at := 0; at < len(events) || time.Since(began) < until; {
		now := time.Since(began)
		if at < len(events) && now >= events[at].At {
			e := &events[at]
			at++
			rest.close(v, now)
			v.Begin(e, now)
			fmt.Fprintln(out, e)
			if e.On == nil {
				w.links.put(*e)
			} else {
				w.do(*e)
			}
			v.mu.Lock()
			v.since = time.Since(began) // from when it is done
			v.mu.Unlock()
			continue
		}
		broken = append(broken, v.Look(now)...)
		differs = append(differs, Row{now.Milliseconds(), "differs", "", "", "", float64(v.differs)})
		for _, p := range w.procs {
			if mb := p.resident(); mb > d.MaxMemoryMB {
				w.failed(fmt.Sprintf("%s holds %.0f MB", p.name, mb))
			}
		}
		// A fault that is behind, with its time to settle, is judged; the next one may have begun within it.
		if at > 0 && (at == len(events) || events[at].At > events[at-1].At+d.SettleTimeout) && !events[at-1].judged(now, d) {
			broken = append(broken, v.Over(&events[at-1], now)...)
			events[at-1].over = true
		}
		time.Sleep(pollEvery(d))
	}
	loads.Wait()
	ended := time.Now()
	v.poll(time.Since(began))
	broken = append(broken, v.Over(nil, time.Since(began))...)
	rest.close(v, time.Since(began))
	most := 0.0
	for _, p := range w.procs {
		most = max(most, p.resident())
	}
	figures := append(v.figures, rest.figures...)
	figures = append(figures, Figure{"MB of its own, the fullest process", most})
	for _, s := range w.services {
		most, calls := s.Most()
		figures = append(figures, Figure{"calls at a time, the most at " + s.name, float64(most)}, Figure{"calls at " + s.name, float64(calls)})
		if most > s.cap {
			w.failed(fmt.Sprintf("%s: %d calls at a time, the cap is %d", s.name, most, s.cap))
		}
	}
	if d.Coordinators > 0 {
		rollout, unmet := w.agreed()
		figures, broken = append(figures, rollout...), append(broken, unmet...)
	}
	even, odd := evenness(w, h, events, began, ended)
	figures, broken = append(figures, even...), append(broken, odd...)
	sum := w.links.sum()
	mu.Lock()
	broken = append(append(broken, fallen...), fourRules(w, h, began, ended)...)
	mu.Unlock()
	r := record(w, h, events, differs, w.links.rows(func(i int) string {
		if i < 0 {
			return "a stranger"
		}
		return w.procs[i].name
	}), broken, figures, began)
	fmt.Fprintln(out, "the links carried", sum)
	keep = len(broken) > 0 || d.KeepLogs
	return r, nil
}

// pollEvery is how often views are compared: what is told in seconds is told to a quarter of one, or, with hundreds of processes
// that each have to answer, to some more.
func pollEvery(d *operator.Drill) time.Duration {
	return max(250*time.Millisecond, time.Duration(d.Instances)*3*time.Millisecond)
}

// judged tells whether an event is not to be judged now: it was, its time to settle is not over, or it is not the fault's last.
func (e *Event) judged(now time.Duration, d *operator.Drill) bool {
	return e.over || now < e.At+d.SettleTimeout || e.Fault.Duration > 0 && !e.Undo
}

// raise starts all processes over the told time and waits until each knows all.
func raise(w *world, v *views, out io.Writer) (time.Duration, error) {
	for _, p := range w.procs {
		if err := w.write(p); err != nil {
			return 0, err
		}
	}
	first := time.Now()
	for i, p := range w.procs {
		time.Sleep(time.Until(first.Add(w.d.StartupDuration * time.Duration(i) / time.Duration(len(w.procs)))))
		if err := w.start(p); err != nil {
			return 0, err
		}
	}
	started := time.Now()
	limit := 60*time.Second + w.d.StartupDuration
	for v.poll(0); !v.equal; v.poll(0) {
		if time.Since(started) > limit {
			return 0, fmt.Errorf("%d of %d processes don't know all others after %v; %s", v.differs, len(w.procs), limit, v.last)
		}
		time.Sleep(pollEvery(w.d))
	}
	took := time.Since(started)
	fmt.Fprintf(out, "%d processes are up and know each other after %.1f s\n", len(w.procs), took.Seconds())
	return took, nil
}

// rest measures what a process costs while nothing is done to it: from the start of the load to the first fault.
type rest struct {
	from    map[string][3]uint64
	at      time.Time
	figures []Figure
	done    bool
}

func newRest(v *views) *rest {
	r := &rest{at: time.Now(), from: map[string][3]uint64{}}
	for id, x := range v.seen {
		r.from[id.String()] = x
	}
	return r
}

func (r *rest) close(v *views, now time.Duration) {
	if r.done || now < 2*time.Second {
		return
	}
	r.done = true
	v.poll(now)
	n, sum := 0.0, [3]float64{}
	for id, x := range v.seen {
		if before, known := r.from[id.String()]; known {
			n++
			for k := range x {
				sum[k] += float64(x[k] - min(x[k], before[k]))
			}
		}
	}
	if per := n * time.Since(r.at).Seconds(); per > 0 {
		r.figures = []Figure{{"bytes a second of a process at rest, both ways", sum[0] / per}, {"ms of CPU a second of a process at rest, load included", sum[1] / per},
			{"datagrams a second that a process sends at rest", sum[2] / per}}
	}
}

// fits says what a rehearsal takes and whether the machine has it.
func fits(d *operator.Drill, out io.Writer) error {
	b, err := os.ReadFile("/proc/meminfo")
	if err != nil {
		return err
	}
	var free float64
	for _, line := range strings.Split(string(b), "\n") {
		if rest, is := strings.CutPrefix(line, "MemAvailable:"); is {
			kb, _ := strconv.ParseFloat(strings.Fields(rest)[0], 64)
			free = kb / 1024
		}
	}
	const each = 24 // MB: what a process was seen to hold with 300 members, the pages of its own and a share of the binary's
	need := float64(d.Instances+d.Proxies+d.Allocators+d.Coordinators)*each + 200
	fmt.Fprintf(out, "%d processes, %d relays and %d desks, some %.0f MB of %.0f free, %d cores, seed %d, from %s\n", d.Instances, d.Proxies, d.Allocators, need, free, runtime.NumCPU(), d.RandomSeed, filepath.Base(d.Path))
	if need > free {
		return fmt.Errorf("%d processes take some %.0f MB, and %.0f are free", d.Instances, need, free)
	}
	return nil
}
