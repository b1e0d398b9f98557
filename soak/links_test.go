package soak

import (
	"net"
	"sync"
	"time"
)

// links simulates the network between boxes: a forwarder in front of each box, which identifies the other boxes by their IP
// addresses.
type links struct {
	mu      sync.Mutex
	stalled map[[2]string]bool          // from, to; bytes are held back
	delay   map[[2]string]time.Duration // from, to
	open    map[net.Conn]string         // incoming connections, with the IP address of the box they lead to
}

func newLinks() *links {
	return &links{stalled: map[[2]string]bool{}, delay: map[[2]string]time.Duration{}, open: map[net.Conn]string{}}
}

func (l *links) set(from, to string, stalled bool, delay time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.stalled[[2]string{from, to}] = stalled
	l.delay[[2]string{from, to}] = delay
}

func (l *links) heal() {
	l.mu.Lock()
	defer l.mu.Unlock()
	clear(l.stalled)
	clear(l.delay)
}

// reset resets all connections to a box.
func (l *links) reset(ip string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for c, to := range l.open {
		if to == ip {
			_ = c.(*net.TCPConn).SetLinger(0) // makes Close send a reset
			c.Close()
		}
	}
}

// awaitPassable waits until bytes may pass from one box to another, and for the delay of the link.
func (l *links) awaitPassable(from, to string) {
	for {
		l.mu.Lock()
		stalled, delay := l.stalled[[2]string{from, to}], l.delay[[2]string{from, to}]
		l.mu.Unlock()
		if !stalled {
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
		go l.proxy(in, ip, target)
	}
}

func (l *links) proxy(in net.Conn, ip, target string) {
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
	l.awaitPassable(caller, ip)
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
		l.awaitPassable(source, target)
		if _, werr := to.Write(buf[:n]); werr != nil || err != nil {
			return
		}
	}
}
