package drill

import (
	"encoding/base64"
	"fmt"
	"io"
	"math"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"runtime"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"lanewheel/internal/fleet/gossip"
	"lanewheel/internal/members"
	"lanewheel/internal/operator"
	"lanewheel/internal/standin"
)

// proc is one process of the rehearsal. What is under mu changes as it is killed and started.
type proc struct {
	w            *world
	i            int
	relay        bool
	service      *service // what it stands beside, nil if it is no desk
	steward      bool
	begun        bool   // it was started before
	release      string // that it is on
	name         string
	host, front  string // where it is, and where the others reach it
	folder       string
	rt           *standin.Runtime
	late         bool // its runtime does not take links
	spoils       standin.Spoils
	mu           sync.Mutex
	cmd          *exec.Cmd
	ended        chan struct{}
	meant        bool // its end is our doing
	paused, gone bool
	since        time.Time
	id           members.ID     // of this life, once it has said so
	stops        [][2]time.Time // from when to when it was out by our doing
	told         [][2]time.Time // when it was told to leave, and when that life was over
	keys         []int
	seeds        int
}

// world is all that runs.
type world struct {
	d      *operator.Drill
	binary string
	folder string
	links  *links
	db     *standin.Database
	roster *standin.Roster
	procs  []*proc

	services []*service
	outs     *outs
	hooks    net.Listener
	burst    atomic.Uint64 // how many times the usual load there is, as bits
	keys     []string
	started  chan func() // work for the one thread that starts processes
	heard    func(p *proc, op string)
	failed   func(what string)
	say      func(line string)
}

const (
	gossipPort = 7946
	stubPort   = 8443

	stewardPort = 7960
)

func newWorld(d *operator.Drill, binary, folder string) (*world, error) {
	w := &world{d: d, binary: binary, folder: folder, links: newLinks(d.RandomSeed, ports(d)...), db: standin.NewDatabase(), roster: standin.NewRoster(), started: make(chan func())}
	w.db.Work()
	w.burst.Store(math.Float64bits(1))
	go func() { // the kernel ends a child with the thread that started it: this one stays, whatever becomes of the others
		runtime.LockOSThread()
		for work := range w.started {
			work()
		}
	}()
	for k := range 8 { // the keys of a script go by number; the same for the same seed
		w.keys = append(w.keys, base64.StdEncoding.EncodeToString([]byte(fmt.Sprintf("drill key %02d %019d", k+1, d.RandomSeed))))
	}
	// Danger: two rehearsals on one machine must not meet. Each has loopback networks of its own by its process number.
	net8 := 64 + os.Getpid()%64
	for i := range d.Instances + d.Proxies + d.Allocators + d.Coordinators {
		p := &proc{w: w, i: i, relay: i >= d.Instances && i < d.Instances+d.Proxies, name: fmt.Sprintf("p%03d", i), host: fmt.Sprintf("127.%d.%d.%d", net8, i/250, i%250+1), front: fmt.Sprintf("127.%d.%d.%d", net8+64, i/250, i%250+1),
			rt: standin.NewRuntime(), keys: []int{1}, seeds: d.SeedMembers}
		p.folder = filepath.Join(folder, p.name)
		if err := w.links.add(i, p.host, p.front); err != nil {
			return nil, err
		}
		p.release = release(d, i)
		p.steward = i >= d.Instances+d.Proxies+d.Allocators
		if i >= d.Instances+d.Proxies && !p.steward {
			p.service = newService(p.name, d)
			w.services = append(w.services, p.service)
		}
		w.procs = append(w.procs, p)
		go w.serve(p)
	}
	return w, nil
}

// ports are where streams are taken between processes.
func ports(d *operator.Drill) []int {
	if d.Coordinators > 0 {
		return []int{gossipPort, stubPort, stewardPort}
	}
	return []int{gossipPort, stubPort}
}

// serve is a process's runtime: whichever link comes, it is up and works, as often as the process is started.
func (w *world) serve(p *proc) {
	for n := uint64(0); ; n++ {
		link := &standin.Runtime{Listener: p.rt.Listener}
		if !link.Try() {
			return
		}
		for p.isLate() {
			time.Sleep(20 * time.Millisecond)
		}
		link.Spoils = p.spoilt
		link.Ready("steady")
		if w.outs != nil {
			w.outs.back(p)
		}
		link.Work(2, w.d.MeanRunTime, w.d.RandomSeed+n<<32+uint64(p.i), func(_, _, body string) { w.heard(p, body) })
	}
}

func (p *proc) spoilt() standin.Spoils {
	p.mu.Lock()
	defer p.mu.Unlock()
	if bad, is := p.w.bad(p.release); is && p.spoils == (standin.Spoils{}) {
		return bad
	}
	return p.spoils
}

