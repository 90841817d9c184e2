package logging

import (
	"bytes"
	"fmt"
	"log/slog"
	"strings"
)

// Both formats use the same attribute names.
func Example_formats() {
	defer slog.SetDefault(slog.Default())
	for _, format := range []Format{Text, JSON} {
		var log bytes.Buffer
		setDefault(&log, format)
		slog.Info("connection closed", "peer", "client", "code", "peer closed")
		_, line, _ := strings.Cut(log.String(), "level")
		fmt.Print(line)
	}
	// Output:
	// =INFO msg="connection closed" peer=client code="peer closed"
	// ":"INFO","msg":"connection closed","peer":"client","code":"peer closed"}
}
