package soak

import (
	"net"
	"sync"
	"time"
)

// links is the network between boxes: a forwarder before each box that knows its
// callers by their IP numbers.
type links struct {
	mu     sync.Mutex
	silent map[[2]string]bool          // from, to: bytes stay on the way
	delay  map[[2]string]time.Duration // from, to
	open   map[net.Conn]string         // incoming connections, by the box they lead to
}

func newLinks() *links {
	return &links{silent: map[[2]string]bool{}, delay: map[[2]string]time.Duration{}, open: map[net.Conn]string{}}
}

func (l *links) set(from, to string, silent bool, delay time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.silent[[2]string{from, to}] = silent
	l.delay[[2]string{from, to}] = delay
}

func (l *links) heal() {
	l.mu.Lock()
	defer l.mu.Unlock()
	clear(l.silent)
	clear(l.delay)
}

// reset breaks all connections to a box off.
func (l *links) reset(ip string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for c, to := range l.open {
		if to == ip {
			_ = c.(*net.TCPConn).SetLinger(0) // then the close resets
			c.Close()
		}
	}
}

// pass waits until bytes may pass.
func (l *links) pass(from, to string) {
	for {
		l.mu.Lock()
		silent, delay := l.silent[[2]string{from, to}], l.delay[[2]string{from, to}]
		l.mu.Unlock()
		if !silent {
			time.Sleep(delay)
			return
		}
		time.Sleep(10 * time.Millisecond)
	}
}

func (l *links) forward(listener net.Listener, ip, target string) {
	for {
		in, err := listener.Accept()
		if err != nil {
			return
		}
		go l.carry(in, ip, target)
	}
}

func (l *links) carry(in net.Conn, ip, target string) {
	defer in.Close()
	l.mu.Lock()
	l.open[in] = ip
	l.mu.Unlock()
	defer func() {
		l.mu.Lock()
		delete(l.open, in)
		l.mu.Unlock()
	}()
	caller := in.RemoteAddr().(*net.TCPAddr).IP.String()
	l.pass(caller, ip)
	out, err := net.Dial("tcp", target)
	if err != nil {
		return
	}
	defer out.Close()
	done := make(chan struct{}, 2)
	go l.copy(out, in, caller, ip, done)
	go l.copy(in, out, ip, caller, done)
	<-done
}

func (l *links) copy(to, from net.Conn, source, target string, done chan<- struct{}) {
	defer func() { done <- struct{}{} }()
	buf := make([]byte, 32<<10)
	for {
		n, err := from.Read(buf)
		l.pass(source, target)
		if _, werr := to.Write(buf[:n]); werr != nil || err != nil {
			return
		}
	}
}
