package main

// The components that this package names in log entries (logging.Component). docs/runbook.md lists their messages.
const (
	adminComponent     = "admin"
	configComponent    = "config"
	frontendComponent  = "frontend"
	limitsComponent    = "limits"
	storeComponent     = "store"
	warmStartComponent = "warmstart"
)
