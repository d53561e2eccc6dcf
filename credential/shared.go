package credential

import (
	"crypto/ed25519"
	"crypto/rand"
	"crypto/sha256"
	"crypto/tls"
	"crypto/x509"
	"time"

	"github.com/rotisserie/eris"
)

const (
	// MinSecretBytes is the minimum length of a shared secret, in bytes.
	MinSecretBytes = 16

	authorityLabel = "wigeonlink authority 1 " // separates this key derivation from other uses of the secret

	// sharedLifetime is how long before and after their creation the certificates are
	// valid that are derived from a shared secret. A process creates them at its start;
	// they must be valid until it exits, also after any step of the system clock.
	sharedLifetime = 10 * 365 * 24 * time.Hour
)

// NewSharedSecretSource returns the credentials of a host that shares a secret with all other
// hosts. name is the common name of the host's certificate. Every
// host derives the same certificate authority from the secret and signs its own
// certificate, so no certificates need to be distributed or stored.
func NewSharedSecretSource(secret, name string) (Source, error) {
	if len(secret) < MinSecretBytes {
		return nil, eris.Errorf("the secret has %d bytes, at least %d are required", len(secret), MinSecretBytes)
	}
	seed := sha256.Sum256([]byte(authorityLabel + secret))
	key := ed25519.NewKeyFromSeed(seed[:])
	root := newTemplate("authority")
	root.IsCA, root.BasicConstraintsValid = true, true
	root.KeyUsage = x509.KeyUsageCertSign
	extendValidity(root)
	der, err := x509.CreateCertificate(rand.Reader, root, root, key.Public(), key)
	if err != nil {
		return nil, eris.Wrap(err, "authority")
	}
	authority, err := x509.ParseCertificate(der)
	if err != nil {
		return nil, eris.Wrap(err, "authority")
	}
	public, private, err := ed25519.GenerateKey(rand.Reader)
	if err != nil {
		return nil, eris.Wrap(err, "generate the key of the host")
	}
	leaf := newTemplate(name)
	extendValidity(leaf)
	if der, err = x509.CreateCertificate(rand.Reader, leaf, authority, public, key); err != nil {
		return nil, eris.Wrap(err, "create the certificate of the host")
	}
	pool := x509.NewCertPool()
	pool.AddCert(authority)
	return &staticSource{&tls.Certificate{Certificate: [][]byte{der}, PrivateKey: private}, pool}, nil
}

// extendValidity sets the validity of a certificate to the time from sharedLifetime before to
// sharedLifetime after its original NotBefore.
func extendValidity(c *x509.Certificate) {
	c.NotBefore, c.NotAfter = c.NotBefore.Add(-sharedLifetime), c.NotBefore.Add(sharedLifetime)
}
