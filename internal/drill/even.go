package drill

import (
	"fmt"
	"math"
	"net"
	"net/http"
	"slices"
	"strconv"
	"sync"
	"time"

	"lanewheel/internal/operator"
)

// evenness measures how load was spread over the instances in the seconds in which nothing was done, and judges it where the script says so.
func evenness(w *world, h *history, events []Event, began, ended time.Time) (figures []Figure, all []Violation) {
	d := w.d
	span := int(min(ended.Sub(began), d.LoadDuration).Seconds())
	calm := make([]bool, max(0, span))
	const warm = 8 // s: instances start cold
	for s := range calm {
		calm[s] = s >= warm
	}
	// Whose runs fail or are lost rests, up to half a minute by each relay's own judgement, and that is no load badly spread: it is not held to be idle.
	ill := map[int]bool{}
	for _, e := range events {
		if e.Fault.Action == "fail-runs" || e.Fault.Action == "lose-runs" {
			for _, i := range e.On {
				ill[i] = true
			}
		}
		from, to := e.At, e.At+d.Balance.RecoveryTime
		if e.Fault.Duration > 0 && !e.Undo {
			to = e.At + e.Fault.Duration + d.Balance.RecoveryTime
		}
		if len(e.On) > 0 { // who was started anew is cold
			to += warm * time.Second
		}
		for s := range calm {
			if time.Duration(s+1)*time.Second > from && time.Duration(s)*time.Second < to {
				calm[s] = false
			}
		}
	}
	counts := make([][]int, len(calm))
	for s := range counts {
		counts[s] = make([]int, d.Instances)
	}
	last := make([]time.Duration, d.Instances)
	gaps := make([]float64, d.Instances) // the longest, s
	h.mu.Lock()
	elsewhere := 0
	type ran struct {
		at   time.Duration
		proc int
	}
	var runs []ran
	for _, o := range h.all {
		for _, r := range o.runs {
			runs = append(runs, ran{r.at.Sub(began), r.proc})
			if r.proc != o.proc {
				elsewhere++
			}
		}
	}
	h.mu.Unlock()
	slices.SortFunc(runs, func(a, b ran) int { return int(a.at - b.at) })
	total, waited := 0, ""
	for _, r := range runs {
		s := int(r.at / time.Second)
		if r.proc >= d.Instances || s < 0 || s >= len(calm) || !calm[s] {
			continue
		}
		counts[s][r.proc]++
		total++
		// A gap counts where all of it is calm.
		if from := int(last[r.proc] / time.Second); last[r.proc] > 0 && !ill[r.proc] && !slices.Contains(calm[from:s], false) {
			if g := (r.at - last[r.proc]).Seconds(); g > gaps[r.proc] {
				if gaps[r.proc] = g; g == slices.Max(gaps) {
					waited = fmt.Sprintf("%s until %.1f s", w.procs[r.proc].name, r.at.Seconds())
				}
			}
		}
		last[r.proc] = r.at
	}
	var ratios []float64
	most, chance, seconds := 0.0, 0.0, 0
	for s, row := range counts {
		if !calm[s] {
			continue
		}
		seconds++
		n := 0
		for _, c := range row {
			n += c
		}
		x, by := float64(slices.Max(row)), mostByChance(n, d.Instances)
		most += x
		chance += by
		if by > 0 {
			ratios = append(ratios, x/by)
		}
	}
	if d.SpilloverEnabled && d.Proxies == 0 {
		figures = append(figures, Figure{"ops handed over and run", float64(elsewhere)})
	}
	if seconds < 3 || total == 0 || d.Coordinators > 0 { // by permits somebody is out all the time
		return figures, nil
	}
	slices.Sort(ratios)
	gap := float64(seconds) * float64(d.Instances) / float64(total)
	ratio, idle := most/chance, slices.Max(gaps)/gap
	figures = append(figures, []Figure{{"calm seconds", float64(seconds)}, {"ops a second of an instance, calm", float64(total) / float64(seconds) / float64(d.Instances)},
		{"most loaded of a second, of what chance gives", ratio}, {"... in the worst second", ratios[len(ratios)-1]}, {"longest idle, expected gaps", idle}}...)
	w.say("longest idle: " + waited)
	if d.Balance.Enabled && ratio > d.Balance.MaxImbalance {
		all = append(all, Violation{d.LoadDuration, "load even", fmt.Sprintf("the most loaded of a second had %.2f of what chance gives, %.2f is told", ratio, d.Balance.MaxImbalance)})
	}
	if d.Balance.Enabled && idle > d.Balance.MaxIdleGaps {
		all = append(all, Violation{d.LoadDuration, "none idle", fmt.Sprintf("one waited for %.1f expected gaps, %.1f is told", idle, d.Balance.MaxIdleGaps)})
	}
	return figures, all
}

// mostByChance is how many of n ops the most loaded of m gets on average, if each goes to any with the same chance.
func mostByChance(n, m int) float64 {
	mean := float64(n) / float64(m)
	sum, below, p := 0.0, 0.0, math.Exp(-mean)
	for k := 0; k <= n; k++ {
		below += p // Poisson: at most k
		sum += 1 - math.Pow(min(1, below), float64(m))
		p *= mean / float64(k+1)
		if float64(k) > mean && p < 1e-12 {
			break
		}
	}
	return sum
}

// service is what a desk stands beside: it works at every call for as long as that takes, whoever still waits for it, and counts.
type service struct {
	name  string
	cap   int
	l     net.Listener
	takes time.Duration
	mu    sync.Mutex
	open  int
	most  int
	calls int
}

func newService(name string, d *operator.Drill) *service {
	s := &service{name: name, takes: d.UpstreamCallDuration}
	for _, pair := range d.AllocatorSettings {
		if pair[0] == "cap" {
			s.cap, _ = strconv.Atoi(pair[1])
		}
	}
	var err error
	if s.l, err = net.Listen("tcp", "127.0.0.1:0"); err != nil {
		panic(err)
	}
	go func() { _ = http.Serve(s.l, s) }()
	return s
}

func (s *service) Addr() string { return s.l.Addr().String() }

// ServeHTTP answers a call when its work is done, or its time is up.
func (s *service) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	s.open++
	s.calls++
	s.most = max(s.most, s.open)
	n := s.calls
	s.mu.Unlock()
	limit, _ := strconv.Atoi(r.Header.Get("Statement-Timeout-Ms"))
	// Drawn by number, about the mean: the same for the same order.
	takes := time.Duration(-math.Log(1-math.Mod(float64(n)*0.6180339887, 1)) * float64(s.takes))
	time.Sleep(min(takes, time.Duration(limit)*time.Millisecond))
	s.mu.Lock()
	s.open--
	s.mu.Unlock()
	if takes > time.Duration(limit)*time.Millisecond {
		w.WriteHeader(http.StatusGatewayTimeout)
		return
	}
	_, _ = w.Write([]byte("rows"))
}

// Most is how many calls were running at a time at the most, and how many came.
func (s *service) Most() (most, calls int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.most, s.calls
}
