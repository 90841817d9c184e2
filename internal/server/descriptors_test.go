package server

import (
	"fmt"
	"testing"
)

// What is ours, what was taken before and all connections fit the limit, however few descriptors there are, as long as one each is left.
func TestRoom(t *testing.T) {
	for limit := 32; limit <= 4096; limit++ {
		for taken := 3; taken <= 20; taken++ {
			r := divideDescriptors(limit, taken)
			if r.clients < 2 || r.calls < 1 || r.clients+r.calls > r.total {
				t.Fatal(limit, taken, r)
			}
			if left := limit - taken - reservedDescriptors; left >= 3 && r.total > left {
				t.Fatal("over the limit:", limit, taken, r)
			}
			if limit >= 128 && r.clients < limit/2 {
				t.Fatal("less than stubs may open:", limit, taken, r)
			}
		}
	}
}

// The usual limits and small ones.
func Example_room() {
	for _, limit := range []int{32, 40, 64, 128, 512, 1024} {
		budget := divideDescriptors(limit, 10)
		fmt.Printf("%d: all %d, stubs %d, calls %d\n", limit, budget.total, budget.clients, budget.calls)
	}
	// Output:
	// 32: all 6, stubs 4, calls 2
	// 40: all 14, stubs 10, calls 4
	// 64: all 38, stubs 32, calls 6
	// 128: all 102, stubs 72, calls 30
	// 512: all 486, stubs 320, calls 128
	// 1024: all 998, stubs 640, calls 256
}
