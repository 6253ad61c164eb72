package telemetry

import (
	"io"
	"strconv"
	"sync"
	"time"
)

// Limits of the log buffer.
const (
	// bufferLimit limits the buffered lines, in bytes; further lines are dropped
	// and counted.
	bufferLimit = 256 << 10
	// flushPeriod is how long a line may stay in the buffer. Unbuffered, each
	// line would cost a system call.
	flushPeriod = 200 * time.Millisecond
)

// AsyncWriter buffers log lines so that a slow output never blocks the code
// that logs. Lines that do not fit into the buffer are dropped, and their
// number is logged. It implements zapcore.WriteSyncer.
type AsyncWriter struct {
	out io.Writer
	// mu guards pending and dropped; it is never held during output.
	mu      sync.Mutex
	pending []byte
	spare   []byte
	dropped int
	// outMu serializes the output and guards spare; it is locked before mu.
	outMu sync.Mutex
}

// NewAsyncWriter returns a writer to out and starts its goroutine, which runs
// until the process exits.
func NewAsyncWriter(out io.Writer) *AsyncWriter {
	w := &AsyncWriter{out: out}
	go w.run()
	return w
}

func (w *AsyncWriter) run() {
	for range time.Tick(flushPeriod) {
		// A failure to write the log cannot be logged; the lines are lost.
		_ = w.Sync()
	}
}

// Write implements io.Writer; line is one complete line.
func (w *AsyncWriter) Write(line []byte) (int, error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if len(w.pending)+len(line) > bufferLimit {
		w.dropped++
		return len(line), nil
	}
	w.pending = append(w.pending, line...)
	return len(line), nil
}

// Sync writes the buffered lines to the output.
func (w *AsyncWriter) Sync() error {
	w.outMu.Lock()
	defer w.outMu.Unlock()
	w.mu.Lock()
	data, dropped := w.pending, w.dropped
	w.pending, w.dropped = w.spare[:0], 0
	w.mu.Unlock()
	if dropped > 0 {
		data = append(data, `{"level":"warn","msg":"log lines dropped","lines":`...)
		data = strconv.AppendInt(data, int64(dropped), 10)
		data = append(data, "}\n"...)
	}
	var err error
	if len(data) > 0 {
		_, err = w.out.Write(data)
	}
	w.spare = data[:0]
	return err
}
