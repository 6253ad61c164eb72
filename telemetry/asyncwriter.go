package telemetry

import (
	"io"
	"strconv"
	"sync"
	"time"
)

// Limits of the log's buffer.
const (
	// bufferLimit bounds the lines that wait for the output, in bytes; one more
	// is left out and counted.
	bufferLimit = 256 << 10
	// flushPeriod is how long a line may wait. A write for each line would cost
	// a system call.
	flushPeriod = 200 * time.Millisecond
)

// AsyncWriter never blocks its writers: lines wait in a bounded buffer, and
// those that do not fit are left out. What was left out is said in a line. It
// implements zapcore.WriteSyncer.
type AsyncWriter struct {
	out io.Writer
	// mu guards buf, spare and left; it is never held during output.
	mu    sync.Mutex
	buf   []byte
	spare []byte
	left  int
	// outMu orders the output; it is taken before mu.
	outMu sync.Mutex
}

// NewAsyncWriter returns a writer to out and starts its goroutine, which lives
// as long as the process.
func NewAsyncWriter(out io.Writer) *AsyncWriter {
	w := &AsyncWriter{out: out}
	go w.run()
	return w
}

func (w *AsyncWriter) run() {
	for range time.Tick(flushPeriod) {
		// The log cannot report that it cannot write; lines are lost then.
		_ = w.Sync()
	}
}

// Write implements io.Writer; it takes one whole line.
func (w *AsyncWriter) Write(line []byte) (int, error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if len(w.buf)+len(line) > bufferLimit {
		w.left++
		return len(line), nil
	}
	w.buf = append(w.buf, line...)
	return len(line), nil
}

// Sync writes what waits.
func (w *AsyncWriter) Sync() error {
	w.outMu.Lock()
	defer w.outMu.Unlock()
	w.mu.Lock()
	data, left := w.buf, w.left
	w.buf, w.left = w.spare[:0], 0
	w.mu.Unlock()
	if left > 0 {
		data = append(data, `{"level":"warn","msg":"log lines left out","lines":`...)
		data = strconv.AppendInt(data, int64(left), 10)
		data = append(data, "}\n"...)
	}
	var err error
	if len(data) > 0 {
		_, err = w.out.Write(data)
	}
	w.spare = data[:0]
	return err
}
