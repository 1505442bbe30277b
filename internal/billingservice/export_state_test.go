package billingservice

import "testing"

func TestExportState_Transitions(t *testing.T) {
	for name, test := range map[string]struct{ got, want exportState }{
		"numbers records": {
			got:  exportState{NextSequence: 4, LastAcknowledged: 3}.numberRecords(2),
			want: exportState{NextSequence: 6, LastAcknowledged: 3},
		},
		"starts a batch of all remaining records": {
			got:  exportState{NextSequence: 6, LastAcknowledged: 3}.startNextBatch(),
			want: exportState{NextSequence: 6, LastAcknowledged: 3, FirstSequence: 4, LastSequence: 5},
		},
		"starts a batch of at most maxBatchRecords": {
			got:  exportState{NextSequence: 1000, LastAcknowledged: 3}.startNextBatch(),
			want: exportState{NextSequence: 1000, LastAcknowledged: 3, FirstSequence: 4, LastSequence: 3 + maxBatchRecords},
		},
		"acknowledges the batch": {
			got:  exportState{NextSequence: 9, LastAcknowledged: 3, FirstSequence: 4, LastSequence: 5}.acknowledgeBatch(),
			want: exportState{NextSequence: 9, LastAcknowledged: 5},
		},
		"resumes after the given sequence number": {
			got:  exportState{NextSequence: 6, LastAcknowledged: 3, FirstSequence: 4, LastSequence: 5}.resumeAfter(12),
			want: exportState{NextSequence: 13, LastAcknowledged: 12},
		},
		"resumes after the store's own records": {
			got:  exportState{NextSequence: 6, LastAcknowledged: 3}.resumeAfter(3),
			want: exportState{NextSequence: 6, LastAcknowledged: 5},
		},
	} {
		t.Run(name, func(t *testing.T) {
			if test.got != test.want {
				t.Errorf("%+v, want %+v", test.got, test.want)
			}
		})
	}
}

// TestExportState_HasExportedAfter checks the condition under which Resume rejects a sequence number: a later record is
// known to be exported.
func TestExportState_HasExportedAfter(t *testing.T) {
	state := exportState{NextSequence: 6, LastAcknowledged: 3}
	for sequence, want := range map[uint64]bool{0: true, 2: true, 3: false, 4: false, 9: false} {
		if got := state.hasExportedAfter(sequence); got != want {
			t.Errorf("exported after %d: got %v", sequence, got)
		}
	}
}
