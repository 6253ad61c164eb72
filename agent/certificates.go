package agent

import (
	"crypto/tls"
	"os"
	"sync"
	"time"

	"github.com/go-faster/errors"
)

// reloadInterval is the minimum time between two checks of a certificate file
// for changes.
const reloadInterval = 10 * time.Second

// certificate is a key pair that is reloaded when its certificate file changes.
type certificate struct {
	files Certificate

	// mu guards the fields below.
	mu        sync.Mutex
	pair      *tls.Certificate
	modified  time.Time
	checkedAt time.Time
}

func loadCertificate(files Certificate) (*certificate, error) {
	c := &certificate{files: files}
	if err := c.load(); err != nil {
		return nil, errors.Wrap(err, "field \"certificates\"")
	}
	return c, nil
}

func (c *certificate) load() error {
	info, err := os.Stat(c.files.Cert)
	if err != nil {
		return err
	}
	pair, err := tls.LoadX509KeyPair(c.files.Cert, c.files.Key)
	if err != nil {
		return err
	}
	c.pair, c.modified = &pair, info.ModTime()
	return nil
}

// get returns the current key pair. If the files cannot be loaded, it returns
// the previous one.
func (c *certificate) get(now time.Time) *tls.Certificate {
	c.mu.Lock()
	defer c.mu.Unlock()
	if now.Sub(c.checkedAt) < reloadInterval {
		return c.pair
	}
	c.checkedAt = now
	if info, err := os.Stat(c.files.Cert); err == nil && !info.ModTime().Equal(c.modified) {
		_ = c.load()
	}
	return c.pair
}

// certificates holds the key pairs by service name; the empty name is the
// default.
type certificates struct{ byService map[string]*certificate }

func loadCertificates(list []Certificate) (*certificates, error) {
	cs := &certificates{byService: map[string]*certificate{}}
	for _, files := range list {
		c, err := loadCertificate(files)
		if err != nil {
			return nil, err
		}
		cs.byService[files.Service] = c
	}
	return cs, nil
}

// tlsConfig returns the TLS configuration of a service, or nil if it has no
// key pair and there is no default.
func (cs *certificates) tlsConfig(service string) *tls.Config {
	c, ok := cs.byService[service]
	if !ok {
		c, ok = cs.byService[""]
	}
	if !ok {
		return nil
	}
	return &tls.Config{
		MinVersion: tls.VersionTLS13,
		GetCertificate: func(*tls.ClientHelloInfo) (*tls.Certificate, error) {
			return c.get(time.Now()), nil
		},
	}
}
