// Package authority provides the certificate authority that signs the certificates
// with which entry hosts authenticate each other.
package authority

import (
	"crypto"
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
)

var classError = errs.Class("authority")

// PeerName is the DNS name that the certificates of all entry hosts carry.
const PeerName = "entry-host.nutmegway"

const (
	// backdate is how far before the time of issue a certificate becomes valid, so
	// that hosts whose clocks are behind accept it.
	backdate   = time.Hour
	serialBits = 120

	certificateBlock = "CERTIFICATE"
	keyBlock         = "PRIVATE KEY"

	// keyMode lets only the owner of the file read a key.
	keyMode         = 0o600
	certificateMode = 0o644
)

// Pair is a certificate and its private key, both PEM-encoded.
type Pair struct {
	Certificate []byte
	Key         []byte
}

// Authority signs the certificates of entry hosts. Pair holds its own certificate, which
// is self-signed, and its key.
type Authority struct {
	Pair

	certificate *x509.Certificate
	key         crypto.Signer
}

// New returns an authority whose certificate is valid from now for lifetime.
func New(now time.Time, lifetime time.Duration) (*Authority, error) {
	template, key, err := newTemplate("nutmegway authority", now, lifetime)
	if err != nil {
		return nil, err
	}
	template.BasicConstraintsValid = true
	template.IsCA = true
	template.KeyUsage = x509.KeyUsageCertSign
	pair, err := sign(template, template, key, key)
	if err != nil {
		return nil, err
	}
	return Parse(pair)
}

// Parse returns the authority whose certificate and key are in pair, as created by New.
func Parse(pair Pair) (*Authority, error) {
	certificatePEM, _ := pem.Decode(pair.Certificate)
	keyPEM, _ := pem.Decode(pair.Key)
	if certificatePEM == nil || keyPEM == nil {
		return nil, classError.New("the certificate (%d bytes) or the key (%d bytes) holds no PEM block", len(pair.Certificate), len(pair.Key))
	}
	certificate, err := x509.ParseCertificate(certificatePEM.Bytes)
	if err != nil {
		return nil, classError.Wrap(err)
	}
	parsed, err := x509.ParsePKCS8PrivateKey(keyPEM.Bytes)
	if err != nil {
		return nil, classError.Wrap(err)
	}
	key, ok := parsed.(crypto.Signer)
	if !ok {
		return nil, classError.New("the authority's key is of type %T, which cannot sign", parsed)
	}
	return &Authority{Pair: pair, certificate: certificate, key: key}, nil
}

// Issue returns a new key and its signed certificate for the entry host. The certificate is
// valid for lifetime from now, even if that of the authority expires earlier.
func (a *Authority) Issue(host string, now time.Time, lifetime time.Duration) (Pair, error) {
	template, key, err := newTemplate(host, now, lifetime)
	if err != nil {
		return Pair{}, err
	}
	template.DNSNames = []string{PeerName}
	template.ExtKeyUsage = []x509.ExtKeyUsage{x509.ExtKeyUsageClientAuth, x509.ExtKeyUsageServerAuth}
	template.KeyUsage = x509.KeyUsageDigitalSignature
	return sign(template, a.certificate, key, a.key)
}

// newTemplate returns a new key and the template of its certificate.
func newTemplate(name string, now time.Time, lifetime time.Duration) (*x509.Certificate, *ecdsa.PrivateKey, error) {
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		return nil, nil, classError.Wrap(err)
	}
	serial, err := rand.Int(rand.Reader, new(big.Int).Lsh(big.NewInt(1), serialBits))
	if err != nil {
		return nil, nil, classError.Wrap(err)
	}
	return &x509.Certificate{
		NotAfter:     now.Add(lifetime),
		NotBefore:    now.Add(-backdate),
		SerialNumber: serial,
		Subject:      pkix.Name{CommonName: name},
	}, key, nil
}

func sign(template, parent *x509.Certificate, key *ecdsa.PrivateKey, signer crypto.Signer) (Pair, error) {
	certificate, err := x509.CreateCertificate(rand.Reader, template, parent, key.Public(), signer)
	if err != nil {
		return Pair{}, classError.Wrap(err)
	}
	keyDER, err := x509.MarshalPKCS8PrivateKey(key)
	if err != nil {
		return Pair{}, classError.Wrap(err)
	}
	return Pair{
		Certificate: pem.EncodeToMemory(&pem.Block{Type: certificateBlock, Bytes: certificate}),
		Key:         pem.EncodeToMemory(&pem.Block{Type: keyBlock, Bytes: keyDER}),
	}, nil
}

// Write stores the pair as NAME.pem and NAME-key.pem in folder and returns the paths
// of the two files.
func (p Pair) Write(folder, name string) (certificate, key string, err error) {
	certificate, key = pairPaths(folder, name)
	if err := os.WriteFile(key, p.Key, keyMode); err != nil {
		return "", "", classError.Wrap(err)
	}
	if err := os.WriteFile(certificate, p.Certificate, certificateMode); err != nil {
		return "", "", classError.Wrap(err)
	}
	return certificate, key, nil
}

// Read returns the pair that Write stored under name in folder.
func Read(folder, name string) (Pair, error) {
	certificate, key := pairPaths(folder, name)
	var pair Pair
	var err error
	if pair.Certificate, err = os.ReadFile(certificate); err != nil {
		return Pair{}, classError.Wrap(err)
	}
	pair.Key, err = os.ReadFile(key)
	return pair, classError.Wrap(err)
}

func pairPaths(folder, name string) (certificate, key string) {
	return filepath.Join(folder, name+".pem"), filepath.Join(folder, name+"-key.pem")
}
