// Package credential holds the certificates by which hosts know each other. They
// are read from files, and read again when the files change.
package credential

import (
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/tls"
	"crypto/x509"
	"crypto/x509/pkix"
	"math/big"
	"os"
	"sync"
	"time"

	"github.com/rotisserie/eris"
)

type (
	// Files name the PEM files of a host's certificate, its key, and the authority
	// that signs the certificates of all hosts.
	Files struct{ Certificate, Key, Authority string }

	// A Source gives the present certificate and authority.
	Source interface {
		Certificate() (*tls.Certificate, error)
		Authority() (*x509.CertPool, error)
	}

	// An Issuer is an authority in memory, for demos and tests.
	Issuer struct {
		key  *ecdsa.PrivateKey
		cert *x509.Certificate
	}

	fileSource struct {
		files Files
		mu    sync.Mutex
		read  time.Time // newest change of the files that were read
		cert  *tls.Certificate
		pool  *x509.CertPool
	}

	issued struct {
		cert *tls.Certificate
		pool *x509.CertPool
	}
)

const (
	// HostName is the name that every host's certificate carries. Hosts reach each
	// other by IP number, so the name says what the certificate is for.
	HostName = "host.wigeonlink"

	protocol   = "wigeonlink/1"
	issuedLife = 24 * time.Hour
)

// NewSource returns a source that reads files, and reads them anew when one has
// changed. A change that cannot be read leaves the last good pair in use.
func NewSource(f Files) (Source, error) {
	s := &fileSource{files: f}
	_, err := s.Certificate()
	return s, err
}

func (s *fileSource) Certificate() (*tls.Certificate, error) {
	cert, _, err := s.current()
	return cert, err
}

func (s *fileSource) Authority() (*x509.CertPool, error) {
	_, pool, err := s.current()
	return pool, err
}

// current returns the newest pair that could be read. Both are read together.
func (s *fileSource) current() (*tls.Certificate, *x509.CertPool, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if err := s.refresh(); s.cert == nil {
		return nil, nil, err
	}
	return s.cert, s.pool, nil
}

func (s *fileSource) refresh() error {
	newest, err := s.newest()
	if err != nil || !newest.After(s.read) {
		return err
	}
	cert, err := tls.LoadX509KeyPair(s.files.Certificate, s.files.Key)
	if err != nil {
		return eris.Wrap(err, "certificate")
	}
	pem, err := os.ReadFile(s.files.Authority)
	if err != nil {
		return eris.Wrap(err, "authority")
	}
	pool := x509.NewCertPool()
	if !pool.AppendCertsFromPEM(pem) {
		return eris.Errorf("%s holds no certificate", s.files.Authority)
	}
	s.cert, s.pool, s.read = &cert, pool, newest
	return nil
}

func (s *fileSource) newest() (time.Time, error) {
	var newest time.Time
	for _, name := range []string{s.files.Certificate, s.files.Key, s.files.Authority} {
		info, err := os.Stat(name)
		if err != nil {
			return newest, eris.Wrap(err, "credential")
		}
		if info.ModTime().After(newest) {
			newest = info.ModTime()
		}
	}
	return newest, nil
}

// NewIssuer returns a new authority.
func NewIssuer() (*Issuer, error) {
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		return nil, eris.Wrap(err, "issuer")
	}
	template := newTemplate("authority")
	template.IsCA, template.BasicConstraintsValid = true, true
	template.KeyUsage = x509.KeyUsageCertSign
	der, err := x509.CreateCertificate(rand.Reader, template, template, &key.PublicKey, key)
	if err != nil {
		return nil, eris.Wrap(err, "issuer")
	}
	cert, err := x509.ParseCertificate(der)
	return &Issuer{key, cert}, eris.Wrap(err, "issuer")
}

func newTemplate(name string) *x509.Certificate {
	serial, _ := rand.Int(rand.Reader, big.NewInt(1<<62)) // crypto/rand never fails
	return &x509.Certificate{
		SerialNumber: serial,
		Subject:      pkix.Name{CommonName: name},
		DNSNames:     []string{HostName},
		NotBefore:    time.Now().Add(-time.Hour),
		NotAfter:     time.Now().Add(issuedLife),
		KeyUsage:     x509.KeyUsageDigitalSignature,
		ExtKeyUsage:  []x509.ExtKeyUsage{x509.ExtKeyUsageServerAuth, x509.ExtKeyUsageClientAuth},
	}
}

// Issue returns the credentials of a new host.
func (i *Issuer) Issue(name string) (Source, error) {
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		return nil, eris.Wrap(err, "issue")
	}
	der, err := x509.CreateCertificate(rand.Reader, newTemplate(name), i.cert, &key.PublicKey, i.key)
	if err != nil {
		return nil, eris.Wrap(err, "issue")
	}
	pool := x509.NewCertPool()
	pool.AddCert(i.cert)
	return &issued{&tls.Certificate{Certificate: [][]byte{der}, PrivateKey: key}, pool}, nil
}

func (s *issued) Certificate() (*tls.Certificate, error) { return s.cert, nil }
func (s *issued) Authority() (*x509.CertPool, error)     { return s.pool, nil }

// Config returns the TLS settings of connections between hosts: both ends show a
// certificate of the authority.
func Config(s Source) (*tls.Config, error) {
	base := &tls.Config{
		MinVersion: tls.VersionTLS13,
		NextProtos: []string{protocol},
		ServerName: HostName,
		ClientAuth: tls.RequireAndVerifyClientCert,
	}
	pool, err := s.Authority()
	if err != nil {
		return nil, err
	}
	base.RootCAs, base.ClientCAs = pool, pool
	base.GetCertificate = func(*tls.ClientHelloInfo) (*tls.Certificate, error) { return s.Certificate() }
	base.GetClientCertificate = func(*tls.CertificateRequestInfo) (*tls.Certificate, error) { return s.Certificate() }
	server := base.Clone()
	base.GetConfigForClient = func(*tls.ClientHelloInfo) (*tls.Config, error) {
		fresh := server.Clone()
		pool, err := s.Authority()
		fresh.ClientCAs = pool
		return fresh, err
	}
	return base, nil
}
