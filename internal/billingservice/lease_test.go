package billingservice

import "testing"

// TestMaintenanceLease_IsHeldByOther checks that another incarnation may acquire the lease once it has expired on every
// clock, and immediately after a release.
func TestMaintenanceLease_IsHeldByOther(t *testing.T) {
	const expiryNanos, clockSkewNanos = int64(1000), int64(20)
	lease := maintenanceLease{}.acquire("a", expiryNanos)
	for name, test := range map[string]struct {
		lease maintenanceLease
		self  string
		now   int64
		want  bool
	}{
		"running":                    {lease, "b", expiryNanos - 1, true},
		"expired on one clock":       {lease, "b", expiryNanos + clockSkewNanos - 1, true},
		"expired on all clocks":      {lease, "b", expiryNanos + clockSkewNanos, false},
		"held by the caller":         {lease, "a", expiryNanos - 1, false},
		"released":                   {lease.release(), "b", expiryNanos - 1, false},
		"released and acquired by c": {lease.release().acquire("c", expiryNanos), "b", expiryNanos - 1, true},
		"released and acquired by b": {lease.release().acquire("b", expiryNanos), "b", expiryNanos - 1, false},
	} {
		t.Run(name, func(t *testing.T) {
			if got := test.lease.isHeldByOther(test.self, test.now, clockSkewNanos); got != test.want {
				t.Errorf("%+v at %d for %s: %v", test.lease, test.now, test.self, got)
			}
		})
	}
}
