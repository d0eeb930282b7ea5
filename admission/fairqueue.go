package admission

import (
	"slices"

	"bergamotstile/structs"
)

// classCount is the number of classes of urgency.
const classCount = int(structs.ClassLow) + 1

// fairQueue holds a queue of items for each class and caller. It serves the
// most urgent class first, and the callers of a class in turn.
type fairQueue[T comparable] struct {
	classes [classCount]classQueue[T]
	callers map[string]int // number of items of each caller, over all classes
	total   int
}

// classQueue holds the items of one class, by caller.
type classQueue[T comparable] struct {
	turnOrder []string // callers with items; the first one is served next
	callers   map[string][]T
	total     int
}

// queueOf returns the queue of a class. A class out of range counts as the
// nearest valid one.
func (f *fairQueue[T]) queueOf(c structs.Class) *classQueue[T] {
	return &f.classes[min(max(int(c), 0), classCount-1)]
}

func (f *fairQueue[T]) len() int {
	return f.total
}

func (f *fairQueue[T]) callerLen(caller string) int {
	return f.callers[caller]
}

func (f *fairQueue[T]) push(class structs.Class, caller string, item T) {
	q := f.queueOf(class)
	if q.callers == nil {
		q.callers = map[string][]T{}
	}
	if len(q.callers[caller]) == 0 {
		q.turnOrder = append(q.turnOrder, caller)
	}
	q.callers[caller] = append(q.callers[caller], item)
	q.total++
	f.count(caller, 1)
}

// count adds n to the number of items of a caller and of the whole queue.
func (f *fairQueue[T]) count(caller string, n int) {
	if f.callers == nil {
		f.callers = map[string]int{}
	}
	f.total += n
	f.callers[caller] += n
	if f.callers[caller] == 0 {
		delete(f.callers, caller)
	}
}

// peek returns the item that pop would return, without removing it.
func (f *fairQueue[T]) peek() (T, bool) {
	for i := range f.classes {
		if q := &f.classes[i]; q.total > 0 {
			return q.callers[q.turnOrder[0]][0], true
		}
	}
	var zero T
	return zero, false
}

// pop removes and returns the next item, and moves its caller to the end of the
// turn order.
func (f *fairQueue[T]) pop() (T, bool) {
	for i := range f.classes {
		if q := &f.classes[i]; q.total > 0 {
			caller := q.turnOrder[0]
			item := q.callers[caller][0]
			q.turnOrder = append(q.turnOrder[1:], caller)
			f.removeAt(q, caller, 0)
			return item, true
		}
	}
	var zero T
	return zero, false
}

// remove removes an item and reports whether it was in the queue.
func (f *fairQueue[T]) remove(class structs.Class, caller string, item T) bool {
	q := f.queueOf(class)
	i := slices.Index(q.callers[caller], item)
	if i < 0 {
		return false
	}
	f.removeAt(q, caller, i)
	return true
}

// removeAt removes item i of a caller. With the caller's last item it also
// removes the caller from the turn order.
func (f *fairQueue[T]) removeAt(q *classQueue[T], caller string, i int) {
	q.callers[caller] = slices.Delete(q.callers[caller], i, i+1)
	if len(q.callers[caller]) == 0 {
		delete(q.callers, caller)
		turn := slices.Index(q.turnOrder, caller)
		q.turnOrder = slices.Delete(q.turnOrder, turn, turn+1)
	}
	q.total--
	f.count(caller, -1)
}

// countAhead returns how many items would be served before a new one: all items
// of more urgent classes, the items that the caller already has in the class,
// and from each other caller of the class at most one item more than that.
func (f *fairQueue[T]) countAhead(class structs.Class, caller string) int {
	ahead := 0
	for i := range min(max(int(class), 0), classCount-1) {
		ahead += f.classes[i].total
	}
	q := f.queueOf(class)
	ownWaiting := len(q.callers[caller])
	for name, items := range q.callers {
		if name == caller {
			ahead += ownWaiting
		} else {
			ahead += min(len(items), ownWaiting+1)
		}
	}
	return ahead
}

// selectVictim returns the item to drop for a new one: the newest item of the
// longest caller's queue in the least urgent class that is less urgent than the
// new item. If all such classes are empty, it returns the newest item of the
// longest caller's queue in the item's own class, if that queue has at least
// two more items than the new item's caller.
func (f *fairQueue[T]) selectVictim(class structs.Class, caller string) (T, bool) {
	for i := classCount - 1; i > max(int(class), 0); i-- {
		if item, _, ok := f.classes[i].newestOfLongest(); ok {
			return item, true
		}
	}
	q := f.queueOf(class)
	item, length, ok := q.newestOfLongest()
	return item, ok && length > len(q.callers[caller])+1
}

// newestOfLongest returns the newest item of the caller with the most items,
// and the number of that caller's items.
func (q *classQueue[T]) newestOfLongest() (item T, length int, ok bool) {
	for _, caller := range q.turnOrder {
		if items := q.callers[caller]; len(items) > length {
			item, length, ok = items[len(items)-1], len(items), true
		}
	}
	return item, length, ok
}
