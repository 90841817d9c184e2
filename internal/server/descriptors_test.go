package server

import (
	"fmt"
	"testing"
)

// The sum of the reserved descriptors, the open descriptors and all connections does not exceed the limit, however low
// it is, if it leaves at least 3 descriptors.
func TestDivideDescriptors(t *testing.T) {
	for limit := 32; limit <= 4096; limit++ {
		for alreadyOpen := 3; alreadyOpen <= 20; alreadyOpen++ {
			budget := divideDescriptors(limit, alreadyOpen)
			if budget.clients < 2 || budget.calls < 1 || budget.clients+budget.calls > budget.total {
				t.Fatal(limit, alreadyOpen, budget)
			}
			if left := limit - alreadyOpen - reservedDescriptors; left >= 3 && budget.total > left {
				t.Fatal("total exceeds the limit:", limit, alreadyOpen, budget)
			}
			if limit >= 128 && budget.clients < limit/2 {
				t.Fatal("clients get less than half of the limit:", limit, alreadyOpen, budget)
			}
		}
	}
}

// Common limits and small ones.
func Example_divideDescriptors() {
	for _, limit := range []int{32, 40, 64, 128, 512, 1024} {
		budget := divideDescriptors(limit, 10)
		fmt.Printf("%d: total %d, clients %d, calls %d\n", limit, budget.total, budget.clients, budget.calls)
	}
	// Output:
	// 32: total 6, clients 4, calls 2
	// 40: total 14, clients 10, calls 4
	// 64: total 38, clients 32, calls 6
	// 128: total 102, clients 72, calls 30
	// 512: total 486, clients 320, calls 128
	// 1024: total 998, clients 640, calls 256
}
