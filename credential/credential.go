// Package credential provides the certificates with which hosts authenticate each other.
// They are read from files and reloaded when a file changes, derived from a shared
// secret, or issued in memory for demos and tests.
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
	// Files holds the paths of the PEM files of a host's certificate, its private
	// key, and the certificate authority of all hosts.
	Files struct{ Certificate, Key, Authority string }

	// A Source provides the current certificate of a host, and the current pool of
	// certificate authorities for the verification of peers.
	Source interface {
		Certificate() (*tls.Certificate, error)
		Authority() (*x509.CertPool, error)
	}

	// An Issuer is an in-memory certificate authority for demos and tests.
	Issuer struct {
		key  *ecdsa.PrivateKey
		cert *x509.Certificate
	}

	// fileSource reloads the credentials when one of the files has changed.
	fileSource struct {
		files    Files
		mu       sync.Mutex
		modified time.Time // latest modification time of the files at the last successful read
		cert     *tls.Certificate
		pool     *x509.CertPool
	}

	// staticSource holds credentials that do not change.
	staticSource struct {
		cert *tls.Certificate
		pool *x509.CertPool
	}
)

const (
	// CertificateName is the DNS name in the certificate of every host. Hosts connect
	// by IP address, so every certificate is verified against this one name.
	CertificateName = "host.wigeonlink"

	alpnProtocol   = "wigeonlink/1"
	issuedLifetime = 24 * time.Hour // validity of certificates that an Issuer signs
)

// NewFileSource returns a source that reads the files, and reloads them when one has changed.
// If a reload fails, the source returns the credentials of the last successful read.
func NewFileSource(f Files) (Source, error) {
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

// current returns the certificate and the authority pool of the last successful read.
// Both come from the same read.
func (s *fileSource) current() (*tls.Certificate, *x509.CertPool, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if err := s.refresh(); s.cert == nil {
		return nil, nil, err
	}
	return s.cert, s.pool, nil
}

// refresh reads the files again if one has a later modification time than at the last
// successful read.
func (s *fileSource) refresh() error {
	newest, err := s.lastModified()
	if err != nil || !newest.After(s.modified) {
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
		return eris.Errorf("authority file %s contains no PEM certificate", s.files.Authority)
	}
	s.cert, s.pool, s.modified = &cert, pool, newest
	return nil
}

// lastModified returns the latest modification time of the files.
func (s *fileSource) lastModified() (time.Time, error) {
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

// NewIssuer returns an Issuer with a new key and a self-signed certificate.
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

// newTemplate returns a certificate template with the given common name. The certificate is
// valid for a TLS client and a TLS server, because a host is both.
func newTemplate(name string) *x509.Certificate {
	serial, _ := rand.Int(rand.Reader, big.NewInt(1<<62)) // reading crypto/rand never fails
	return &x509.Certificate{
		SerialNumber: serial,
		Subject:      pkix.Name{CommonName: name},
		DNSNames:     []string{CertificateName},
		NotBefore:    time.Now().Add(-time.Hour),
		NotAfter:     time.Now().Add(issuedLifetime),
		KeyUsage:     x509.KeyUsageDigitalSignature,
		ExtKeyUsage:  []x509.ExtKeyUsage{x509.ExtKeyUsageServerAuth, x509.ExtKeyUsageClientAuth},
	}
}

// Issue creates a key and a certificate with the given common name, signed by the issuer, and
// returns them as the credentials of a host.
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
	return &staticSource{&tls.Certificate{Certificate: [][]byte{der}, PrivateKey: key}, pool}, nil
}

func (s *staticSource) Certificate() (*tls.Certificate, error) { return s.cert, nil }
func (s *staticSource) Authority() (*x509.CertPool, error)     { return s.pool, nil }

// TLSConfig returns the TLS configuration for connections between hosts. Both ends must
// present a certificate that the authority has signed. Every handshake uses the certificate
// that s returns at that time. A server also verifies clients with the pool that s returns at
// that time; a client verifies servers with the pool that s returned to TLSConfig.
func TLSConfig(s Source) (*tls.Config, error) {
	base := &tls.Config{
		MinVersion: tls.VersionTLS13,
		NextProtos: []string{alpnProtocol},
		ServerName: CertificateName,
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
