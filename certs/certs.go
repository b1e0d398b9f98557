// Package certs gives TLS configurations from certificate files, which it reads
// again when they change, so that no restart is needed.
package certs

import (
	"crypto/tls"
	"crypto/x509"
	"os"
	"sync/atomic"
	"time"

	"github.com/zeebo/errs"
	"go.uber.org/zap"

	"leverdrum/event"
)

// Error is the class of this package's errors.
var Error = errs.Class("certificates")

// reloadEvery is the time between two looks at the files.
const reloadEvery = 2 * time.Second

// Files names the three files.
type Files struct{ Certificate, Key, Authority string }

// Source is the newest content of the files. It implements peer.TLS.
type Source struct {
	files   Files
	current atomic.Pointer[loaded]
	log     *zap.Logger
}

type loaded struct {
	certificate tls.Certificate
	authority   *x509.CertPool
	stamp       time.Time
}

// Open reads the files once; Watch keeps them fresh.
func Open(f Files, log *zap.Logger) (*Source, error) {
	s := &Source{files: f, log: log}
	l, err := s.load()
	if err != nil {
		return nil, err
	}
	s.current.Store(l)
	return s, nil
}

func (s *Source) load() (*loaded, error) {
	certificate, err := tls.LoadX509KeyPair(s.files.Certificate, s.files.Key)
	if err != nil {
		return nil, Error.Wrap(err)
	}
	pem, err := os.ReadFile(s.files.Authority)
	if err != nil {
		return nil, Error.Wrap(err)
	}
	pool := x509.NewCertPool()
	if !pool.AppendCertsFromPEM(pem) {
		return nil, Error.New("%s holds no certificate", s.files.Authority)
	}
	return &loaded{certificate, pool, s.stamp()}, nil
}

// stamp returns when the newest of the files changed.
func (s *Source) stamp() time.Time {
	var newest time.Time
	for _, path := range []string{s.files.Certificate, s.files.Key, s.files.Authority} {
		if info, err := os.Stat(path); err == nil && info.ModTime().After(newest) {
			newest = info.ModTime()
		}
	}
	return newest
}

// Watch reads the files again whenever they changed, until done is closed.
// Files that cannot be read leave the old certificates in use.
func (s *Source) Watch(done <-chan struct{}) {
	ticker := time.NewTicker(reloadEvery)
	defer ticker.Stop()
	for {
		select {
		case <-done:
			return
		case <-ticker.C:
		}
		s.Reload()
	}
}

// Reload reads the files if they changed.
func (s *Source) Reload() {
	if s.stamp().Equal(s.current.Load().stamp) {
		return
	}
	l, err := s.load()
	if err != nil {
		event.CertificatesRejected.Log(s.log, event.ErrorField(err))
		return
	}
	s.current.Store(l)
	event.CertificatesReloaded.Log(s.log)
}

// Server returns a configuration that wants a certificate of the other side.
func (s *Source) Server() *tls.Config {
	return &tls.Config{
		MinVersion: tls.VersionTLS13,
		GetConfigForClient: func(*tls.ClientHelloInfo) (*tls.Config, error) {
			l := s.current.Load()
			return &tls.Config{
				MinVersion: tls.VersionTLS13, Certificates: []tls.Certificate{l.certificate},
				ClientAuth: tls.RequireAndVerifyClientCert, ClientCAs: l.authority,
			}, nil
		},
		GetCertificate: func(*tls.ClientHelloInfo) (*tls.Certificate, error) { return &s.current.Load().certificate, nil },
	}
}

// Client returns a configuration that wants the other side to be the named box.
func (s *Source) Client(box string) *tls.Config {
	l := s.current.Load()
	return &tls.Config{
		MinVersion: tls.VersionTLS13, Certificates: []tls.Certificate{l.certificate}, RootCAs: l.authority, ServerName: box,
	}
}

// VerifyChain checks the other side's certificate against an authority, whatever
// its name.
func VerifyChain(authority *x509.CertPool, s tls.ConnectionState) error {
	if len(s.PeerCertificates) == 0 {
		return Error.New("the other side has no certificate")
	}
	intermediates := x509.NewCertPool()
	for _, c := range s.PeerCertificates[1:] {
		intermediates.AddCert(c)
	}
	_, err := s.PeerCertificates[0].Verify(x509.VerifyOptions{Roots: authority, Intermediates: intermediates})
	return Error.Wrap(err)
}
