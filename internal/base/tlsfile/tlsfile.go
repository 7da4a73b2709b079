// Package tlsfile provides TLS configurations whose certificates and keys are reloaded
// from their files when these change.
package tlsfile

import (
	"crypto/tls"
	"crypto/x509"
	"os"
	"sync"
	"time"

	"github.com/zeebo/errs"
)

var classError = errs.Class("tls")

// minCheckInterval is the minimum time between two checks whether the files have changed.
const minCheckInterval = time.Second

// Files gives the paths of the PEM files of one side of a connection.
type Files struct {
	// Authority is the file of the authority that signs the other side's
	// certificates. If it is empty, a server requires no client certificate and a
	// client trusts the system's roots.
	Authority   string
	Certificate string
	Key         string
}

// Source caches the content of the files and reloads it when they change.
type Source struct {
	Files Files

	mu          sync.Mutex
	certificate *tls.Certificate
	checkedAt   time.Time
	pool        *x509.CertPool
	modTime     time.Time
}

// ServerConfig returns the configuration of a listener. With an authority it requires
// clients to present a certificate that the authority signed.
func (s *Source) ServerConfig() (*tls.Config, error) {
	if _, _, err := s.load(); err != nil {
		return nil, err
	}
	base := &tls.Config{MinVersion: tls.VersionTLS12, NextProtos: []string{"h2", "http/1.1"}}
	base.GetConfigForClient = func(*tls.ClientHelloInfo) (*tls.Config, error) {
		certificate, pool, err := s.load()
		if err != nil {
			return nil, err
		}
		config := &tls.Config{Certificates: []tls.Certificate{*certificate}, MinVersion: tls.VersionTLS12, NextProtos: base.NextProtos}
		if pool != nil {
			config.ClientAuth = tls.RequireAndVerifyClientCert
			config.ClientCAs = pool
		}
		return config, nil
	}
	return base, nil
}

// ClientConfig returns the configuration of a connection to a server whose certificate
// is issued for name. The client certificate is reloaded when the files change, but the
// trusted authority stays the one that was loaded at the call.
func (s *Source) ClientConfig(name string) (*tls.Config, error) {
	_, pool, err := s.load()
	if err != nil {
		return nil, err
	}
	return &tls.Config{
		GetClientCertificate: func(*tls.CertificateRequestInfo) (*tls.Certificate, error) {
			certificate, _, err := s.load()
			return certificate, err
		},
		MinVersion: tls.VersionTLS12,
		RootCAs:    pool,
		ServerName: name,
	}, nil
}

// load returns the content of the files. If they have changed and cannot be read, it
// returns the earlier content, and reads the files again only after their next change.
func (s *Source) load() (*tls.Certificate, *x509.CertPool, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.certificate != nil && time.Since(s.checkedAt) < minCheckInterval {
		return s.certificate, s.pool, nil
	}
	s.checkedAt = time.Now()
	modTime := s.newestModTime()
	if s.certificate != nil && modTime.Equal(s.modTime) {
		return s.certificate, s.pool, nil
	}
	if err := s.read(); err != nil && s.certificate == nil {
		return nil, nil, err
	}
	s.modTime = modTime
	return s.certificate, s.pool, nil
}

func (s *Source) newestModTime() time.Time {
	var newest time.Time
	for _, path := range []string{s.Files.Authority, s.Files.Certificate, s.Files.Key} {
		info, err := os.Stat(path)
		if err == nil && info.ModTime().After(newest) {
			newest = info.ModTime()
		}
	}
	return newest
}

func (s *Source) read() error {
	certificate, err := tls.LoadX509KeyPair(s.Files.Certificate, s.Files.Key)
	if err != nil {
		return classError.Wrap(err)
	}
	var pool *x509.CertPool
	if s.Files.Authority != "" {
		pool, err = readPool(s.Files.Authority)
		if err != nil {
			return err
		}
	}
	s.certificate, s.pool = &certificate, pool
	return nil
}

func readPool(path string) (*x509.CertPool, error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return nil, classError.Wrap(err)
	}
	pool := x509.NewCertPool()
	if !pool.AppendCertsFromPEM(text) {
		return nil, classError.New("%s contains no valid PEM certificate", path)
	}
	return pool, nil
}

// ConfigTrusting returns the configuration of a client that trusts the authority in the
// file and presents no certificate.
func ConfigTrusting(authority string) (*tls.Config, error) {
	pool, err := readPool(authority)
	if err != nil {
		return nil, err
	}
	return &tls.Config{MinVersion: tls.VersionTLS12, RootCAs: pool}, nil
}
