package drill

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"time"

	"lanewheel/internal/accord"
	"lanewheel/internal/fleet/steward/ask"
	"lanewheel/internal/members"
	"lanewheel/internal/operator"
	"lanewheel/internal/standin"
)

// Hooked asks the rehearsal at a socket to start a member anew on a release: it is what the stewards of a rehearsal are told to run.
func Hooked(socket, name, release string, out io.Writer) error {
	c, err := net.DialTimeout("unix", socket, time.Second)
	if err != nil {
		return err
	}
	defer c.Close()
	_ = c.SetDeadline(time.Now().Add(20 * time.Second))
	if _, err := fmt.Fprintf(c, "%s %s\n", name, release); err != nil {
		return err
	}
	said, err := bufio.NewReader(c).ReadString('\n')
	if err == nil {
		fmt.Fprint(out, said)
	}
	if err == nil && said != "started\n" {
		err = fmt.Errorf("%s", strings.TrimSpace(said))
	}
	return err
}

// outs is who was out by a permit, by the rehearsal's own clock and eyes: from its end to when its next life has come up.
type outs struct {
	mu    sync.Mutex
	now   map[*proc]bool
	moved time.Time      // when one was last back
	most  map[string]int // by group: the most at a time
	max   map[string]int // and the most that may be
	ever  map[string]map[string]bool
}

// stewards makes the stewards of a rehearsal listen to it: the socket by which their command has members started.
func (w *world) stewarding() error {
	w.outs = &outs{now: map[*proc]bool{}, most: map[string]int{}, max: map[string]int{}, ever: map[string]map[string]bool{}}
	for _, p := range w.procs {
		w.outs.on(p)
	}
	l, err := net.Listen("unix", w.hook())
	if err != nil {
		return err
	}
	w.hooks = l
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go func() {
				defer c.Close()
				line, err := bufio.NewReader(c).ReadString('\n')
				name, release, _ := strings.Cut(strings.TrimSpace(line), " ")
				if err == nil {
					err = w.anew(name, strings.TrimSpace(release))
				}
				if err != nil {
					fmt.Fprintln(c, err)
					return
				}
				fmt.Fprintln(c, "started")
			}()
		}
	}()
	return nil
}

func (w *world) hook() string { return filepath.Join(w.folder, "hook") }

// anew starts a process that has left by a permit.
func (w *world) anew(name, release string) error {
	for _, p := range w.procs {
		if p.name != name {
			continue
		}
		p.mu.Lock()
		there := p.cmd != nil && !p.gone
		p.mu.Unlock()
		if there {
			return fmt.Errorf("%s is there", name)
		}
		if release != "" {
			p.mu.Lock()
			p.release = release
			p.mu.Unlock()
			w.outs.on(p)
		}
		if err := w.write(p); err != nil {
			return err
		}
		return w.start(p)
	}
	return fmt.Errorf("no process %q", name)
}

// on notes on which release a process is.
func (o *outs) on(p *proc) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.ever[p.release] == nil {
		o.ever[p.release] = map[string]bool{}
	}
	o.ever[p.release][p.name] = true
}

// groups are those that a process counts in.
func (o *outs) groups(p *proc, z string) []string { return []string{"all", "zone " + z} }

// left notes that a process ended by a permit; it gives what is over its budget then.
func (o *outs) left(w *world, p *proc) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.now[p] = true
	for _, g := range o.groups(p, zone(w.d, p.i)) {
		n := 0
		for q := range o.now {
			if g == "all" || g == "zone "+zone(w.d, q.i) {
				n++
			}
		}
		o.most[g] = max(o.most[g], n)
		if most, told := o.max[g]; told && n > most {
			go w.failed(fmt.Sprintf("%s left by a permit and %d of %s are out by one, %d may be", p.name, n, g, most))
		}
	}
}

func (o *outs) back(p *proc) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.now[p] {
		o.moved = time.Now()
	}
	delete(o.now, p)
}

// moving tells whether somebody is out by a permit, or was a moment ago.
func (o *outs) moving() bool {
	if o == nil {
		return false
	}
	o.mu.Lock()
	defer o.mu.Unlock()
	return len(o.now) > 0 || time.Since(o.moved) < 10*time.Second
}

// budgets notes what may be out, as far as the rehearsal can see it: counts over all and by zone.
func (o *outs) budgets(all []accord.DisruptionBudget) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.max = map[string]int{}
	for _, b := range all {
		switch {
		case b.MaxUnavailable < 0 || b.Selector.Release != "" || b.Selector.Upstream != "" || b.Selector.Role != "" && b.Selector.Role != "instance":
		case b.Selector.Zone != "":
			o.max["zone "+b.Selector.Zone] = b.MaxUnavailable
		default:
			o.max["all"] = b.MaxUnavailable
		}
	}
}

