package simulator

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"time"

	"lanewheel/admission"
)

// readBufferSize holds the usual lines; longer ones are read too.
const readBufferSize = 1 << 20

// simulation turns events into calls on the instances, and what they decide into a reply for each batch.
type simulation struct {
	parser    lineParser
	reply     reply
	now       time.Duration // of the batch
	inBatch   bool
	instances map[int]*instance // that are up, by number
	undecided   []*instance       // those with an event in this batch, in order of the first
}

func newSimulation() *simulation { return &simulation{instances: map[int]*instance{}} }

// Serve answers batches until the input ends. A reply is written whole or, after an error, not at all. The error names
// the line, from 1, and what is wanted there.
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

// next returns a line, valid until the next one is read, or io.EOF behind the last. The last line may lack its end.
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

// handleLine handles one line and tells whether it closed the batch.
func (s *simulation) handleLine(text []byte) (batchClosed bool, err error) {
	l, err := s.parser.parse(text)
	if err != nil {
		return false, err
	}
	switch {
	case l.name == lineTick:
		return false, s.openBatch(l)
	case !s.inBatch:
		return false, fmt.Errorf("%s: outside a batch", l.name)
	case l.name == lineFlush:
		s.closeBatch()
		return true, checkFlush(l)
	}
	return false, s.handleEvent(l)
}

func (s *simulation) openBatch(l line) error {
	if s.inBatch {
		return errors.New("tick: inside a batch")
	}
	s.inBatch = true
	clock, err := decodeTick(l)
	if err == nil && clock < s.now {
		err = errors.New("tick: clock-s: the clock goes back")
	}
	s.now = clock
	return err
}

// closeBatch has each instance decide that had an event, unless it is dead or was started anew.
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
		return fmt.Errorf("%s: who: instance %d was never booted", l.name, number)
	}
	s.markUndecided(in)
	return in.handle(l)
}

// boot starts an instance, in the place of one with its number.
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
