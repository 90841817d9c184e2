// Package logging sets up the program's log, key=value or JSON lines, so that writing it blocks no goroutine, and
// limits the rate of lines that could occur by the hundred.
package logging

import (
	"io"
	"log/slog"
	"os"
	"time"

	"golang.org/x/sys/unix"
)

// Format is the format of log lines.
type Format string

// The log formats. Any other value is treated as Text.
const (
	Text Format = "text" // key=value
	JSON Format = "json" // one object per line
)

const (
	flushTimeout        = time.Second
	blockedFlushTimeout = 10 * time.Millisecond // when the reader of the log has stopped reading
)

// programWriter writes the program's log. The first call of Setup sets it; Setup and Flush are called on the main
// goroutine only.
var programWriter *asyncWriter

// Setup makes w the destination of the program's log until the program exits. Later calls change only the format. It is
// called on the main goroutine.
func Setup(w io.Writer, format Format) {
	if programWriter == nil {
		programWriter = newAsyncWriter(w)
	}
	setDefault(programWriter, format)
}

// setDefault makes w the destination of slog's default logger. Times are in UTC.
func setDefault(w io.Writer, format Format) {
	options := &slog.HandlerOptions{ReplaceAttr: func(groups []string, attr slog.Attr) slog.Attr {
		if attr.Key == slog.TimeKey && len(groups) == 0 {
			attr.Value = slog.TimeValue(attr.Value.Time().UTC())
		}
		return attr
	}}
	var handler slog.Handler = slog.NewTextHandler(w, options)
	if format == JSON {
		handler = slog.NewJSONHandler(w, options)
	}
	slog.SetDefault(slog.New(handler))
}

// Flush waits until the last lines are written. It waits only briefly if the reader of the log has stopped reading,
// because the program may be killed at any moment. It is called on the main goroutine, before the program exits.
func Flush() {
	if programWriter == nil {
		return
	}
	timeout := flushTimeout
	if file, isFile := programWriter.destination.(*os.File); isFile && !writable(file) {
		timeout = blockedFlushTimeout
	}
	programWriter.flush(timeout)
}

// writable reports whether writing to a file would not block. It returns true if that cannot be determined.
func writable(file *os.File) bool {
	pollFDs := []unix.PollFd{{Fd: int32(file.Fd()), Events: unix.POLLOUT}}
	n, err := unix.Poll(pollFDs, 0)
	return n != 0 || err != nil
}
