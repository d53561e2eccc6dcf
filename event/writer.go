package event

import (
	"context"
	"io"
	"sync/atomic"
)

// A Writer passes whole lines on to another writer without ever making its caller
// wait: lines that find its queue full are dropped and counted.
type Writer struct {
	lines   chan []byte
	dropped atomic.Int64
	ended   chan struct{}
	out     io.Writer
}

// queued is how many lines wait for a writer that is slow.
const queued = 1024

// NewWriter returns a writer to out. Run must be running for lines to get there.
func NewWriter(out io.Writer) *Writer {
	return &Writer{lines: make(chan []byte, queued), ended: make(chan struct{}), out: out}
}

// Write queues a line.
func (w *Writer) Write(line []byte) (int, error) {
	select {
	case w.lines <- append([]byte(nil), line...):
	default:
		w.dropped.Add(1)
	}
	return len(line), nil
}

// Dropped returns how many lines were lost.
func (w *Writer) Dropped() int64 { return w.dropped.Load() }

// Run writes lines until ctx ends, and then those that are still queued.
func (w *Writer) Run(ctx context.Context) {
	defer close(w.ended)
	for {
		select {
		case line := <-w.lines:
			w.put(line)
		case <-ctx.Done():
			w.flush()
			return
		}
	}
}

// Ended returns a channel that is closed when Run has written its last line.
func (w *Writer) Ended() <-chan struct{} { return w.ended }

func (w *Writer) flush() {
	for {
		select {
		case line := <-w.lines:
			w.put(line)
		default:
			return
		}
	}
}

// put writes a line. A log that cannot be written has nowhere to say so but here.
func (w *Writer) put(line []byte) {
	if _, err := w.out.Write(line); err != nil {
		w.dropped.Add(1)
	}
}
