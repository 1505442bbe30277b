package policy

import "testing"

// TestSettings_AssumeNonIdempotent checks that every class that is sent becomes non-idempotent, and that the settings
// that the result was made from, which a reload compares with, stay as they were.
func TestSettings_AssumeNonIdempotent(t *testing.T) {
	settings := Settings{Classes: []ClassSettings{
		{Idempotency: Idempotent},
		{Idempotency: IdempotentWithKey, DedupScope: DedupByZone},
		{CheckOnly: true},
	}}
	assumed := settings.AssumeNonIdempotent()
	for id, want := range []Idempotency{NonIdempotent, NonIdempotent, Idempotent} {
		if got := assumed.Classes[id].Idempotency; got != want {
			t.Errorf("class %d is %v, want %v", id, got, want)
		}
	}
	if settings.Classes[0].Idempotency != Idempotent {
		t.Error("the original settings have changed")
	}
}
