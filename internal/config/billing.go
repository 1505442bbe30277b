package config

import (
	"net/url"
	"os"
	"time"

	"fawnplank/internal/billing"
	"fawnplank/internal/tomlfile"
)

// Billing is the section for plan changes, reservations and exported usage, which need the replicated store.
type Billing struct {
	Enabled          bool     `toml:"on"`
	WindowLength     Duration `toml:"window"`        // length of the windows by which usage is billed
	PlanChangeNotice Duration `toml:"lead"`          // from a change becoming known until it takes effect
	ClockSkew        Duration `toml:"clock_skew"`    // the most that two instances' clocks may differ
	MaxLease         Duration `toml:"lease"`         // the longest lease that a reservation may have
	ExportDelay      Duration `toml:"late"`          // from the end of a window until its export
	ReportInterval   Duration `toml:"report_every"`  // between two reports of an instance's usage
	ExportFolder     string   `toml:"export_folder"` // receives the records; empty for none
	ExportURL        string   `toml:"export_url"`    // receives the records by http or https; empty for none
}

const (
	defaultWindow = Duration(time.Hour)
	// defaultChangeNotice is twice the 5 s that a write may wait for the election of a leader.
	defaultChangeNotice = Duration(10 * time.Second)
	// defaultClockSkew is well above the difference between clocks that NTP keeps.
	defaultClockSkew   = Duration(time.Second)
	defaultMaxLease    = Duration(10 * time.Minute)
	defaultExportDelay = Duration(time.Minute)
	// defaultReportInterval bounds what is lost: usage of up to this time, if an instance is killed.
	defaultReportInterval = Duration(time.Second)
)

func defaultBilling() Billing {
	return Billing{
		WindowLength:     defaultWindow,
		PlanChangeNotice: defaultChangeNotice,
		ClockSkew:        defaultClockSkew,
		MaxLease:         defaultMaxLease,
		ExportDelay:      defaultExportDelay,
		ReportInterval:   defaultReportInterval,
	}
}

// Settings returns the accounts' settings, except for the plans.
func (b Billing) Settings() billing.Settings {
	return billing.Settings{
		WindowNanos:           int64(b.WindowLength),
		PlanChangeNoticeNanos: int64(b.PlanChangeNotice),
		ClockSkewNanos:        int64(b.ClockSkew),
		MaxLeaseNanos:         int64(b.MaxLease),
		ExportDelayNanos:      int64(b.ExportDelay),
	}
}

func (b *Billing) check(file *tomlfile.File) error {
	const day = 24 * time.Hour
	for _, d := range []struct {
		key      string
		value    Duration
		min, max time.Duration
	}{
		{key: "window", value: b.WindowLength, min: time.Second, max: 31 * day},
		{key: "lead", value: b.PlanChangeNotice, min: 100 * time.Millisecond, max: day},
		{key: "clock_skew", value: b.ClockSkew, min: time.Millisecond, max: time.Minute},
		{key: "lease", value: b.MaxLease, min: 100 * time.Millisecond, max: day},
		{key: "late", value: b.ExportDelay, min: 100 * time.Millisecond, max: day},
		{key: "report_every", value: b.ReportInterval, min: 10 * time.Millisecond, max: time.Minute},
	} {
		if value := time.Duration(d.value); value < d.min || value > d.max {
			return file.KeyErrorf("billing."+d.key, "is not from %v to %v", d.min, d.max)
		}
	}
	return b.checkExport(file)
}

// checkExport checks that at most one place receives the records, and that this place is usable.
func (b *Billing) checkExport(file *tomlfile.File) error {
	if b.ExportFolder != "" && b.ExportURL != "" {
		return file.KeyErrorf("billing.export_url", "stands beside export_folder; one of them receives")
	}
	if b.ExportURL != "" && !isHTTPAddress(b.ExportURL) {
		return file.KeyErrorf("billing.export_url", "is %q, which is no http or https address", b.ExportURL)
	}
	if b.ExportFolder != "" && !isFolder(b.ExportFolder) {
		return file.KeyErrorf("billing.export_folder", "is %q, which is no folder", b.ExportFolder)
	}
	return nil
}

func isHTTPAddress(text string) bool {
	u, err := url.Parse(text)
	return err == nil && u.Host != "" && (u.Scheme == "http" || u.Scheme == "https")
}

func isFolder(path string) bool {
	info, err := os.Stat(path)
	return err == nil && info.IsDir()
}
