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
	// LeastSecret is the shortest secret that hosts may share, in bytes.
	LeastSecret = 16

	sharedLabel = "wigeonlink authority 1 " // keeps other uses of a secret apart

	// sharedLife is how long a certificate of a shared secret holds. It is made anew
	// at each start and must outlive the process and any step of the clock.
	sharedLife = 10 * 365 * 24 * time.Hour
)

// NewShared returns the credentials of a host that shares a secret with the others. All
// of them derive the same authority from it, and each signs a certificate of its own, so
// that nothing has to be handed out or kept.
func NewShared(secret, name string) (Source, error) {
	if len(secret) < LeastSecret {
		return nil, eris.Errorf("the secret has %d bytes, at least %d are wanted", len(secret), LeastSecret)
	}
	seed := sha256.Sum256([]byte(sharedLabel + secret))
	key := ed25519.NewKeyFromSeed(seed[:])
	root := newTemplate("authority")
	root.IsCA, root.BasicConstraintsValid = true, true
	root.KeyUsage = x509.KeyUsageCertSign
	lasting(root)
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
		return nil, eris.Wrap(err, "host key")
	}
	leaf := newTemplate(name)
	lasting(leaf)
	if der, err = x509.CreateCertificate(rand.Reader, leaf, authority, public, key); err != nil {
		return nil, eris.Wrap(err, "host certificate")
	}
	pool := x509.NewCertPool()
	pool.AddCert(authority)
	return &issued{&tls.Certificate{Certificate: [][]byte{der}, PrivateKey: private}, pool}, nil
}

// lasting makes a certificate hold whatever the clock says within years.
func lasting(c *x509.Certificate) {
	c.NotBefore, c.NotAfter = c.NotBefore.Add(-sharedLife), c.NotBefore.Add(sharedLife)
}