func (w *world) client() ask.Client {
	k := ask.Client{Timeout: 30 * time.Second}
	for _, p := range w.procs {
		if p.steward {
			k.Coordinators = append(k.Coordinators, fmt.Sprintf("%s:%d", p.host, stewardPort))
		}
	}
	for _, key := range w.keys[:1] {
		parsed, _ := operator.ParseClusterKeys("keys", []byte(key))
		k.Keys = append(k.Keys, parsed...)
	}
	return k
}

// agree gives a command to the stewards, as an operator would: budgets FILE, release FILE, halt, resume, back, drain NAME, drain zone NAME.
func (w *world) agree(text, key string) (string, error) {
	c := accord.Command{RequestedBy: "rehearsal", IdempotencyKey: key}
	do, rest, _ := strings.Cut(text, " ")
	rest = strings.TrimSpace(rest)
	file := func() ([]byte, error) { return os.ReadFile(filepath.Join(filepath.Dir(w.d.Path), rest)) }
	switch do {
	case "budgets":
		b, err := file()
		if err != nil {
			return "", err
		}
		c.Kind = accord.KindSetBudgets
		if c.Budgets, err = operator.ParseBudgets(rest, b); err != nil {
			return "", err
		}
		w.outs.budgets(c.Budgets)
	case "release":
		b, err := file()
		if err != nil {
			return "", err
		}
		p, err := operator.ParseRollout(rest, b)
		if err != nil {
			return "", err
		}
		c.Kind, c.Plan = accord.KindStartRollout, &p
	case "halt", "resume", "back":
		c.Kind = accord.Kind(do)
	case "drain":
		if z, is := strings.CutPrefix(rest, "zone "); is {
			c.Kind, c.Selector = accord.KindDrain, accord.Selector{Zone: z, Role: "instance"}
		} else {
			c.Kind, c.Member = accord.KindRequestPermit, members.Name(rest)
		}
	default:
		return "", fmt.Errorf("no command %q", text)
	}
	a, err := w.client().Do(ask.Request{Command: &c})
	switch {
	case err != nil:
		return "", err
	case a.Error != "":
		return "", fmt.Errorf("%s", a.Error)
	case !a.Reply.OK:
		return "refused: " + a.Reply.Reason, nil
	}
	return "agreed", nil
}

// phase is where the release is now, by whichever steward answers.
func (w *world) phase() string {
	k := w.client()
	k.Timeout = time.Second
	a, err := k.Do(ask.Request{Status: true})
	switch {
	case err != nil:
		return "unknown"
	case a.Status.Halt != nil:
		return "halted"
	case a.Status.Rollout == nil:
		return "none"
	}
	return string(a.Status.Rollout.Phase)
}

// agreed judges what the script says of the end: on which release all instances are, and how many were ever on one.
func (w *world) agreed() (figures []Figure, all []Violation) {
	d := w.d
	w.outs.mu.Lock()
	defer w.outs.mu.Unlock()
	for _, g := range []string{"all"} {
		figures = append(figures, Figure{"out by permits at a time, the most of " + g, float64(w.outs.most[g])})
	}
	if d.FinalRelease != "" {
		off := 0
		for _, p := range w.procs[:d.Instances] {
			p.mu.Lock()
			if p.release != d.FinalRelease || p.gone {
				off++
			}
			p.mu.Unlock()
		}
		figures = append(figures, Figure{"instances that are not on release " + d.FinalRelease + " at the end", float64(off)})
		if off > 0 {
			all = append(all, Violation{d.LoadDuration, "release", fmt.Sprintf("%d instances are not on release %s at the end", off, d.FinalRelease)})
		}
	}
	if d.LimitedRelease != "" {
		n := len(w.outs.ever[d.LimitedRelease])
		figures = append(figures, Figure{"instances that were ever on release " + d.LimitedRelease, float64(n)})
		if float64(n) > d.MaxLimitedFraction*float64(d.Instances) {
			all = append(all, Violation{d.LoadDuration, "release", fmt.Sprintf("%d instances were on release %s, %.0f%% is told", n, d.LimitedRelease, 100*d.MaxLimitedFraction)})
		}
	}
	return figures, all
}

// bad is what is wrong with a release, as the script has it.
func (w *world) bad(release string) (standin.Spoils, bool) {
	if w.d.BadRelease.Release == "" || w.d.BadRelease.Release != release {
		return standin.Spoils{}, false
	}
	return standin.Spoils{Slow: w.d.BadRelease.RunTimeFactor, Fail: w.d.BadRelease.FailRuns}, true
}