func (p *proc) isLate() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.late || p.w.d.BadRelease.NeverReady && p.release == p.w.d.BadRelease.Release
}

func (p *proc) file(name string) string { return filepath.Join(p.folder, name) }

// write makes the folder of a process with all that it reads.
func (w *world) write(p *proc) error {
	if err := os.MkdirAll(p.folder, 0o700); err != nil {
		return err
	}
	settings := strings.NewReplacer("IDLE", "30", "FRESH", "0", `"memory-kb":1900`, `"memory-kb":190000`, `"dep-share":8,`, `"dep-share":800,`).Replace(standin.Settings)
	config := fmt.Sprintf(`{"name":%q,"listen":"%s:%d","runtime":%q,"roster":%q,"db":%q,"seed":"%x","stop_ms":1500,`+
		`"limits":{"cores":1,"memory_mb":%g,"sockets":512},"settings":%s}`, p.name, p.host, stubPort, p.rt.Addr(), w.roster.Addr(), w.db.Addr(),
		w.d.RandomSeed+uint64(p.i), w.d.MaxMemoryMB, settings)
	var list []string
	for _, q := range w.procs[:p.seeds] {
		list = append(list, fmt.Sprintf("%s:%d", q.front, gossipPort))
	}
	var ini string
	fleet := fmt.Sprintf("[fleet]\nlisten = %s:%d\nadvertise = %s:%d\nseeds = %s\nzone = %s\nrelease = %s\nkeys = keys\nwatch = w\n",
		p.host, gossipPort, p.front, gossipPort, strings.Join(list, ", "), zone(w.d, p.i), p.release)
	if w.d.Coordinators > 0 {
		fleet += "permits = yes\n"
	}
	section := func(name string, pairs [][2]string) {
		ini += "[" + name + "]\n"
		for _, pair := range pairs {
			ini += pair[0] + " = " + pair[1] + "\n"
		}
	}
	switch {
	case p.relay:
		section("relay", w.d.ProxySettings)
	case p.steward:
		section("steward", w.d.CoordinatorSettings)
		var all []string
		for _, q := range w.procs {
			if q.steward {
				all = append(all, fmt.Sprintf("%s:%d", q.front, stewardPort))
			}
		}
		ini += fmt.Sprintf("listen = %s:%d\nat = %s:%d\nstewards = %s\nfolder = log.d\nrestart = %s hook %s {name} {release}\n", p.host, stewardPort, p.front, stewardPort, strings.Join(all, ", "), w.binary, w.hook())
		fleet += fmt.Sprintf("name = %s\n", p.name)
	case p.service != nil:
		section("grants", w.d.AllocatorSettings)
		ini += fmt.Sprintf("lock = %s\n", filepath.Join(w.folder, p.name+".lock"))
		fleet += fmt.Sprintf("name = %s\nserves = %s\n", p.name, p.service.Addr())
	default:
		if w.d.Allocators > 0 {
			section("below", w.d.UpstreamSettings)
		}
		if w.d.SpilloverEnabled {
			section("handover", w.d.SpilloverSettings)
		}
		fleet += fmt.Sprintf("serves = %s:%d\n", p.front, stubPort)
	}
	ini += fleet
	for _, pair := range w.d.FleetSettings {
		ini += pair[0] + " = " + pair[1] + "\n"
	}
	var text string
	for _, k := range p.keys {
		text += w.keys[k-1] + "\n"
	}
	for name, text := range map[string]string{"config.json": config, "fleet.ini": ini, "keys": text} {
		if err := os.WriteFile(p.file(name), []byte(text), 0o600); err != nil {
			return err
		}
	}
	return nil
}

