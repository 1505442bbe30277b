package billingservice

import "testing"

func TestExportState_Transitions(t *testing.T) {
	for name, test := range map[string]struct{ got, want exportState }{
		"numbers records": {
			got:  exportState{Next: 4, Acked: 3}.numberRecords(2),
			want: exportState{Next: 6, Acked: 3},
		},
		"fixes all that is left": {
			got:  exportState{Next: 6, Acked: 3}.fixNextBatch(),
			want: exportState{Next: 6, Acked: 3, FirstSequence: 4, LastSequence: 5},
		},
		"fixes no more than one batch": {
			got:  exportState{Next: 1000, Acked: 3}.fixNextBatch(),
			want: exportState{Next: 1000, Acked: 3, FirstSequence: 4, LastSequence: 3 + maxBatchRecords},
		},
		"acknowledges the batch": {
			got:  exportState{Next: 9, Acked: 3, FirstSequence: 4, LastSequence: 5}.acknowledgeBatch(),
			want: exportState{Next: 9, Acked: 5},
		},
		"resumes after the receiver": {
			got:  exportState{Next: 6, Acked: 3, FirstSequence: 4, LastSequence: 5}.resumeAfter(12),
			want: exportState{Next: 13, Acked: 12},
		},
		"resumes after its own records": {
			got:  exportState{Next: 6, Acked: 3}.resumeAfter(3),
			want: exportState{Next: 6, Acked: 5},
		},
	} {
		t.Run(name, func(t *testing.T) {
			if test.got != test.want {
				t.Errorf("%+v, want %+v", test.got, test.want)
			}
		})
	}
}

// TestExportState_IsExportedBeyond refuses a resume only below what is known to be exported.
func TestExportState_IsExportedBeyond(t *testing.T) {
	state := exportState{Next: 6, Acked: 3}
	for sequence, want := range map[uint64]bool{0: true, 2: true, 3: false, 4: false, 9: false} {
		if got := state.isExportedBeyond(sequence); got != want {
			t.Errorf("beyond %d: %v", sequence, got)
		}
	}
}
