package netconn

import "time"

// TakeExpired returns the offsets of the writes that were withdrawn because they expired, and removes them from the
// record. They are not returned again.
func (q *SendQueue) TakeExpired() []int64 {
	q.mu.Lock()
	defer q.mu.Unlock()
	expired := q.expired
	q.expired = nil
	return expired
}

// withdrawExpired withdraws the writes that have expired, except one that is partially sent. The caller must hold the
// lock.
func (q *SendQueue) withdrawExpired() {
	var now time.Time
	for i := range q.writes {
		w := &q.writes[i]
		if w.expiresAt.IsZero() || w.withdrawn || w.start < q.sentBytes {
			continue
		}
		if now.IsZero() {
			now = q.now()
		}
		if !now.Before(w.expiresAt) {
			w.withdrawn = true
			q.expired = append(q.expired, w.start)
			q.notifyExpired()
		}
	}
}

func (q *SendQueue) notifyExpired() {
	if q.onExpired != nil {
		q.onExpired()
	}
}

// TakeLateWrites returns the number of writes that were sent late since the last call: their first byte was sent more
// than Options.LateAfter after their expiry.
func (q *SendQueue) TakeLateWrites() int {
	q.mu.Lock()
	defer q.mu.Unlock()
	late := q.lateWriteCount
	q.lateWriteCount = 0
	return late
}

// countLateWrites counts the late writes that begin within the next n bytes, which have been sent. The caller must hold
// the lock.
func (q *SendQueue) countLateWrites(n int) {
	var now time.Time
	for _, w := range q.writes {
		if w.start >= q.sentBytes+int64(n) {
			return
		}
		if w.expiresAt.IsZero() || w.withdrawn || w.start < q.sentBytes {
			continue
		}
		if now.IsZero() {
			now = q.now()
		}
		if now.After(w.expiresAt.Add(q.lateAfter)) {
			q.lateWriteCount++
			q.notifyExpired()
		}
	}
}
