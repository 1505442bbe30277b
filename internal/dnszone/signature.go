package dnszone

// FudgeSeconds is how far an updater's clock may differ from this host's (RFC 8945, 10 recommends 300 s). A
// signature is valid from that long before until that long after its time.
const FudgeSeconds = 300

// Signature is the TSIG of an update (RFC 8945). Replays are recognized by it. Its fields are stored.
type Signature struct {
	KeyName           string `json:"key"`    // in canonical form
	TimeSignedSeconds int64  `json:"signed"` // unix seconds
	MAC               string `json:"mac"`    // in hexadecimal
}
