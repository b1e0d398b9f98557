// Package logline writes log lines without ever holding up those who log.
//
// Rules:
//
//  1. A line is queued and written by one goroutine. When the queue is full the line
//     is dropped: a reader of the output that stops reading costs lines, not time.
//  2. What was dropped is counted, and said in a line of its own as soon as lines can
//     be written again.
//  3. Lines of failures have a queue of their own, so that calm lines do not crowd
//     them out.
package logline

import (
	"fmt"
	"io"
	"sync/atomic"
	"time"

	"go.uber.org/zap/zapcore"
)

const (
	// queueLength bounds the lines that wait in each queue.
	queueLength = 2048
	// flushWait bounds the wait for waiting lines at the end of the process.
	flushWait = 300 * time.Millisecond
)

// Writer queues lines for an output.
type Writer struct {
	out     io.Writer
	calm    chan []byte
	grave   chan []byte
	dropped atomic.Int64
	total   atomic.Int64 // dropped since the start
	idle    chan struct{}
}

// New returns a writer to out; its goroutine goes on for the life of the process.
func New(out io.Writer) *Writer {
	w := &Writer{out: out, calm: make(chan []byte, queueLength), grave: make(chan []byte, queueLength), idle: make(chan struct{})}
	go w.run()
	return w
}

// Dropped returns how many lines were dropped since the start.
func (w *Writer) Dropped() int64 { return w.total.Load() }

// put is rule 1.
func (w *Writer) put(queue chan []byte, line []byte) {
	select {
	case queue <- line:
	default:
		w.dropped.Add(1)
		w.total.Add(1)
	}
}

func (w *Writer) run() {
	for {
		select { // (3)
		case line := <-w.grave:
			w.write(line)
			continue
		default:
		}
		select {
		case line := <-w.grave:
			w.write(line)
		case line := <-w.calm:
			w.write(line)
		case w.idle <- struct{}{}:
		}
	}
}

// write is rule 2. An output that fails cannot be told so.
func (w *Writer) write(line []byte) {
	if n := w.dropped.Swap(0); n > 0 {
		_, _ = fmt.Fprintf(w.out, `{"level":"warn","event":"lines-dropped","msg":"Log lines were dropped: their reader was too slow.","count":%d}`+"\n", n)
	}
	_, _ = w.out.Write(line)
}

// flush waits a moment for the queued lines.
func (w *Writer) flush() {
	select {
	case <-w.idle:
	case <-time.After(flushWait):
	}
}

// core encodes lines and queues them by their level.
type core struct {
	zapcore.LevelEnabler
	enc zapcore.Encoder
	w   *Writer
}

// Core returns a zap core that writes lines of the level and above through w.
func Core(enc zapcore.Encoder, w *Writer, level zapcore.LevelEnabler) zapcore.Core {
	return &core{level, enc, w}
}

// With returns a core whose lines carry the fields.
func (c *core) With(fields []zapcore.Field) zapcore.Core {
	next := &core{c.LevelEnabler, c.enc.Clone(), c.w}
	for _, f := range fields {
		f.AddTo(next.enc)
	}
	return next
}

// Check adds the core to those that write a line.
func (c *core) Check(e zapcore.Entry, ce *zapcore.CheckedEntry) *zapcore.CheckedEntry {
	if c.Enabled(e.Level) {
		return ce.AddCore(e, c)
	}
	return ce
}

// Write queues a line.
func (c *core) Write(e zapcore.Entry, fields []zapcore.Field) error {
	buf, err := c.enc.EncodeEntry(e, fields)
	if err != nil {
		return err
	}
	line := append([]byte(nil), buf.Bytes()...)
	buf.Free()
	queue := c.w.calm
	if e.Level >= zapcore.InfoLevel {
		queue = c.w.grave
	}
	c.w.put(queue, line)
	return nil
}

// Sync waits a moment for the queued lines.
func (c *core) Sync() error {
	c.w.flush()
	return nil
}
