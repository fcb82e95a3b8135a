package peerkeeper

import (
	"time"

	"github.com/currantwood/currantwood"
)

// retainedRecord is a record of the directory and when it was read.
type retainedRecord struct {
	addedAt time.Time
	record  currantwood.KeyedRecord
}

// RetainRecords keeps records of the directory for peers. changed are the
// records in the offset range [from, next) that say something new. If from
// isn't the end of the previous range in the same era of the store, the records kept so far are discarded.
// So are those up to one that is too long for a digest: gateways that lack it read the
// directory themselves.
func (k *Keeper) RetainRecords(now time.Time, era currantwood.StoreEra, from, next currantwood.Offset, changed []currantwood.KeyedRecord) {
	if from != k.nextOffset || k.nextOffset == 0 || era != k.recordsEra {
		k.firstOffset, k.recordsEra, k.records = from, era, nil
	}
	k.nextOffset = next
	for _, r := range changed {
		if len(r.Value) > maxDigestRecordBytes {
			k.firstOffset, k.records = r.Offset+1, nil
			continue
		}
		k.records = append(k.records, retainedRecord{addedAt: now, record: r})
	}
	drop := 0
	for drop < len(k.records) && now.Sub(k.records[drop].addedAt) > recordRetention {
		k.firstOffset = k.records[drop].record.Offset + 1
		drop++
	}
	k.records = k.records[drop:]
}

// RecordsSince returns the records from offset known of an era on, at most
// maxDigestRecords and maxDigestRecordBytes, and the offset that follows them. It returns false if known
// is 0, if the era is another one, if the records from known on are no longer kept, or if known is ahead of
// what this gateway has read: then the gateway that asks has to read the
// directory itself.
func (k *Keeper) RecordsSince(era currantwood.StoreEra, known currantwood.Offset) (records []currantwood.KeyedRecord, next currantwood.Offset, ok bool) {
	if k.nextOffset == 0 || known == 0 || era != k.recordsEra || known < k.firstOffset || known > k.nextOffset {
		return nil, 0, false
	}
	bytes := 0
	for _, kept := range k.records {
		if kept.record.Offset < known {
			continue
		}
		bytes += len(kept.record.Value)
		if len(records) == maxDigestRecords || bytes > maxDigestRecordBytes {
			return records, kept.record.Offset, true
		}
		records = append(records, kept.record)
	}
	return records, k.nextOffset, true
}

// KnownOffset returns the offset up to which a gateway reported to know the
// directory; 0 if it doesn't know it.
func (k *Keeper) KnownOffset(id currantwood.VMID) currantwood.Offset {
	if entry := k.peers[id]; entry != nil {
		return entry.state.NextOffset
	}
	return 0
}
