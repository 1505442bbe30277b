package kit

import (
	"fmt"
	"net"
	"strings"
	"time"
)

// Names of the zone that the cases use.
const (
	Origin  = "calc.example."
	Service = "_calc._tcp.calc.example."
	keyName = "deploy."
	// secret is the key's secret in base64, of the stand-in updater alone.
	secret = "cmV2aWV3LW9mLWZhd25wbGFuay1jYXNlcw=="
)

// SRV returns the SRV record of a backend, in master file format.
func SRV(b *Backend) string {
	_, port, _ := net.SplitHostPort(b.Address)
	return fmt.Sprintf("%s 30 IN SRV 0 100 %s %s.%s", Service, port, b.Name, Origin)
}

// ZoneText returns a zone file. Each backend has 127.0.0.1 and its own port.
func ZoneText(serial uint32, backends ...*Backend) string {
	var text strings.Builder
	fmt.Fprintf(&text, "$ORIGIN %s\n$TTL 30\n@ IN SOA ns admin %d 3600 600 86400 30\n@ IN NS ns\nns A 127.0.0.1\n", Origin, serial)
	for _, b := range backends {
		fmt.Fprintf(&text, "%s\n", SRV(b))
	}
	for _, b := range backends {
		fmt.Fprintf(&text, "%s A 127.0.0.1\n", b.Name)
	}
	return text.String()
}

// Operator returns an operator file with a zone; journal is empty with the replicated store.
func (c *Case) Operator(name, zoneFile, listen, journal string) string {
	secretFile := c.WriteFile("deploy.key", secret+"\n", 0o600)
	text := fmt.Sprintf("[dns]\nzone_file = %q\norigin = %q\nservice = %q\nlisten = %q\n", zoneFile, Origin, Service, listen)
	if journal != "" {
		text += fmt.Sprintf("journal = %q\n", journal)
	}
	text += fmt.Sprintf("[[dns.key]]\nname = %q\nsecret_file = %q\n", keyName, secretFile)
	return c.WriteFile(name, text, 0o600)
}

// Update sends one signed update with the project's own updater.
func (c *Case) Update(limit time.Duration, at string, arguments ...string) error {
	args := append([]string{"dns", "update", "--at", at, "--zone", Origin, "--key", keyName,
		"--secret-file", c.Dir + "/deploy.key"}, arguments...)
	began := c.Now()
	output, err := c.Command(limit, args...)
	result := "NOERROR"
	if err != nil {
		result = fmt.Sprintf("%v: %s", err, output)
	}
	c.Log("update at %s, sent at %.3f s: %s: %s", at, began.Seconds(), strings.Join(arguments, " "), result)
	return err
}
