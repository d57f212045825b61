package request

import (
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/tls"
	"crypto/x509"
	"crypto/x509/pkix"
	"math/big"
	"time"

	"github.com/go-faster/errors"
	"github.com/quic-go/quic-go/http3"
)

// certificateValidity is the validity of a self-signed certificate, longer than any process runs.
const certificateValidity = 365 * 24 * time.Hour

// clockTolerance is how far callers' clocks may be behind when a self-signed certificate is new.
const clockTolerance = time.Hour

// TLS names the files of the certificate that the server presents to callers. Without files, a
// self-signed certificate is generated at start.
type TLS struct {
	CertificateFile string `yaml:"certificate_file"`
	KeyFile         string `yaml:"key_file"`
}

func (t TLS) config(name string) (*tls.Config, error) {
	certificate, err := t.certificate(name)
	if err != nil {
		return nil, err
	}
	base := &tls.Config{Certificates: []tls.Certificate{certificate}, MinVersion: tls.VersionTLS13}
	return http3.ConfigureTLSConfig(base), nil
}

func (t TLS) certificate(name string) (tls.Certificate, error) {
	if t.CertificateFile == "" && t.KeyFile == "" {
		return selfSigned(name)
	}
	certificate, err := tls.LoadX509KeyPair(t.CertificateFile, t.KeyFile)
	if err != nil {
		return tls.Certificate{}, errors.Wrap(err, "certificate towards callers")
	}
	return certificate, nil
}

func selfSigned(name string) (tls.Certificate, error) {
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		return tls.Certificate{}, errors.Wrap(err, "make key")
	}
	now := time.Now()
	template := &x509.Certificate{
		SerialNumber: big.NewInt(now.UnixNano()),
		Subject:      pkix.Name{CommonName: name},
		NotBefore:    now.Add(-clockTolerance),
		NotAfter:     now.Add(certificateValidity),
		KeyUsage:     x509.KeyUsageDigitalSignature,
		ExtKeyUsage:  []x509.ExtKeyUsage{x509.ExtKeyUsageServerAuth},
	}
	der, err := x509.CreateCertificate(rand.Reader, template, template, &key.PublicKey, key)
	if err != nil {
		return tls.Certificate{}, errors.Wrap(err, "make certificate")
	}
	return tls.Certificate{Certificate: [][]byte{der}, PrivateKey: key}, nil
}
