package billingservice

import "testing"

// TestMaintenanceLease_IsHeldByOther allows another incarnation to acquire the lease once it has expired on
// every clock, and at once after a release.
func TestMaintenanceLease_IsHeldByOther(t *testing.T) {
	const end, skew = int64(1000), int64(20)
	lease := maintenanceLease{}.acquire("a", end)
	for name, test := range map[string]struct {
		lease maintenanceLease
		self  string
		now   int64
		want  bool
	}{
		"running":                    {lease, "b", end - 1, true},
		"over on one clock":          {lease, "b", end + skew - 1, true},
		"over on all clocks":         {lease, "b", end + skew, false},
		"its own":                    {lease, "a", end - 1, false},
		"released":                   {lease.release(), "b", end - 1, false},
		"acquired again by another":  {lease.release().acquire("c", end), "b", end - 1, true},
		"acquired again by b itself": {lease.release().acquire("b", end), "b", end - 1, false},
	} {
		t.Run(name, func(t *testing.T) {
			if got := test.lease.isHeldByOther(test.self, test.now, skew); got != test.want {
				t.Errorf("%+v at %d for %s: %v", test.lease, test.now, test.self, got)
			}
		})
	}
}
