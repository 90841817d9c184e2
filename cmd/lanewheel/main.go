// Command lanewheel is one service instance on sockets.
package main

import (
	"log"

	"lanewheel/internal/life"
)

func main() {
	if err := life.Live(); err != nil {
		log.Fatalf("msg=cannot-start err=%q", err)
	}
}
