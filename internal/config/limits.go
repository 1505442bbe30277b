package config

import (
	"errors"
	"fmt"
	"os"
	"strings"
	"time"

	"fawnplank/internal/authz"
	"fawnplank/internal/tlsconfig"
	"fawnplank/internal/tomlfile"
	"fawnplank/policy"
)

// Limits is the section for the limit commands in RESP.
type Limits struct {
	Listen         string   `toml:"listen"`        // where tools connect; if empty, the commands are off
	AnswerTimeout  Duration `toml:"answer_within"` // time limit for an answer
	MaxConnections int      `toml:"connections"`   // of tools, at once

	TLSCertificate string     `toml:"tls_certificate"`
	TLSKey         string     `toml:"tls_key"`
	TLSAuthority   string     `toml:"tls_authority"` // of clients' certificates; if empty, none is requested
	Keys           []LimitKey `toml:"key"`
}

// LimitKey is a key that a tool presents, and its rights. If no key is configured, all tools may check and do nothing
// else. Once one is, a tool may do nothing without a key, not even check.
type LimitKey struct {
	Name       string    `toml:"name"`
	SecretFile string    `toml:"secret_file"` // file with the secret, accessible only to its owner
	Rights     []string  `toml:"rights"`      // check, read, reserve, change
	Key        authz.Key `toml:"-"`           // the secret and the rights, set once they are checked
}

const (
	// defaultAnswerTimeout is the latency objective that users know.
	defaultAnswerTimeout = Duration(750 * time.Millisecond)
	minAnswerTimeout     = Duration(time.Millisecond)
	maxAnswerTimeout     = Duration(time.Minute)
	// defaultMaxConnections is sized for tools, not for tenants.
	defaultMaxConnections = 64
	highestMaxConnections = 10000
	// minSecretBytes is the length below which a secret could be guessed.
	minSecretBytes = 16
	// othersPermissions holds the file mode bits that give access to anyone but the owner.
	othersPermissions = 0o077
)

// limitClassName is the name of the class that only checks. No class of the platform's settings can have this
// name, because theirs contain no point.
const limitClassName = "limit.check"

func defaultLimits() Limits {
	return Limits{AnswerTimeout: defaultAnswerTimeout, MaxConnections: defaultMaxConnections}
}

// TLS returns the certificate files for the section's address.
func (l Limits) TLS() tlsconfig.Files {
	return tlsconfig.Files{Certificate: l.TLSCertificate, Key: l.TLSKey, Authority: l.TLSAuthority}
}

// checkAddress checks the address and the bounds on its connections.
func (l *Limits) checkAddress(file *tomlfile.File) error {
	if l.Listen != "" && !isHostPort(l.Listen) {
		return file.KeyErrorf("limits.listen", "is %q, which is no host and port", l.Listen)
	}
	if l.AnswerTimeout < minAnswerTimeout || l.AnswerTimeout > maxAnswerTimeout {
		return file.KeyErrorf("limits.answer_within", "is not from 1ms to 60s")
	}
	if l.MaxConnections < 1 || l.MaxConnections > highestMaxConnections {
		return file.KeyErrorf("limits.connections", "is not from 1 to %d", highestMaxConnections)
	}
	return nil
}

// checkAccess checks the certificates, and reads the keys' secrets and rights.
func (l *Limits) checkAccess(file *tomlfile.File) error {
	if l.TLS().Enabled() {
		if _, err := tlsconfig.New(l.TLS()); err != nil {
			return file.KeyErrorf("limits.tls_certificate", "cannot be used: %v", err)
		}
	}
	names := map[string]bool{}
	for n := range l.Keys {
		key := &l.Keys[n]
		path := fmt.Sprintf("limits.key[%d]", n)
		if key.Name == "" || names[key.Name] {
			return file.KeyErrorf(path+".name", "is %q: missing, or another key's", key.Name)
		}
		names[key.Name] = true
		if err := key.readSecret(); err != nil {
			return file.KeyErrorf(path+".secret_file", "%v", err)
		}
		if err := key.parseRights(); err != nil {
			return file.KeyErrorf(path+".rights", "%v", err)
		}
	}
	return nil
}

// readSecret reads the key's secret. The error completes a sentence that begins with the file's key. Once the file is
// there, one text stands for three faults and leaves out the system's error.
func (k *LimitKey) readSecret() error {
	info, err := os.Stat(k.SecretFile)
	if err != nil {
		return fmt.Errorf("cannot be read: %w", err)
	}
	text, err := os.ReadFile(k.SecretFile)
	secret := strings.TrimSpace(string(text))
	if err != nil || info.Mode().Perm()&othersPermissions != 0 || len(secret) < minSecretBytes {
		const problem = "%q cannot be read, may be read by others than its owner, or holds less than %d bytes"
		return fmt.Errorf(problem, k.SecretFile, minSecretBytes)
	}
	k.Key.Secret = []byte(secret)
	return nil
}

// parseRights parses the key's rights. The error completes a sentence that begins with the rights' key.
func (k *LimitKey) parseRights() error {
	if len(k.Rights) == 0 {
		return errors.New("is missing")
	}
	for _, name := range k.Rights {
		right := authz.RightsByName[name]
		if right == 0 {
			return fmt.Errorf("has %q, not check, read, reserve or change", name)
		}
		k.Key.Rights |= right
	}
	return nil
}

// AddLimitClass adds the class that only checks, which the limit commands use, to a newly read configuration.
// It does nothing if the commands are off. It changes the configuration, and is called before KeepIDs, so that the
// class keeps its id over a reload: a class that is added afterwards gets a new id each time, and the rows grow.
func (c *Config) AddLimitClass(o *Operator) {
	if o.Limits.Listen == "" {
		return
	}
	c.Classes[limitClassName] = policy.ClassID(len(c.Settings.Classes))
	c.Settings.Classes = append(c.Settings.Classes, policy.ClassSettings{
		LatencyObjective: time.Duration(o.Limits.AnswerTimeout),
		Deadline:         time.Duration(o.Limits.AnswerTimeout),
		CheckOnly:        true,
	})
}

// LimitClass returns the class that only checks; ok is false if limit commands are off.
func (c *Config) LimitClass() (id policy.ClassID, ok bool) {
	id, ok = c.Classes[limitClassName]
	return id, ok
}
