package netconn

import "time"

// TakeExpired returns the offsets of the writes that were withdrawn as they expired, since the last call.
func (q *SendQueue) TakeExpired() []int64 {
	q.mu.Lock()
	defer q.mu.Unlock()
	expired := q.expired
	q.expired = nil
	return expired
}

// withdrawExpired withdraws the writes that have expired, but for one that has begun to leave. The lock is held.
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

// TakeLateWrites returns how many writes began to leave after they had expired, since the last call.
func (q *SendQueue) TakeLateWrites() int {
	q.mu.Lock()
	defer q.mu.Unlock()
	late := q.lateWrites
	q.lateWrites = 0
	return late
}

// countLate counts the expired writes among the next n bytes, which have left. The lock is held.
func (q *SendQueue) countLate(n int) {
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
			q.lateWrites++
			q.notifyExpired()
		}
	}
}
