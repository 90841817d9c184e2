// Package logging sets up the program's one log, key=value or JSON lines, so that writing it holds nobody up, and
// limits lines that could come by the hundred.
package logging

import (
	"io"
	"log/slog"
	"os"
	"time"

	"golang.org/x/sys/unix"
)

// Format is the form of the log's lines.
type Format string

// The formats. Any other is Text.
const (
	Text Format = "text" // key=value
	JSON Format = "json" // an object a line
)

const (
	flushTimeout        = time.Second
	blockedFlushTimeout = 10 * time.Millisecond // if the reader of the log has stopped reading
)

// programWriter is behind the log of the program. It is set by the first Setup; Setup and Flush are called on the main
// goroutine only.
var programWriter *asyncWriter

// Setup has the program log to w, for as long as it runs. A later call changes the format only. It is called on the
// main goroutine.
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

// Flush waits until the last lines are written, but not for long if their reader has stopped: the program may be
// killed in a moment. It is called on the main goroutine, at the end of the program.
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

// writable tells whether writing to a file would not block, or that is not known.
func writable(file *os.File) bool {
	pollFDs := []unix.PollFd{{Fd: int32(file.Fd()), Events: unix.POLLOUT}}
	n, err := unix.Poll(pollFDs, 0)
	return n != 0 || err != nil
}
