package further

import (
	"crypto/rand"
	"encoding/hex"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"os"
	"slices"
	"text/tabwriter"
	"time"

	"github.com/parquet-go/parquet-go"

	"lanewheel/internal/accord"
	"lanewheel/internal/command"
	"lanewheel/internal/fleet/steward/ask"
	"lanewheel/internal/life"
	"lanewheel/internal/operator"
)

// agree asks the stewards, and prints what they say.
func agree(a command.CoordinatorCommand, out io.Writer) error {
	o, err := life.LoadOperatorConfig(a.File)
	if err != nil {
		return err
	}
	if !o.File.Coordinator.Enabled || len(o.ClusterKeys) == 0 {
		return fmt.Errorf("%s: wants the sections [fleet], with keys, and [steward]", a.File)
	}
	k := ask.Client{Coordinators: o.File.Coordinator.Config.Coordinators, Keys: o.ClusterKeys, Timeout: 20 * time.Second}
	show := func(v any) error {
		e := json.NewEncoder(out)
		e.SetIndent("", "  ")
		return e.Encode(v)
	}
	switch a.Action {
	case "status":
		got, err := k.Do(ask.Request{Status: true})
		if err != nil {
			return err
		}
		if a.JSON {
			return show(got.Status)
		}
		return status(got.Status, out)
	case "history":
		got, err := k.Do(ask.Request{History: true})
		if err != nil {
			return err
		}
		switch {
		case a.Path != "":
			return export(got.History, a.Path)
		case a.JSON:
			return show(got.History)
		}
		history(got.History, out)
		return nil
	case "leave":
		got, err := k.Do(ask.Request{RemoveCoordinator: a.Name})
		if err == nil && got.Error != "" {
			err = errors.New(got.Error)
		}
		return err
	}
	c, err := ordered(a)
	if err != nil {
		return err
	}
	// The same key however often it is asked: a steward that fails between agreeing and answering leaves no second permit behind.
	var b [8]byte
	if _, err := rand.Read(b[:]); err != nil {
		return err
	}
	c.IdempotencyKey = hex.EncodeToString(b[:])
	got, err := k.Do(ask.Request{Command: &c})
	switch {
	case err != nil:
		return err
	case got.Error != "":
		return errors.New(got.Error)
	case !got.Reply.OK:
		return errors.New(got.Reply.Reason)
	}
	numbers := got.Reply.PermitIDs
	if got.Reply.PermitID > 0 {
		numbers = append(numbers, got.Reply.PermitID)
	}
	fmt.Fprintln(out, "agreed", a.Action, numbers)
	if a.Action == "drain" && a.Wait {
		return wait(k, numbers, out)
	}
	return nil
}

// ordered is the command that an operator means.
func ordered(a command.CoordinatorCommand) (c accord.Command, err error) {
	c = accord.Command{RequestedBy: a.RequestedBy, Reason: a.Reason}
	text := func() []byte {
		b, bad := os.ReadFile(a.Path)
		err = errors.Join(err, bad)
		return b
	}
	switch a.Action {
	case "drain", "undrain":
		c.Kind, c.Selector, c.Reason = accord.KindDrain, accord.Selector{Zone: a.Zone, Upstream: a.Upstream}, "drain"
		if a.Action == "undrain" {
			c.Kind = accord.KindCancelDrain
		}
		if a.Name != "" {
			c.Member = accord.Name(a.Name)
			if a.Action == "drain" {
				c.Kind = accord.KindRequestPermit
			}
		}
		if a.Name == "" && a.Zone == "" && a.Upstream == "" {
			err = errors.New("wants a member, --zone or --below")
		}
	case "forget":
		c.Kind, c.Member = accord.KindForgetMember, accord.Name(a.Name)
	case "halt":
		c.Kind = accord.KindHalt
	case "resume":
		c.Kind = accord.KindResume
	case "back":
		c.Kind = accord.KindRollBack
	case "budgets":
		c.Kind = accord.KindSetBudgets
		b := text()
		if err == nil {
			c.Budgets, err = operator.ParseBudgets(a.Path, b)
		}
	case "release":
		c.Kind = accord.KindStartRollout
		b := text()
		if err == nil {
			var p accord.RolloutPlan
			p, err = operator.ParseRollout(a.Path, b)
			c.Plan = &p
		}
	}
	return c, err
}

