package model

import (
	"crypto/sha256"
	"encoding/hex"
	"testing"

	"fawnplank/internal/lab/scenario"
)

// TestGoldenRuns compares the SHA-256 hashes of whole results files at several sizes with stored ones. A run of a
// scenario always produces the same bytes, so a different hash means that a decision, the model or the file format
// changed.
func TestGoldenRuns(t *testing.T) {
	for _, run := range []struct {
		name, file string
		over       []string
		want       string
	}{
		{"calm", "calm", nil, "e4fa44d9d5c96cff7269974405de4b62b6a9bec3f17cbbbc03fdd18e0ecea615"},
		{"one backend hangs", "one-hangs", nil, "8688bfdd413410d026b616e0d8468267c72bfdf0abb0194a7b772bcc305c2391"},
		{"the counter is unavailable for a minute", "counter-minute", nil,
			"d93c8274beb3fd8ee40aaba3e162299ba795ba522524bc4699f4d1e6baad3155"},
		{"many gateways restart at once", "fleet-herd", nil,
			"c794efd240f306894952f063371ce067f47b34fec181d33cf4d8c68ddf1122e3"},
		{"few gateways restart at once", "fleet-herd", []string{"gateways.count=12", "load.entry_points=6", "seed=5"},
			"a29bb44b828c1a74c041d13f399b665b2509755901a81f09a4f7512644246ec0"},
		{"a zone fails", "fleet-zone", []string{"duration=20s"},
			"437c5a4ce75bb40a815de8d0a85e0e3ccf2f42e9f72f5b3446b6ed06f4060f43"},
		{"mass restart", "mass-restart", []string{"duration=20s"},
			"cc4f1ab7bd31eed90c64ee02fe6cc79d48bff2e1751c11f0fcbe06aa5e661ed3"},
	} {
		t.Run(run.name, func(t *testing.T) {
			t.Parallel()
			s, err := scenario.Load("../../../lab/scenarios/"+run.file+".toml", run.over...)
			if err != nil {
				t.Fatal(err)
			}
			result, err := Run(s)
			if err != nil {
				t.Fatal(err)
			}
			result.Scenario, result.Description = "", "" // the hash excludes the descriptive texts
			text, err := result.Bytes()
			if err != nil {
				t.Fatal(err)
			}
			sum := sha256.Sum256(text)
			if got := hex.EncodeToString(sum[:]); got != run.want {
				t.Errorf("%d events, %d submissions: hash\n%s, want\n%s", result.Events, result.Total.Submitted, got, run.want)
			}
		})
	}
}
