package loadshare

import "time"

// queue holds the newest items for receivers, each of which keeps the number up to which it was sent them. A receiver that
// is far behind misses the items that were dropped meanwhile.
type queue[T any] struct {
	perSecond int    // limit of add; 0: none
	length    int    // items that are kept at least; fewer than twice as many are
	first     uint64 // number of the first item
	list      []T
	second    time.Duration // when the current second began
	count     int           // items added in it
}

func (q *queue[T]) end() uint64 { return q.first + uint64(len(q.list)) }

// add returns false if there were perSecond items in this second.
func (q *queue[T]) add(now time.Duration, x T) bool {
	if now-q.second >= time.Second {
		q.second, q.count = now, 0
	}
	if q.perSecond > 0 && q.count >= q.perSecond {
		return false
	}
	q.count++
	q.list = append(q.list, x)
	if len(q.list) >= 2*q.length { // not at each item: the rest is moved
		over := len(q.list) - q.length
		q.first += uint64(over)
		q.list = append(q.list[:0], q.list[over:]...)
	}
	return true
}

// after returns at most limit items from a number on, and the number after them.
func (q *queue[T]) after(number uint64, limit int) ([]T, uint64) {
	number = max(number, q.first)
	from := q.list[number-q.first:]
	n := min(len(from), limit)
	return append([]T(nil), from[:n]...), number + uint64(n)
}
