package server

import (
	"fmt"

	"lanewheel/internal/frontend"
)

// printingResponder is owed an answer and prints it.
type printingResponder struct{}

func (printingResponder) Succeed([]byte, frontend.ResponseMetadata) { fmt.Println("answered") }
func (printingResponder) Reject(frontend.ResponseMetadata)          { fmt.Println("turned away") }
func (printingResponder) Fail(frontend.ResponseMetadata)            { fmt.Println("failed") }
func (printingResponder) RejectPermanently(string, frontend.ResponseMetadata) {
	fmt.Println("rejected")
}
func (printingResponder) Done() {}