// start starts a process in its folder.
func (w *world) start(p *proc) error {
	log, err := os.OpenFile(p.file("log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	as := "serve"
	if p.relay {
		as = "relay"
	}
	if p.service != nil {
		as = "desk"
	}
	line := []string{as, "--operator", p.file("fleet.ini")}
	if p.steward {
		line[0] = "steward"
		if !p.begun && p.i == w.d.Instances+w.d.Proxies+w.d.Allocators {
			line = append(line, "--begin")
		}
		p.begun = true
	}
	cmd := exec.Command(w.binary, line...)
	cmd.Env = append(os.Environ(), "RELAY_CONFIG="+p.file("config.json"))
	cmd.Stdout, cmd.Stderr = log, log
	// Danger: a rehearsal that is killed leaves hundreds of processes behind. The kernel ends them with us.
	cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	done := make(chan error)
	w.started <- func() { done <- cmd.Start() }
	err = <-done
	log.Close()
	if err != nil {
		return err
	}
	ended := make(chan struct{})
	crashes := w.d.BadRelease.CrashAfter > 0 && p.release == w.d.BadRelease.Release
	if crashes {
		time.AfterFunc(w.d.BadRelease.CrashAfter, func() { _ = cmd.Process.Kill() })
	}
	p.mu.Lock()
	p.cmd, p.ended, p.meant, p.gone, p.paused, p.since, p.id = cmd, ended, false, false, false, time.Now(), members.ID{}
	p.back()
	p.mu.Unlock()
	go func() {
		err := cmd.Wait()
		p.mu.Lock()
		unmeant := !p.meant && p.cmd == cmd
		if unmeant && err == nil && w.outs != nil { // it left by a permit
			unmeant = false
			p.out()
			defer w.outs.left(w, p)
		}
		if unmeant && crashes { // and whoever looks after processes starts it again
			unmeant = false
			p.out()
			time.AfterFunc(time.Second, func() { _ = w.anew(p.name, "") })
		}
		if p.cmd == cmd {
			p.gone = true
		}
		p.mu.Unlock()
		close(ended)
		if unmeant {
			w.failed(fmt.Sprintf("%s ended by itself: %v; %s", p.name, err, tail(p.file("log"))))
		}
	}()
	return nil
}

// tail is the end of a log, for whoever reads why a process ended.
func tail(path string) string {
	f, err := os.Open(path)
	if err != nil {
		return err.Error()
	}
	defer f.Close()
	if info, err := f.Stat(); err == nil && info.Size() > 600 {
		_, _ = f.Seek(-600, io.SeekEnd)
	}
	b, _ := io.ReadAll(f)
	return string(b)
}

// end ends a process by a signal that it can't or can heed, and waits for it.
func (p *proc) end(sig syscall.Signal) {
	p.mu.Lock()
	cmd, ended := p.cmd, p.ended
	p.meant = true
	p.out()
	if sig == syscall.SIGTERM {
		p.told = append(p.told, [2]time.Time{time.Now()})
		defer func() {
			p.mu.Lock()
			p.told[len(p.told)-1][1] = time.Now()
			p.mu.Unlock()
		}()
	}
	p.mu.Unlock()
	if cmd == nil {
		return
	}
	_ = cmd.Process.Signal(sig)
	if sig != syscall.SIGKILL {
		_ = cmd.Process.Signal(syscall.SIGCONT)
	}
	select {
	case <-ended:
	case <-time.After(5 * time.Second):
		_ = cmd.Process.Kill()
		<-ended
	}
}

// out and back note that a process can't answer from now on, and that it can. They belong under mu.
func (p *proc) out() {
	if n := len(p.stops); n == 0 || !p.stops[n-1][1].IsZero() {
		p.stops = append(p.stops, [2]time.Time{time.Now()})
	}
}

func (p *proc) back() {
	if n := len(p.stops); n > 0 && p.stops[n-1][1].IsZero() {
		p.stops[n-1][1] = time.Now()
	}
}

func (p *proc) signal(sig syscall.Signal) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.cmd != nil && !p.gone {
		_ = p.cmd.Process.Signal(sig)
	}
}

// here tells whether a process should be among the others now, and answers.
func (p *proc) here() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.cmd != nil && !p.gone && !p.meant && !p.paused
}

// brief asks a process for its view.
func (p *proc) brief() (gossip.Snapshot, error) {
	s, err := gossip.ReadSnapshot(p.file("w"), gossip.SnapshotBrief)
	if err == nil {
		life, _ := strconv.ParseUint(s.BootID, 16, 64)
		p.mu.Lock()
		p.id = members.ID{Name: members.Name(s.Name), BootID: members.BootID(life)}
		p.mu.Unlock()
	}
	return s, err
}

// resident is what a process holds, in MB, less the pages of the binary.
func (p *proc) resident() float64 {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.cmd == nil || p.gone {
		return 0
	}
	b, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", p.cmd.Process.Pid))
	if err != nil {
		return 0
	}
	for _, line := range strings.Split(string(b), "\n") {
		if rest, is := strings.CutPrefix(line, "RssAnon:"); is {
			kb, _ := strconv.ParseFloat(strings.Fields(rest)[0], 64)
			return kb / 1024
		}
	}
	return 0
}

