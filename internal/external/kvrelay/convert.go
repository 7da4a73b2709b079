package kvrelay

import (
	"errors"

	"github.com/nutmegway/nutmegway/internal/base/kind"
	"github.com/nutmegway/nutmegway/internal/external/kv"
	"github.com/nutmegway/nutmegway/internal/external/kvrelay/kvrelaypb"
)

func entryToPB(e kv.Entry) *kvrelaypb.Entry {
	return &kvrelaypb.Entry{
		CreateRevision: e.CreateRevision, Key: e.Key, Lease: int64(e.Lease), ModRevision: e.ModRevision, Value: e.Value,
	}
}

func entryFromPB(e *kvrelaypb.Entry) kv.Entry {
	return kv.Entry{
		CreateRevision: e.GetCreateRevision(), Key: e.GetKey(), Lease: kv.LeaseID(e.GetLease()),
		ModRevision: e.GetModRevision(), Value: e.GetValue(),
	}
}

func entriesToPB(entries []kv.Entry) []*kvrelaypb.Entry {
	var list []*kvrelaypb.Entry
	for _, e := range entries {
		list = append(list, entryToPB(e))
	}
	return list
}

func entriesFromPB(list []*kvrelaypb.Entry) []kv.Entry {
	var entries []kv.Entry
	for _, e := range list {
		entries = append(entries, entryFromPB(e))
	}
	return entries
}

func txnToPB(txn kv.Txn) *kvrelaypb.CommitRequest {
	request := &kvrelaypb.CommitRequest{}
	for _, c := range txn.Conditions {
		request.Conditions = append(request.Conditions, &kvrelaypb.Condition{Key: c.Key, ModRevision: c.ModRevision})
	}
	for _, w := range txn.Writes {
		request.Writes = append(request.Writes, &kvrelaypb.Write{
			Delete: w.Delete, Key: w.Key, Lease: int64(w.Lease), Value: w.Value,
		})
	}
	return request
}

func txnFromPB(request *kvrelaypb.CommitRequest) kv.Txn {
	var txn kv.Txn
	for _, c := range request.GetConditions() {
		txn.Conditions = append(txn.Conditions, kv.Condition{Key: c.GetKey(), ModRevision: c.GetModRevision()})
	}
	for _, w := range request.GetWrites() {
		txn.Writes = append(txn.Writes, kv.Write{
			Delete: w.GetDelete(), Key: w.GetKey(), Lease: kv.LeaseID(w.GetLease()), Value: w.GetValue(),
		})
	}
	return txn
}

// failureToPB converts an error to a message with its kind and text. The cause is
// dropped.
func failureToPB(err error) *kvrelaypb.Failure {
	if err == nil {
		return nil
	}
	e := kind.Of(err)
	return &kvrelaypb.Failure{Kind: string(e.Kind), Message: e.Message}
}

func failureFromPB(f *kvrelaypb.Failure) error {
	if f == nil {
		return nil
	}
	return kind.New(kind.Kind(f.GetKind()), "%s", f.GetMessage())
}

func watchReplyToPB(batch kv.Batch, err error) *kvrelaypb.WatchReply {
	if errors.Is(err, kv.ErrCompacted) {
		return &kvrelaypb.WatchReply{Compacted: true}
	}
	reply := &kvrelaypb.WatchReply{Failure: failureToPB(err), Revision: batch.Revision}
	for _, e := range batch.Events {
		reply.Events = append(reply.Events, &kvrelaypb.Event{Delete: e.Delete, Entry: entryToPB(e.Entry)})
	}
	return reply
}

func batchFromPB(reply *kvrelaypb.WatchReply) kv.Batch {
	batch := kv.Batch{Revision: reply.GetRevision()}
	for _, e := range reply.GetEvents() {
		batch.Events = append(batch.Events, kv.Event{Delete: e.GetDelete(), Entry: entryFromPB(e.GetEntry())})
	}
	return batch
}
