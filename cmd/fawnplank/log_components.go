package main

// Components in the log entries of this package (logging.Component). docs/runbook.md lists their messages.
const (
	adminComponent     = "admin"
	configComponent    = "config"
	frontendComponent  = "frontend"
	limitsComponent    = "limits"
	storeComponent     = "store"
	warmStartComponent = "warmstart"
)
