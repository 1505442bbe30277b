package main

import (
	"slices"
	"testing"
	"time"

	"fawnplank/internal/config"
)

// TestRestartKeys_ListChangedKeys guards against a misleading log entry: for every change that needs a restart, the
// same four keys were logged, whichever key had changed.
func TestRestartKeys_ListChangedKeys(t *testing.T) {
	for want, change := range map[string]func(c *config.Config){
		"name":               func(c *config.Config) { c.InstanceName = "other" },
		"listen":             func(c *config.Config) { c.Listen = "127.0.0.1:1" },
		"mgmt":               func(c *config.Config) { c.ManagementAddress = "127.0.0.1:2" },
		"seed":               func(c *config.Config) { c.Seed++ },
		"limits.memory_mb":   func(c *config.Config) { c.MemoryLimitBytes++ },
		"limits.sockets":     func(c *config.Config) { c.MaxSockets++ },
		"conn-idle-ms":       func(c *config.Config) { c.IdleTimeout += time.Second },
		"connect-timeout-ms": func(c *config.Config) { c.ConnectTimeout += time.Second },
	} {
		current, updated := &config.Config{}, &config.Config{}
		change(updated)
		if got := restartKeys(current, updated); !slices.Equal(got, []string{want}) {
			t.Errorf("%v, want %s", got, want)
		}
	}
	updated := &config.Config{Counter: "127.0.0.1:3", UnknownKeys: []string{"x"}}
	if got := restartKeys(&config.Config{}, updated); len(got) > 0 {
		t.Errorf("keys for a change that takes effect at once: %v", got)
	}
}
