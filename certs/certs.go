// Package certs provides TLS configurations from certificate files. It reloads the
// files when they change, so that no restart is needed.
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

// reloadEvery is the interval between checks of the files.
const reloadEvery = 2 * time.Second

// Files holds the paths of the PEM files.
type Files struct{ Certificate, Key, Authority string }

// Source holds the last valid content of the files. It implements peer.TLS.
type Source struct {
	files   Files
	current atomic.Pointer[loaded]
	log     *zap.Logger
}

type loaded struct {
	certificate tls.Certificate
	authority   *x509.CertPool
	modTime     time.Time
}

// Open loads the files once. Watch reloads them on change.
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
		return nil, Error.New("%s contains no certificate", s.files.Authority)
	}
	return &loaded{certificate, pool, s.modTime()}, nil
}

// modTime returns the latest modification time of the files.
func (s *Source) modTime() time.Time {
	var newest time.Time
	for _, path := range []string{s.files.Certificate, s.files.Key, s.files.Authority} {
		if info, err := os.Stat(path); err == nil && info.ModTime().After(newest) {
			newest = info.ModTime()
		}
	}
	return newest
}

// Watch reloads the files whenever they change, until done is closed. If the new
// files cannot be loaded, the old certificates stay in use.
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

// Reload loads the files if they have changed.
func (s *Source) Reload() {
	if s.modTime().Equal(s.current.Load().modTime) {
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

// Server returns a server configuration that requires a client certificate.
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

// Client returns a client configuration that requires a certificate for the named box.
func (s *Source) Client(box string) *tls.Config {
	l := s.current.Load()
	return &tls.Config{
		MinVersion: tls.VersionTLS13, Certificates: []tls.Certificate{l.certificate}, RootCAs: l.authority, ServerName: box,
	}
}

// VerifyChain verifies the peer's certificate chain against an authority, without
// checking the name.
func VerifyChain(authority *x509.CertPool, s tls.ConnectionState) error {
	if len(s.PeerCertificates) == 0 {
		return Error.New("the peer presented no certificate")
	}
	intermediates := x509.NewCertPool()
	for _, c := range s.PeerCertificates[1:] {
		intermediates.AddCert(c)
	}
	_, err := s.PeerCertificates[0].Verify(x509.VerifyOptions{Roots: authority, Intermediates: intermediates})
	return Error.Wrap(err)
}
