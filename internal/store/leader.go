package store

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"

	"github.com/hashicorp/raft"

	"fawnplank/internal/store/kv"
)

// maxErrorBytes bounds how much of the leader's answer is read and quoted in an error.
const maxErrorBytes = 64 << 10

// isLeader reports whether this replica considers itself the leader. Another leader may already have been elected;
// see confirmLeadership.
func (s *Store) isLeader() bool { return s.raft.State() == raft.Leader }

// leaderAPI returns the leader's ID and the address of its API, or ErrNoLeader. The leader may be this
// replica.
func (s *Store) leaderAPI() (id, address string, err error) {
	_, leader := s.raft.LeaderWithID()
	id = string(leader)
	address = s.apiAddress(id)
	if id == "" || address == "" {
		return "", "", ErrNoLeader
	}
	return id, address, nil
}

// ReadFromLeader reads a key through the leader. The read is linearizable: it reflects every write that was committed
// before the call. The error is ErrNoLeader if no leader is known, and a *StatusError if the leader answers with
// an unexpected status.
func (s *Store) ReadFromLeader(key string) (kv.Entry, bool, error) {
	err := s.confirmLeadership()
	if err == nil {
		entry, ok := s.ReadLocal(key)
		return entry, ok, nil
	}
	if !errors.Is(err, errNotLeader) {
		return kv.Entry{}, false, err
	}
	leader, address, err := s.leaderAPI()
	if err != nil || leader == s.options.Self.ID {
		return kv.Entry{}, false, ErrNoLeader
	}
	return s.readThroughLeaderAPI(address, key)
}

// readThroughLeaderAPI reads a key through the leader's API at an address.
func (s *Store) readThroughLeaderAPI(address, key string) (entry kv.Entry, ok bool, err error) {
	ctx, cancel := context.WithTimeout(context.Background(), quorumTimeout)
	defer cancel()
	response, err := s.requestLeader(ctx, http.MethodGet, address, KeyPath(key), nil)
	if err != nil {
		return kv.Entry{}, false, err
	}
	defer closeBody(response)
	switch response.StatusCode {
	case http.StatusNotFound:
		return kv.Entry{}, false, nil
	case http.StatusOK:
		err = json.NewDecoder(response.Body).Decode(&entry)
		return entry, err == nil, err
	default:
		return kv.Entry{}, false, newStatusError(response)
	}
}

// Edit commits all edits or none. If another replica is the leader, Edit sends the edits to it. If a key does not
// have the expected index, the error is a kv.ConflictError. The error is ErrNoLeader if no leader is known. After any
// other error the edits may still be committed. On the leader, Edit does not call Options.Validate, because its
// callers write only values that they have produced themselves.
func (s *Store) Edit(edits []kv.Edit) error {
	if s.isLeader() {
		_, err := s.apply(edits)
		return err
	}
	_, address, err := s.leaderAPI()
	if err != nil {
		return err
	}
	return s.editThroughLeaderAPI(address, edits)
}

// editThroughLeaderAPI commits edits through the leader's API at an address.
func (s *Store) editThroughLeaderAPI(address string, edits []kv.Edit) error {
	body, err := json.Marshal(edits)
	if err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(context.Background(), forwardTimeout)
	defer cancel()
	response, err := s.requestLeader(ctx, http.MethodPost, address, editsPath, body)
	if err != nil {
		return err
	}
	defer closeBody(response)
	answer, err := io.ReadAll(io.LimitReader(response.Body, maxErrorBytes))
	switch {
	case err != nil:
		return err
	case response.StatusCode == http.StatusConflict:
		return kv.ParseConflict(parseErrorMessage(answer))
	case response.StatusCode != http.StatusOK:
		return fmt.Errorf("%w: %s", newStatusError(response), answer)
	default:
		return nil
	}
}

// parseErrorMessage returns the message in an answer of writeError, or an empty string for any other answer.
func parseErrorMessage(answer []byte) string {
	var message struct {
		Error string `json:"error"`
	}
	_ = json.Unmarshal(answer, &message) // the message stays empty on an error
	return message.Error
}

// apply commits edits on the leader and returns their index in the log. If the error is nil, a quorum has stored the
// edits. On any other replica the error is errNotLeader. After an error other than errNotLeader, a kv.ConflictError or
// kv.ErrInvalid, the edits may still be committed.
func (s *Store) apply(edits []kv.Edit) (kv.Index, error) {
	command, err := kv.EncodeCommand(edits)
	if err != nil {
		return 0, err
	}
	future := s.raft.Apply(command, quorumTimeout)
	if err := future.Error(); err != nil {
		return 0, translateNotLeader(err)
	}
	result := future.Response().(applyResult)
	return result.index, result.err
}

// confirmLeadership returns once a quorum has confirmed that this replica is still the leader and every command that
// was committed before the call is applied to the state. A local read after it is therefore linearizable. On a replica
// that is not the leader, the error is errNotLeader.
func (s *Store) confirmLeadership() error {
	if err := s.raft.VerifyLeader().Error(); err != nil {
		return errNotLeader
	}
	return s.raft.Barrier(quorumTimeout).Error()
}
