package entryd

import (
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/tls"
	"crypto/x509"
	"encoding/pem"
	"math/big"
	"os"
	"path/filepath"
	"testing"
	"time"

	"github.com/matryer/is"

	"cactuspost.example/internal/settings"
)

func TestReplacedCertificateIsReloaded(t *testing.T) {
	is := is.New(t)
	folder := t.TempDir()
	files := settings.TLS{CertFile: filepath.Join(folder, "cert.pem"), KeyFile: filepath.Join(folder, "key.pem")}
	writePair(is, files, 1)
	c := &certificateReloader{files: files}
	is.NoErr(c.load())
	is.Equal(serialNumber(is, c.pair), int64(1))

	writePair(is, files, 2)
	c.Tick(time.Time{})
	is.Equal(serialNumber(is, c.pair), int64(2))

	is.NoErr(os.WriteFile(files.KeyFile, []byte("not a key"), 0o600))
	touch(is, files.KeyFile, 3)
	c.Tick(time.Time{})
	is.Equal(serialNumber(is, c.pair), int64(2)) // the last valid pair stays in use
	reply := make(chan *tls.Certificate, 1)
	c.Handle(time.Time{}, reply)
	is.Equal(<-reply, c.pair)
}

func TestMissingCertificateIsRejected(t *testing.T) {
	is := is.New(t)
	_, err := LoadTLS(t.Context(), &settings.TLS{CertFile: "none", KeyFile: "none"})
	is.True(err != nil)
	none, err := LoadTLS(t.Context(), nil)
	is.NoErr(err)
	is.True(none == nil)
}

// writePair writes a new certificate and key with the given serial number, which
// also determines the modification time of both files.
func writePair(is *is.I, files settings.TLS, number int64) {
	private, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	is.NoErr(err)
	template := &x509.Certificate{SerialNumber: big.NewInt(number), NotAfter: time.Now().Add(time.Hour)}
	der, err := x509.CreateCertificate(rand.Reader, template, template, &private.PublicKey, private)
	is.NoErr(err)
	key, err := x509.MarshalECPrivateKey(private)
	is.NoErr(err)
	is.NoErr(os.WriteFile(files.CertFile, pem.EncodeToMemory(&pem.Block{Type: "CERTIFICATE", Bytes: der}), 0o600))
	is.NoErr(os.WriteFile(files.KeyFile, pem.EncodeToMemory(&pem.Block{Type: "EC PRIVATE KEY", Bytes: key}), 0o600))
	touch(is, files.CertFile, number)
	touch(is, files.KeyFile, number)
}

func touch(is *is.I, file string, number int64) {
	at := time.Unix(1_800_000_000+number, 0)
	is.NoErr(os.Chtimes(file, at, at))
}

func serialNumber(is *is.I, pair *tls.Certificate) int64 {
	parsed, err := x509.ParseCertificate(pair.Certificate[0])
	is.NoErr(err)
	return parsed.SerialNumber.Int64()
}
