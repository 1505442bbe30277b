package config

// Keys of the platform's configuration that several files of this package use. The platform defines the key names;
// docs/glossary.md maps them to the terms of the code.
const (
	keyName           = "name" // of an instance, a class or a plan
	keyListen         = "listen"
	keyDiscovery      = "discovery" // top level: an address; settings: how the list arrives
	keyCounter        = "counter"
	keyManagement     = "mgmt" // absent from knownKeys, so that Migrate drops it
	keyKnownEndpoints = "known"
	keyLimits         = "limits"
	keySockets        = "sockets"
	keySettings       = "settings"

	keyInstanceIndex  = "me"
	keyInstances      = "replicas-of-me"
	keyZone           = "my-zone"
	keyZones          = "zones"
	keyClasses        = "lanes"
	keyFallbackMode   = "silence"
	keyPlans          = "tariffs"
	keyConcurrency    = "parallel"
	keyPermissions    = "permissions"
	keyHealthChecks   = "probes"
	keyRequests       = "family-info" // settings that apply to all requests
	keyCancellation   = "cancelling"  //nolint:misspell // a key of the platform's settings, in British spelling
	keySlowStartShare = "cold-share"
	keyDrainGrace     = "stop-sending-within-ms"
	keyMaxAttempts    = "send-cap"
)