// wait says how permits go until all have begun and their members are out, or are over.
func wait(k ask.Client, numbers []accord.PermitID, out io.Writer) error {
	said := map[accord.PermitID]string{}
	for {
		got, err := k.Do(ask.Request{Status: true})
		if err != nil {
			return err
		}
		open := 0
		for _, p := range got.Status.Permits {
			if !slices.Contains(numbers, p.ID) {
				continue
			}
			text := string(p.Stage)
			if p.WaitReason != "" && p.Stage == accord.PermitQueued {
				text += ": " + p.WaitReason
			}
			gone := false
			for _, m := range got.Status.Unavailable {
				if m.Name == p.Member && m.State == accord.MemberGone {
					text, gone = "out", p.Stage == accord.PermitBegun
				}
			}
			if !gone {
				open++
			}
			if said[p.ID] != text {
				said[p.ID] = text
				fmt.Fprintf(out, "%s permit %d of %s: %s\n", time.Now().Format(time.TimeOnly), p.ID, p.Member, text)
			}
		}
		if open == 0 {
			return nil
		}
		time.Sleep(500 * time.Millisecond)
	}
}

func status(s *ask.Status, out io.Writer) error {
	fmt.Fprintf(out, "%s, term %d, entry %d of the log, led by %s, %d stewards, %d members, fleet's time %s\n", s.ID, s.Term, s.AppliedIndex, s.Leader, len(s.Coordinators), s.MemberCount, s.FleetTime)
	if s.Halt != nil {
		fmt.Fprintf(out, "HALTED by %s: %s\n", s.Halt.By, s.Halt.Reason)
	}
	if r := s.Rollout; r != nil {
		fmt.Fprintf(out, "release %s to %s by %s: %s, wave %d of %d", r.Name, r.TargetRelease, r.RequestedBy, r.Phase, r.Wave+1, len(r.WaveMembers))
		if r.WaitReason != "" {
			fmt.Fprintf(out, ", waits: %s", r.WaitReason)
		}
		if r.Reason != "" {
			fmt.Fprintf(out, ", why: %s", r.Reason)
		}
		fmt.Fprintln(out)
	}
	w := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	fmt.Fprintln(w, "budget\tof\tmembers\tout\tmay be\tup")
	for _, u := range s.Budgets {
		fmt.Fprintf(w, "%s\t%v\t%d\t%d\t%d\t%g\n", u.Budget.Name, u.Budget.Selector, u.Members, u.Unavailable, u.UnavailableLimit, u.AvailableCapacity)
	}
	fmt.Fprintln(w, "permit\tmember\tfor\tby\tstage\twaits for")
	for _, p := range s.Permits {
		fmt.Fprintf(w, "%d\t%s\t%s\t%s\t%s\t%s\n", p.ID, p.Member, p.Purpose, p.RequestedBy, p.Stage, p.WaitReason)
	}
	fmt.Fprintln(w, "out\twhy\tsince\trelease\tzone")
	for _, m := range s.Unavailable {
		if m.State != accord.MemberUp {
			fmt.Fprintf(w, "%s\t%s\t%v\t%s\t%s\n", m.Name, m.State, m.StateSince.Round(time.Second), m.Release, m.Zone)
		}
	}
	return w.Flush()
}

func history(all []accord.HistoryEntry, out io.Writer) {
	w := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	fmt.Fprintln(w, "nth\tat\tby\tdid\twhat\tcame to")
	for _, e := range all {
		came := "agreed"
		if !e.OK {
			came = "refused"
		}
		if e.Reason != "" {
			came += ": " + e.Reason
		}
		fmt.Fprintf(w, "%d\t%v\t%s\t%s\t%s\t%s\n", e.Sequence, e.At.Round(time.Millisecond), e.RequestedBy, e.Kind, e.Summary, came)
	}
	w.Flush()
}

// line is one command of the history, as it is exported.
type line struct {
	Nth    int64  `parquet:"nth"`
	AtMS   int64  `parquet:"at_ms"`
	By     string `parquet:"by,dict"`
	Do     string `parquet:"do,dict"`
	What   string `parquet:"what"`
	Agreed bool   `parquet:"agreed"`
	Why    string `parquet:"why"`
	Number int64  `parquet:"number"`
}

// schema names the root of the exported history's Parquet schema, which would follow the name of the Go type.
var schema = parquet.NewSchema("line", parquet.SchemaOf(line{}))

func export(all []accord.HistoryEntry, path string) error {
	var rows []line
	for _, e := range all {
		rows = append(rows, line{int64(e.Sequence), e.At.Milliseconds(), e.RequestedBy, string(e.Kind), e.Summary, e.OK, e.Reason, int64(e.PermitID)})
	}
	return parquet.WriteFile(path, rows, schema)
}
