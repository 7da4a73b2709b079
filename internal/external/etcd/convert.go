package etcd

import (
	"math"

	"github.com/nutmegway/nutmegway/internal/external/etcd/etcdserverpb"
	"github.com/nutmegway/nutmegway/internal/external/etcd/mvccpb"
	"github.com/nutmegway/nutmegway/internal/external/kv"
)

// rangeStart returns the first key of the range of keys that begin with prefix; a
// single zero byte stands for the smallest key.
func rangeStart(prefix string) []byte {
	if prefix == "" {
		return []byte{0}
	}
	return []byte(prefix)
}

// rangeEnd returns the exclusive end of the range of keys that begin with prefix;
// a single zero byte stands for the end of all keys.
func rangeEnd(prefix string) []byte {
	end := []byte(prefix)
	for i := len(end) - 1; i >= 0; i-- {
		if end[i] < math.MaxUint8 {
			end[i]++
			return end[:i+1]
		}
	}
	return []byte{0}
}

func entryFromPB(pair *mvccpb.KeyValue) kv.Entry {
	return kv.Entry{
		CreateRevision: pair.GetCreateRevision(),
		Key:            string(pair.GetKey()),
		Lease:          kv.LeaseID(pair.GetLease()),
		ModRevision:    pair.GetModRevision(),
		Value:          pair.GetValue(),
	}
}

func txnToPB(txn kv.Txn) *etcdserverpb.TxnRequest {
	request := &etcdserverpb.TxnRequest{}
	for _, condition := range txn.Conditions {
		request.Compare = append(request.Compare, &etcdserverpb.Compare{
			Key:         []byte(condition.Key),
			Result:      etcdserverpb.Compare_EQUAL,
			Target:      etcdserverpb.Compare_MOD,
			TargetUnion: &etcdserverpb.Compare_ModRevision{ModRevision: condition.ModRevision},
		})
		request.Failure = append(request.Failure, &etcdserverpb.RequestOp{
			Request: &etcdserverpb.RequestOp_RequestRange{
				RequestRange: &etcdserverpb.RangeRequest{Key: []byte(condition.Key)},
			},
		})
	}
	for _, write := range txn.Writes {
		request.Success = append(request.Success, writeToPB(write))
	}
	return request
}

func writeToPB(write kv.Write) *etcdserverpb.RequestOp {
	if write.Delete {
		return &etcdserverpb.RequestOp{Request: &etcdserverpb.RequestOp_RequestDeleteRange{
			RequestDeleteRange: &etcdserverpb.DeleteRangeRequest{Key: []byte(write.Key)},
		}}
	}
	return &etcdserverpb.RequestOp{Request: &etcdserverpb.RequestOp_RequestPut{
		RequestPut: &etcdserverpb.PutRequest{
			Key:   []byte(write.Key),
			Lease: int64(write.Lease),
			Value: write.Value,
		},
	}}
}

func txnResultFromPB(txn kv.Txn, reply *etcdserverpb.TxnResponse) kv.TxnResult {
	result := kv.TxnResult{Committed: reply.GetSucceeded(), Revision: reply.GetHeader().GetRevision()}
	if result.Committed {
		return result
	}
	for i, condition := range txn.Conditions {
		entry := kv.Entry{Key: condition.Key}
		if i < len(reply.GetResponses()) {
			if pairs := reply.GetResponses()[i].GetResponseRange().GetKvs(); len(pairs) > 0 {
				entry = entryFromPB(pairs[0])
			}
		}
		result.Current = append(result.Current, entry)
	}
	return result
}

func batchFromPB(reply *etcdserverpb.WatchResponse) kv.Batch {
	if len(reply.GetEvents()) == 0 {
		return kv.Batch{Revision: reply.GetHeader().GetRevision()}
	}
	batch := kv.Batch{Events: make([]kv.Event, len(reply.GetEvents()))}
	for i, event := range reply.GetEvents() {
		batch.Events[i] = kv.Event{
			Delete: event.GetType() == mvccpb.Event_DELETE,
			Entry:  entryFromPB(event.GetKv()),
		}
		// The header revision of a reply with events may be ahead of the
		// events that the watch has delivered so far.
		batch.Revision = max(batch.Revision, event.GetKv().GetModRevision())
	}
	return batch
}
