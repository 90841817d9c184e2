package coordinator

import (
	"errors"
	"fmt"
	"strings"
	"testing"

	"lanewheel/internal/coordination"
	"lanewheel/internal/fake"
	"lanewheel/internal/fleet/coordinator/client"
	"lanewheel/internal/membership"
)

// The leader is killed after it granted a permit, and the client repeats its request with the same idempotency key, as
// if the response had been lost. There is still one permit, and the next leader continues to process it. A client
// without the cluster's key gets no response.
func Example_failover() {
	f := newTestFleet(3, 3)
	defer f.close()
	first := f.leader(3, 3)
	f.propose(setBudgetOfOne)
	command := coordination.Command{Kind: coordination.KindRequestPermit, Member: "n0", IdempotencyKey: "k"}
	fmt.Println(f.propose(command))
	f.kill(first)
	repeated := f.propose(command)
	fmt.Println(repeated, f.propose(coordination.Command{Kind: coordination.KindRequestPermit, Member: "n1"}).PermitID)
	next := f.leader(3, 3)
	fake.WaitFor("the holder to be notified", func() bool { return f.notice(1) != "" })
	fmt.Println(f.notice(1))
	hasBegun := make(chan bool, 1)
	f.coordinators[next].BeginPermit("n0", 1, 1, func() { hasBegun <- true })
	fmt.Println(<-hasBegun)
	f.coordinators[next].BeginPermit("n1", 1, 2, func() { panic("the budget of one unavailable member was exceeded") })
	fmt.Println(f.propose(coordination.Command{
		Kind: coordination.KindBeginPermit, Member: "n1", Incarnation: 1, PermitID: 2}))
	wrongKeyClient := f.client()
	wrongKeyClient.Keys = []membership.Key{membership.Key("another key of as many bytes....")}
	_, err := wrongKeyClient.Do(client.Request{Status: true})
	fmt.Println(errors.Is(err, client.ErrUnauthenticated))
	f.startCoordinator(first)
	f.markUp(0, 2, "1")
	fake.WaitFor("n0's permit to end and n1's permit to be granted on all three coordinators", func() bool {
		for _, coordinator := range f.coordinators {
			permits := coordinator.status().Permits
			if len(permits) != 1 || permits[0].Stage != coordination.PermitGranted {
				return false
			}
		}
		return true
	})
	// Output:
	// {true  1 []}
	// {true  1 []} 2
	// n0 1 false
	// true
	// {false permit 2 is another's 0 []}
	// true
}

// A request to remove an unknown coordinator is refused, and the error names the coordinator.
func TestRemoveUnknownVoter(t *testing.T) {
	f := newTestFleet(1, 1)
	defer f.close()
	leader := f.leader(1, 1)
	replica := f.coordinators[leader].replica
	if err := replica.removeVoter("s9"); !errors.Is(err, errUnknownCoordinator) {
		t.Error(err)
	}
	response, err := f.client().Do(client.Request{RemoveCoordinator: "s9"})
	if err != nil || !strings.Contains(response.Error, `"s9"`) {
		t.Errorf("%+v, %v", response, err)
	}
}
