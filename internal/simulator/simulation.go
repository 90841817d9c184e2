package simulator

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"time"

	"lanewheel/admission"
)

// readBufferSize is the size of the read buffer in bytes. Usual lines fit into it; longer ones are read as well.
const readBufferSize = 1 << 20

// simulation passes events to the instances and collects their actions in one reply for each batch.
type simulation struct {
	parser    lineParser
	reply     reply
	now       time.Duration // time of the current batch
	inBatch   bool
	instances map[int]*instance // running instances by number
	undecided []*instance       // instances with an event in the current batch, in the order of their first event
}

func newSimulation() *simulation { return &simulation{instances: map[int]*instance{}} }

// Serve replies to batches until the input ends. After an error in a batch, nothing of its reply is written.
// The error contains the line number, starting at 1, and states what is wrong with the line. Serve returns nil
// if the input ends between two batches.
func Serve(in io.Reader, out io.Writer) error {
	input := lineReader{buffered: bufio.NewReaderSize(in, readBufferSize)}
	s := newSimulation()
	for number := 1; ; number++ {
		text, err := input.next()
		if errors.Is(err, io.EOF) {
			if s.inBatch {
				return fmt.Errorf("line %d: input ends inside a batch", number)
			}
			return nil
		}
		if err != nil {
			return fmt.Errorf("line %d: %w", number, err)
		}
		batchClosed, err := s.handleLine(text)
		if err != nil {
			return fmt.Errorf("line %d: %w", number, err)
		}
		if !batchClosed {
			continue
		}
		if _, err := out.Write(s.reply.finish()); err != nil {
			return fmt.Errorf("writing a reply: %w", err)
		}
	}
}

// lineReader reads lines of any length.
type lineReader struct {
	buffered *bufio.Reader
	long     []byte // the last line that was longer than the buffer
}

// next returns the next line, which is valid until the following call, or io.EOF after the last line. The last
// line need not end with a newline.
func (r *lineReader) next() ([]byte, error) {
	text, err := r.buffered.ReadSlice('\n')
	if errors.Is(err, bufio.ErrBufferFull) {
		r.long = append(r.long[:0], text...)
		text, err = r.buffered.ReadBytes('\n')
		r.long = append(r.long, text...)
		text = r.long
	}
	if errors.Is(err, io.EOF) && len(text) > 0 {
		return text, nil
	}
	return text, err
}

// handleLine handles one line and reports whether it closed the batch.
func (s *simulation) handleLine(text []byte) (batchClosed bool, err error) {
	l, err := s.parser.parse(text)
	if err != nil {
		return false, err
	}
	switch {
	case l.name == lineTick:
		return false, s.openBatch(l)
	case !s.inBatch:
		return false, fmt.Errorf("%s: not allowed outside a batch", l.name)
	case l.name == lineFlush:
		s.closeBatch()
		return true, checkFlush(l)
	}
	return false, s.handleEvent(l)
}

func (s *simulation) openBatch(l line) error {
	if s.inBatch {
		return errors.New("tick: not allowed inside a batch")
	}
	s.inBatch = true
	clock, err := decodeTick(l)
	if err == nil && clock < s.now {
		err = errors.New("tick: clock-s: must not be before the previous tick")
	}
	s.now = clock
	return err
}

// closeBatch lets each instance that had an event decide, unless it has ended or was replaced.
func (s *simulation) closeBatch() {
	for _, in := range s.undecided {
		if s.instances[in.number] == in {
			in.controller.Decide()
		}
		in.needsDecision = false
	}
	s.undecided, s.inBatch = s.undecided[:0], false
}

func (s *simulation) handleEvent(l line) error {
	number, err := decodeInstance(l)
	if err != nil {
		return err
	}
	if l.name == lineBoot {
		return s.boot(number, l)
	}
	in := s.instances[number]
	if in == nil {
		return fmt.Errorf("%s: who: instance %d is not running", l.name, number)
	}
	s.markUndecided(in)
	return in.handle(l)
}

// boot starts an instance. It replaces a running instance with the same number.
func (s *simulation) boot(number int, l line) error {
	event, err := decodeBoot(l)
	if err != nil {
		return err
	}
	in := newInstance(s, number)
	s.instances[number] = in
	s.markUndecided(in)
	in.controller = admission.New(event.seed, event.settings, in)
	return nil
}

func (s *simulation) markUndecided(in *instance) {
	if !in.needsDecision {
		in.needsDecision = true
		s.undecided = append(s.undecided, in)
	}
}
