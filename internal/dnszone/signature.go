package dnszone

// FudgeSeconds is the permitted difference between the clock of the sender and the clock of this host. RFC 8945,
// section 10, recommends 300 s. A signature is valid from FudgeSeconds before until FudgeSeconds after the time at
// which it was made.
const FudgeSeconds = 300

// Signature holds the fields of an update's TSIG record (RFC 8945) by which replays are recognized. It is stored as
// part of a Change.
type Signature struct {
	KeyName           string `json:"key"`    // in canonical form
	TimeSignedSeconds int64  `json:"signed"` // unix seconds
	MAC               string `json:"mac"`    // in hexadecimal
}
