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

// LimitCommands is the section of the operator file for the limit commands, which tools send in RESP.
type LimitCommands struct {
	Listen         string   `toml:"listen"`        // address for connections of tools; if empty, the commands are disabled
	AnswerTimeout  Duration `toml:"answer_within"` // time limit for an answer
	MaxConnections int      `toml:"connections"`   // most connections of tools at a time

	TLSCertificate string            `toml:"tls_certificate"`
	TLSKey         string            `toml:"tls_key"`
	TLSAuthority   string            `toml:"tls_authority"` // authority of client certificates; if empty, none requested
	Keys           []LimitCommandKey `toml:"key"`
}

// LimitCommandKey is a key by which a tool authenticates itself, with the rights of the key. If no key is configured,
// every tool has the right to check and no other right. If any key is configured, a tool without a key has no rights,
// not even the right to check.
type LimitCommandKey struct {
	Name       string    `toml:"name"`
	SecretFile string    `toml:"secret_file"` // file with the secret, accessible only to its owner
	Rights     []string  `toml:"rights"`      // check, read, reserve, change
	Key        authz.Key `toml:"-"`           // set by readSecret and parseRights
}

const (
	// defaultAnswerTimeout is the latency objective announced to users.
	defaultAnswerTimeout = Duration(750 * time.Millisecond)
	minAnswerTimeout     = Duration(time.Millisecond)
	maxAnswerTimeout     = Duration(time.Minute)
	// defaultMaxConnections is sized for a few tools, not for the tenants.
	defaultMaxConnections = 64
	highestMaxConnections = 10000
	// minSecretBytes is the shortest accepted secret; a shorter secret could be guessed.
	minSecretBytes = 16
	// groupAndOtherPermissions are the file mode bits that give access to users other than the owner.
	groupAndOtherPermissions = 0o077
)

// checkOnlyClassName is the name of the class for requests that only check a limit. No class of the platform's
// settings can have this name, because their names contain no dot.
const checkOnlyClassName = "limit.check"

func defaultLimits() LimitCommands {
	return LimitCommands{AnswerTimeout: defaultAnswerTimeout, MaxConnections: defaultMaxConnections}
}

// TLSFiles returns the paths of the certificate files for the listen address.
func (l LimitCommands) TLSFiles() tlsconfig.Files {
	return tlsconfig.Files{Certificate: l.TLSCertificate, Key: l.TLSKey, Authority: l.TLSAuthority}
}

// checkAddress checks the listen address, the answer timeout and the limit on connections.
func (l *LimitCommands) checkAddress(file *tomlfile.File) error {
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

// checkAccess checks the certificates, and reads the secrets and rights of the keys.
func (l *LimitCommands) checkAccess(file *tomlfile.File) error {
	if l.TLSFiles().Enabled() {
		if _, err := tlsconfig.New(l.TLSFiles()); err != nil {
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

// readSecret reads the secret of the key. The text of its error is the predicate of a sentence whose subject is the
// setting secret_file. If the file exists, one error text covers three causes and omits the error of the operating
// system.
func (k *LimitCommandKey) readSecret() error {
	info, err := os.Stat(k.SecretFile)
	if err != nil {
		return fmt.Errorf("cannot be read: %w", err)
	}
	text, err := os.ReadFile(k.SecretFile)
	secret := strings.TrimSpace(string(text))
	if err != nil || info.Mode().Perm()&groupAndOtherPermissions != 0 || len(secret) < minSecretBytes {
		const problem = "%q cannot be read, may be read by others than its owner, or holds less than %d bytes"
		return fmt.Errorf(problem, k.SecretFile, minSecretBytes)
	}
	k.Key.Secret = []byte(secret)
	return nil
}

// parseRights parses the rights of the key. The text of its error is the predicate of a sentence whose subject is the
// setting rights.
func (k *LimitCommandKey) parseRights() error {
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

// AddCheckOnlyClass adds the class that the limit commands use, for requests that only check a limit, to a newly read
// configuration. It does nothing if the limit commands are disabled. It must be called before KeepIDs, so that the
// class keeps its id across a reload. If it were called after KeepIDs, the class would get a new id at each reload,
// and the number of rows would grow.
func (c *Config) AddCheckOnlyClass(o *OperatorSettings) {
	if o.LimitCommands.Listen == "" {
		return
	}
	c.Classes[checkOnlyClassName] = policy.ClassID(len(c.Settings.Classes))
	c.Settings.Classes = append(c.Settings.Classes, policy.ClassSettings{
		LatencyObjective: time.Duration(o.LimitCommands.AnswerTimeout),
		Deadline:         time.Duration(o.LimitCommands.AnswerTimeout),
		CheckOnly:        true,
	})
}

// CheckOnlyClass returns the id of the class that AddCheckOnlyClass added; ok is false if limit commands are disabled.
func (c *Config) CheckOnlyClass() (id policy.ClassID, ok bool) {
	id, ok = c.Classes[checkOnlyClassName]
	return id, ok
}
