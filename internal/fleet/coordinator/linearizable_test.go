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

// randomCommand returns a random command about one of three members or eight permits. Its idempotency key makes it safe
// to repeat.
func randomCommand(random *rand.Rand, key string) coordination.Command {
	command := coordination.Command{
		IdempotencyKey: key,
		BeginTimeout:   time.Hour,
		PermitID:       coordination.PermitID(1 + random.IntN(8)),
		Member:         coordination.Name(fmt.Sprint("n", random.IntN(3))),
		Incarnation:    1,
	}
	switch random.IntN(4) {
	case 0, 1:
		command.Kind = coordination.KindRequestPermit
	case 2:
		command.Kind = coordination.KindCancelPermit
	case 3:
		command.Kind = coordination.KindCancelDrain
		command.Member = ""
	}
	return command
}

// linearizableModel returns a sequential model of the coordinators: a single state that starts with the same members
// and budget. The model's state is encoded as JSON.
func linearizableModel() porcupine.Model {
	start := coordination.NewState(coordination.DefaultConfig())
	for i := range 3 {
		start.Apply(coordination.Command{
			Kind: coordination.KindObserve,
			Observations: []coordination.Observation{{
				Name:        coordination.Name(fmt.Sprint("n", i)),
				Incarnation: 1,
				Release:     "1",
				Roles:       membership.RoleServer,
				Capacity:    1,
			}},
		})
	}
	start.Apply(setBudgetOfOne)
	initialState := string(fake.Must(json.Marshal(start)))
	return porcupine.Model{
		Init: func() any { return initialState },
		Step: func(stored, input, output any) (bool, any) {
			state := &coordination.State{}
			if err := json.Unmarshal([]byte(stored.(string)), state); err != nil {
				panic(err)
			}
			reply := state.Apply(input.(coordination.Command))
			if fmt.Sprint(reply) != fmt.Sprint(output) {
				return false, stored
			}
			state.History = nil
			return true, string(fake.Must(json.Marshal(state)))
		},
	}
}

// The replies to concurrent clients, while leaders are killed, are linearizable: a single state that processes the
// commands one after the other could have returned the same replies. Porcupine checks this.
func TestLinearizable(t *testing.T) {
	f := newTestFleet(3, 3)
	defer f.close()
	f.leader(3, 3)
	f.propose(setBudgetOfOne)
	fake.WaitFor("all observations", func() bool { return f.coordinators[f.leader(3, 3)].status().MemberCount == 4 })
	var mu sync.Mutex
	var history []porcupine.Operation
	startedAt := time.Now()
	var clients sync.WaitGroup
	for id := range 4 {
		clients.Go(func() {
			random := rand.New(rand.NewPCG(7, uint64(id)))
			for n := range 12 {
				command := randomCommand(random, fmt.Sprint(id, "-", n))
				call := time.Since(startedAt).Nanoseconds()
				reply := f.propose(command)
				mu.Lock()
				history = append(history, porcupine.Operation{
					ClientId: id,
					Input:    command,
					Call:     call,
					Output:   reply,
					Return:   time.Since(startedAt).Nanoseconds(),
				})
				mu.Unlock()
			}
		})
	}
	for range 2 {
		time.Sleep(300 * time.Millisecond)
		leader := f.leader(3, 3)
		f.kill(leader)
		f.startCoordinator(leader)
	}
	clients.Wait()
	if porcupine.CheckOperations(linearizableModel(), history) {
		return
	}
	for _, operation := range history {
		t.Log(operation.Call, operation.Return, operation.ClientId, operation.Input, operation.Output)
	}
	t.Fatal("not linearizable")
}
