package coordinator

import (
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"sync"
	"testing"
	"time"

	"github.com/anishathalye/porcupine"

	"lanewheel/internal/coordination"
	"lanewheel/internal/fake"
	"lanewheel/internal/membership"
)

// What clients that ask at the same time are told, while leaders end, is what one state would have told them one after the other (porcupine).
func TestLinearizable(t *testing.T) {
	w := newTestFleet(3, 3)
	defer w.close()
	w.leader(3, 3)
	w.propose(oneAtATime)
	fake.WaitFor("all to be known", func() bool { return w.coordinators[w.leader(3, 3)].status().MemberCount == 4 })
	type input struct{ c coordination.Command }
	var mu sync.Mutex
	var history []porcupine.Operation
	began := time.Now()
	var all sync.WaitGroup
	for client := range 4 {
		all.Add(1)
		go func() {
			defer all.Done()
			chance := rand.New(rand.NewPCG(7, uint64(client)))
			for n := range 12 {
				c := coordination.Command{IdempotencyKey: fmt.Sprint(client, "-", n), BeginTimeout: time.Hour}
				c.PermitID = coordination.PermitID(1 + chance.IntN(8))
				c.Member, c.Incarnation = coordination.Name(fmt.Sprint("n", chance.IntN(3))), 1
				switch chance.IntN(4) {
				case 0, 1:
					c.Kind = coordination.KindRequestPermit
				case 2:
					c.Kind = coordination.KindCancelPermit
				case 3:
					c.Kind, c.Member = coordination.KindCancelDrain, ""
				}
				from := time.Since(began).Nanoseconds()
				r := w.propose(c)
				mu.Lock()
				history = append(history, porcupine.Operation{ClientId: client, Input: input{c}, Call: from, Output: r, Return: time.Since(began).Nanoseconds()})
				mu.Unlock()
			}
		}()
	}
	for range 2 {
		time.Sleep(300 * time.Millisecond)
		i := w.leader(3, 3)
		w.kill(i)
		w.startCoordinator(i)
	}
	all.Wait()
	// The state that they begin with, as the stewards have it.
	start := coordination.NewState(coordination.DefaultConfig())
	for i := range 3 {
		start.Apply(coordination.Command{Kind: coordination.KindObserve, Observations: []coordination.Observation{{Name: coordination.Name(fmt.Sprint("n", i)), Incarnation: 1, Release: "1", Roles: membership.RoleServer, Capacity: 1}}})
	}
	start.Apply(oneAtATime)
	first := string(fake.Must(json.Marshal(start)))
	model := porcupine.Model{
		Init: func() any { return first },
		Step: func(state, in, out any) (bool, any) {
			s := &coordination.State{}
			if err := json.Unmarshal([]byte(state.(string)), s); err != nil {
				panic(err)
			}
			r := s.Apply(in.(input).c)
			if fmt.Sprint(r) != fmt.Sprint(out) {
				return false, state
			}
			s.History = nil
			return true, string(fake.Must(json.Marshal(s)))
		},
	}
	if !porcupine.CheckOperations(model, history) {
		for _, o := range history {
			t.Log(o.Call, o.Return, o.ClientId, o.Input, o.Output)
		}
		t.Fatal("not linearizable")
	}
}
