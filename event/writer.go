package event

import (
	"context"
	"io"
	"sync/atomic"
)

// A Writer writes lines to another writer asynchronously, so that its callers never block on
// a slow output. It drops and counts lines while its queue is full.
type Writer struct {
	lines   chan []byte
	dropped atomic.Int64
	done    chan struct{}
	out     io.Writer
}

const queueSize = 1024 // lines

// NewWriter returns a writer to out. Lines are written only while Run is running.
func NewWriter(out io.Writer) *Writer {
	return &Writer{lines: make(chan []byte, queueSize), done: make(chan struct{}), out: out}
}

// Write queues a copy of a line, or drops it if the queue is full. It never returns an error.
func (w *Writer) Write(line []byte) (int, error) {
	select {
	case w.lines <- append([]byte(nil), line...):
	default:
		w.dropped.Add(1)
	}
	return len(line), nil
}

// Dropped returns the number of lines that were dropped because the queue was full, or whose
// write failed.
func (w *Writer) Dropped() int64 { return w.dropped.Load() }

// Run writes lines until ctx is done, then writes the lines that are still queued and returns.
func (w *Writer) Run(ctx context.Context) {
	defer close(w.done)
	for {
		select {
		case line := <-w.lines:
			w.writeLine(line)
		case <-ctx.Done():
			w.flush()
			return
		}
	}
}

// Done returns a channel that is closed when Run has returned.
func (w *Writer) Done() <-chan struct{} { return w.done }

// flush writes the queued lines.
func (w *Writer) flush() {
	for {
		select {
		case line := <-w.lines:
			w.writeLine(line)
		default:
			return
		}
	}
}

// writeLine writes a line to the output. It counts a line whose write fails as dropped, because
// an error of the log output cannot be logged.
func (w *Writer) writeLine(line []byte) {
	if _, err := w.out.Write(line); err != nil {
		w.dropped.Add(1)
	}
}