// do carries out what is done to processes.
func (w *world) do(e Event) {
	if e.Fault.Action == "agree" && e.Undo { // whoever was drained is started again
		for _, p := range w.procs[:w.d.Instances] {
			p.mu.Lock()
			gone := p.gone && !p.meant
			p.mu.Unlock()
			if gone {
				if err := w.anew(p.name, ""); err != nil {
					w.failed(p.name + ": " + err.Error())
				}
			}
		}
		return
	}
	if e.Fault.Action == "agree" {
		go func() { // an operator's command waits for its answer; the timeline does not
			said, err := w.agree(e.Fault.Command, fmt.Sprint(e.Fault.Name, e.At))
			if err != nil {
				w.failed(e.Fault.Name + ": " + err.Error())
			}
			w.say(fmt.Sprintf("        %s: %s, release %s", e.Fault.Command, said, w.phase()))
		}()
		return
	}
	if e.Fault.Action == "burst" {
		w.burst.Store(math.Float64bits(1))
		if !e.Undo {
			w.burst.Store(math.Float64bits(e.Fault.Factor))
		}
		return
	}
	var all sync.WaitGroup
	for _, i := range e.On {
		p := w.procs[i]
		all.Add(1)
		go func() {
			defer all.Done()
			if err := w.one(e, p); err != nil {
				w.failed(fmt.Sprintf("%s: %s: %v", e.Fault.Name, p.name, err))
			}
		}()
	}
	all.Wait()
}

func (w *world) one(e Event, p *proc) error {
	f := e.Fault
	switch {
	case f.Action == "kill" && !e.Undo, f.Action == "wipe" && !e.Undo:
		p.end(syscall.SIGKILL)
		if f.Action == "wipe" {
			return os.RemoveAll(p.folder)
		}
	case f.Action == "kill" || f.Action == "wipe" || f.Action == "leave" && e.Undo:
		if err := w.write(p); err != nil {
			return err
		}
		return w.start(p)
	case f.Action == "leave":
		p.end(syscall.SIGTERM)
	case f.Action == "pause":
		p.mu.Lock()
		p.paused = !e.Undo
		if e.Undo {
			p.back()
		} else {
			p.out()
		}
		p.mu.Unlock()
		if e.Undo {
			p.signal(syscall.SIGCONT)
		} else {
			p.signal(syscall.SIGSTOP)
		}
	case (f.Action == "restart" || f.Action == "replace") && !e.Undo: // under its old name and address; the second one leaves first
		if f.Action == "restart" {
			p.end(syscall.SIGKILL)
		} else {
			p.end(syscall.SIGTERM)
		}
		return w.start(p)
	case f.Action == "late-runtime":
		p.mu.Lock()
		p.late = !e.Undo
		p.mu.Unlock()
		if !e.Undo {
			p.end(syscall.SIGKILL)
			return w.start(p)
		}
	case f.Action == "slow-runs" || f.Action == "fail-runs" || f.Action == "lose-runs":
		p.mu.Lock()
		p.spoils = standin.Spoils{}
		if !e.Undo {
			p.spoils = standin.Spoils{Slow: f.Factor, Fail: f.Action == "fail-runs", Lose: f.Action == "lose-runs"}
		}
		p.mu.Unlock()
	case f.Action == "keys" && !e.Undo || f.Action == "seeds" && !e.Undo:
		if len(f.KeyNumbers) > 0 {
			p.keys = f.KeyNumbers
		}
		p.seeds = max(p.seeds, f.SeedMembers)
		if err := w.write(p); err != nil {
			return err
		}
		p.signal(syscall.SIGHUP)
	case f.Action == "flood" && !e.Undo:
		go w.flood(p, f)
	}
	return nil
}

// flood is a stranger without the key: what it sends is noise, too large, and a fleet's of another key, by datagram and stream.
func (w *world) flood(p *proc, f *operator.DrillFault) {
	addr := net.JoinHostPort(p.front, strconv.Itoa(gossipPort))
	c, err := net.Dial("udp", addr)
	if err != nil {
		return
	}
	defer c.Close()
	noise := make([]byte, 1400)
	for end := time.Now().Add(max(f.Duration, time.Second)); time.Now().Before(end); {
		for k := range noise {
			noise[k] = byte(k * int(time.Now().UnixNano()))
		}
		for range 20 {
			_, _ = c.Write(noise[:1+int(time.Now().UnixNano()%1400)])
		}
		if s, err := net.DialTimeout("tcp", addr, 100*time.Millisecond); err == nil {
			_, _ = s.Write(noise[:100])
			s.Close()
		}
		time.Sleep(10 * time.Millisecond)
	}
}

func (w *world) close() {
	var all sync.WaitGroup
	for _, p := range w.procs {
		p.rt.Listener.Close()
		all.Add(1)
		go func() {
			defer all.Done()
			p.end(syscall.SIGKILL)
		}()
	}
	all.Wait()
	for _, s := range w.services {
		s.l.Close()
	}
	if w.hooks != nil {
		w.hooks.Close()
	}
	w.links.close()
	w.db.Listener.Close()
	w.roster.Close()
	close(w.started)
}
