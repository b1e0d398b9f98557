package standin

import (
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/x509"
	"crypto/x509/pkix"
	"encoding/pem"
	"math/big"
	"os"
	"path/filepath"
	"time"

	"github.com/zeebo/errs"

	"leverdrum/certs"
)

// Error is the class of this package's errors.
var Error = errs.Class("standin")

// Authority issues certificates, as the operators' own does.
type Authority struct {
	cert *x509.Certificate
	key  *ecdsa.PrivateKey
}

// certificateAge is how long issued certificates are valid.
const certificateAge = time.Hour

// NewAuthority returns an authority with a new key.
func NewAuthority() (*Authority, error) {
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		return nil, Error.Wrap(err)
	}
	t := &x509.Certificate{
		SerialNumber: big.NewInt(1), Subject: pkix.Name{CommonName: "authority"}, NotAfter: time.Now().Add(certificateAge),
		IsCA: true, BasicConstraintsValid: true, KeyUsage: x509.KeyUsageCertSign,
	}
	der, err := x509.CreateCertificate(rand.Reader, t, t, &key.PublicKey, key)
	if err != nil {
		return nil, Error.Wrap(err)
	}
	cert, err := x509.ParseCertificate(der)
	return &Authority{cert, key}, Error.Wrap(err)
}

// Issue issues a certificate for a name and writes its files to a folder, over
// those of an earlier call.
func (a *Authority) Issue(folder, name string) (certs.Files, error) {
	f := certs.Files{Certificate: filepath.Join(folder, "certificate"), Key: filepath.Join(folder, "key"), Authority: filepath.Join(folder, "authority")}
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		return f, Error.Wrap(err)
	}
	t := &x509.Certificate{SerialNumber: big.NewInt(2), Subject: pkix.Name{CommonName: name}, DNSNames: []string{name}, NotAfter: time.Now().Add(certificateAge)}
	der, err := x509.CreateCertificate(rand.Reader, t, a.cert, &key.PublicKey, a.key)
	if err != nil {
		return f, Error.Wrap(err)
	}
	keyDER, err := x509.MarshalECPrivateKey(key)
	if err != nil {
		return f, Error.Wrap(err)
	}
	for path, block := range map[string]*pem.Block{
		f.Certificate: {Type: "CERTIFICATE", Bytes: der}, f.Key: {Type: "EC PRIVATE KEY", Bytes: keyDER}, f.Authority: {Type: "CERTIFICATE", Bytes: a.cert.Raw},
	} {
		if err := os.WriteFile(path, pem.EncodeToMemory(block), 0o600); err != nil {
			return f, Error.Wrap(err)
		}
	}
	return f, nil
}
