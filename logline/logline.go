// Package logline writes log lines asynchronously, so that logging never blocks.
//
// Rules:
//
//  1. Lines are queued and written by a single goroutine. If the queue is full, the
//     line is dropped: a reader of the output that stops reading costs lines, not time.
//  2. Dropped lines are counted. A separate line reports the count as soon as lines
//     can be written again.
//  3. Lines of level info and above have a separate queue with priority, so that
//     debug lines do not crowd them out.
package logline

import (
	"fmt"
	"io"
	"sync/atomic"
	"time"

	"go.uber.org/zap/zapcore"
)

const (
	// queueLength is the capacity of each queue in lines.
	queueLength = 2048
	// flushWait limits the wait for queued lines at process exit.
	flushWait = 300 * time.Millisecond
)

// Writer queues lines and writes them to an output.
type Writer struct {
	out      io.Writer
	debug    chan []byte
	priority chan []byte
	dropped  atomic.Int64
	total    atomic.Int64 // dropped since the start
	idle     chan struct{}
}

// New returns a writer to out. Its goroutine runs until the process exits.
func New(out io.Writer) *Writer {
	w := &Writer{out: out, debug: make(chan []byte, queueLength), priority: make(chan []byte, queueLength), idle: make(chan struct{})}
	go w.run()
	return w
}

// Dropped returns the number of lines dropped since the start.
func (w *Writer) Dropped() int64 { return w.total.Load() }

// enqueue queues a line, or drops it if the queue is full (1).
func (w *Writer) enqueue(queue chan []byte, line []byte) {
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
		case line := <-w.priority:
			w.write(line)
			continue
		default:
		}
		select {
		case line := <-w.priority:
			w.write(line)
		case line := <-w.debug:
			w.write(line)
		case w.idle <- struct{}{}:
		}
	}
}

// write writes a line, after a report of lines dropped since the last one (2). Write errors
// are ignored, since there is no other output to report them to.
func (w *Writer) write(line []byte) {
	if n := w.dropped.Swap(0); n > 0 {
		_, _ = fmt.Fprintf(w.out, `{"level":"warn","event":"lines-dropped","msg":"Log lines were dropped: their reader was too slow.","count":%d}`+"\n", n)
	}
	_, _ = w.out.Write(line)
}

// flush waits for the queued lines, but at most flushWait.
func (w *Writer) flush() {
	select {
	case <-w.idle:
	case <-time.After(flushWait):
	}
}

// core encodes lines and queues them by level.
type core struct {
	zapcore.LevelEnabler
	enc zapcore.Encoder
	w   *Writer
}

// Core returns a zap core that writes lines at or above the level through w.
func Core(enc zapcore.Encoder, w *Writer, level zapcore.LevelEnabler) zapcore.Core {
	return &core{level, enc, w}
}

// With returns a core that adds the fields to each line.
func (c *core) With(fields []zapcore.Field) zapcore.Core {
	next := &core{c.LevelEnabler, c.enc.Clone(), c.w}
	for _, f := range fields {
		f.AddTo(next.enc)
	}
	return next
}

// Check adds the core to ce if the entry's level is enabled.
func (c *core) Check(e zapcore.Entry, ce *zapcore.CheckedEntry) *zapcore.CheckedEntry {
	if c.Enabled(e.Level) {
		return ce.AddCore(e, c)
	}
	return ce
}

// Write encodes and queues a line.
func (c *core) Write(e zapcore.Entry, fields []zapcore.Field) error {
	buf, err := c.enc.EncodeEntry(e, fields)
	if err != nil {
		return err
	}
	line := append([]byte(nil), buf.Bytes()...)
	buf.Free()
	queue := c.w.debug
	if e.Level >= zapcore.InfoLevel {
		queue = c.w.priority
	}
	c.w.enqueue(queue, line)
	return nil
}

// Sync waits for the queued lines, but at most flushWait.
func (c *core) Sync() error {
	c.w.flush()
	return nil
}
