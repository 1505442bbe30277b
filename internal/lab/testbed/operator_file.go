package testbed

import (
	"context"
	"encoding/base64"
	"fmt"
	"os"
	"strings"

	"fawnplank/internal/dnsserver"
	"fawnplank/internal/lab/emulator"
	"fawnplank/internal/lab/scenario"
)

// Name and algorithm of the key that signs the dynamic DNS updates to a gateway. The gateway reads the key's secret
// from a separate file.
const (
	updateKeyName      = "lab."
	updateKeyAlgorithm = "hmac-sha256"
)

// writeOperatorFile writes the operator file of a gateway and returns its path, or "" if the scenario uses no setting
// that exists only in an operator file. For a gateway that takes its backends from DNS it also writes a zone file and
// starts the dynamic updates.
func (t *testbed) writeOperatorFile(ctx context.Context, index int) (string, error) {
	var text strings.Builder
	if t.scenario.Counter.Protocol == scenario.ProtocolRESP {
		text.WriteString("[counter]\nprotocol = \"resp\"\n")
	}
	if t.scenario.Discovery.Source == scenario.SourceDNS {
		section, err := t.prepareZone(ctx, index)
		if err != nil {
			return "", err
		}
		text.WriteString(section)
	}
	if text.Len() == 0 {
		return "", nil
	}
	path := t.gatewayFile(index, "toml")
	return path, os.WriteFile(path, []byte(text.String()), 0o600)
}

// prepareZone writes a gateway's zone file and key file and starts the emulator's dynamic updates to the gateway. It
// returns the sections of the operator file that configure them.
func (t *testbed) prepareZone(ctx context.Context, index int) (string, error) {
	address, err := FreeAddress(ctx)
	if err != nil {
		return "", err
	}
	zoneFile, keyFile := t.gatewayFile(index, "zone"), t.gatewayFile(index, "key")
	if err := os.WriteFile(zoneFile, []byte(t.emulator.ZoneFile()), 0o600); err != nil {
		return "", err
	}
	secret := fmt.Appendf(nil, "secret of the laboratory, gateway %4d", index)
	if err := os.WriteFile(keyFile, []byte(base64.StdEncoding.EncodeToString(secret)), 0o600); err != nil {
		return "", err
	}
	key, err := dnsserver.ReadKey(updateKeyName, updateKeyAlgorithm, keyFile)
	if err != nil {
		return "", err
	}
	t.emulator.StartDNSUpdates(index, address, key)
	var section strings.Builder
	section.WriteString("[dns]\n")
	for _, setting := range [][2]string{
		{"zone_file", zoneFile},
		{"origin", emulator.ZoneOrigin},
		{"service", emulator.ZoneService},
		{"journal", t.gatewayFile(index, "journal")},
		{"listen", address},
	} {
		fmt.Fprintf(&section, "%s = %q\n", setting[0], setting[1])
	}
	fmt.Fprintf(&section, "[[dns.key]]\nname = %q\nsecret_file = %q\n", updateKeyName, keyFile)
	return section.String(), nil
}
