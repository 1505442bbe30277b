package config

import (
	"net/url"
	"os"
	"time"

	"fawnplank/internal/billing"
	"fawnplank/internal/tomlfile"
)

// Billing is the section of the operator file for plan changes, reservations and the export of usage. All three need
// the replicated store.
type Billing struct {
	Enabled          bool     `toml:"on"`
	WindowLength     Duration `toml:"window"`        // length of a billing window
	PlanChangeNotice Duration `toml:"lead"`          // shortest time from the scheduling of a plan change to its effect
	ClockSkew        Duration `toml:"clock_skew"`    // largest difference between the clocks of two instances
	MaxLease         Duration `toml:"lease"`         // longest lease of a reservation
	ExportDelay      Duration `toml:"late"`          // time between the end of a window and its export
	ReportInterval   Duration `toml:"report_every"`  // interval between two usage reports of an instance
	ExportFolder     string   `toml:"export_folder"` // directory for the exported records; empty for none
	ExportURL        string   `toml:"export_url"`    // http or https URL for the exported records; empty for none
}

const (
	defaultWindowLength = Duration(time.Hour)
	// defaultPlanChangeNotice is twice the 5 s that a write may wait for the election of a leader.
	defaultPlanChangeNotice = Duration(10 * time.Second)
	// defaultClockSkew is well above the clock difference between hosts that NTP synchronizes.
	defaultClockSkew   = Duration(time.Second)
	defaultMaxLease    = Duration(10 * time.Minute)
	defaultExportDelay = Duration(time.Minute)
	// defaultReportInterval bounds the loss when an instance is killed: the usage of at most this time.
	defaultReportInterval = Duration(time.Second)
)

func defaultBilling() Billing {
	return Billing{
		WindowLength:     defaultWindowLength,
		PlanChangeNotice: defaultPlanChangeNotice,
		ClockSkew:        defaultClockSkew,
		MaxLease:         defaultMaxLease,
		ExportDelay:      defaultExportDelay,
		ReportInterval:   defaultReportInterval,
	}
}

// Settings returns the settings of the billing accounts. It leaves out the plans, which the caller adds.
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

// checkExport checks that at most one destination for the records is set, and that it is a directory or an http
// or https address.
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
