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
	classes       [classCount]classQueue[T]
	countByCaller map[string]int // number of items of each caller, over all classes
	total         int
}

// classQueue holds the items of one class, by caller.
type classQueue[T comparable] struct {
	turnOrder     []string // callers with items; the first one is served next
	itemsByCaller map[string][]T
	total         int
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
	return f.countByCaller[caller]
}

func (f *fairQueue[T]) push(class structs.Class, caller string, item T) {
	q := f.queueOf(class)
	if q.itemsByCaller == nil {
		q.itemsByCaller = map[string][]T{}
	}
	if len(q.itemsByCaller[caller]) == 0 {
		q.turnOrder = append(q.turnOrder, caller)
	}
	q.itemsByCaller[caller] = append(q.itemsByCaller[caller], item)
	q.total++
	f.count(caller, 1)
}

// count adds n to the number of items of a caller and of the whole queue.
func (f *fairQueue[T]) count(caller string, n int) {
	if f.countByCaller == nil {
		f.countByCaller = map[string]int{}
	}
	f.total += n
	f.countByCaller[caller] += n
	if f.countByCaller[caller] == 0 {
		delete(f.countByCaller, caller)
	}
}

// peek returns the item that pop would return, without removing it.
func (f *fairQueue[T]) peek() (T, bool) {
	for i := range f.classes {
		if q := &f.classes[i]; q.total > 0 {
			return q.itemsByCaller[q.turnOrder[0]][0], true
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
			item := q.itemsByCaller[caller][0]
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
	i := slices.Index(q.itemsByCaller[caller], item)
	if i < 0 {
		return false
	}
	f.removeAt(q, caller, i)
	return true
}

// removeAt removes item i of a caller. With the caller's last item it also
// removes the caller from the turn order.
func (f *fairQueue[T]) removeAt(q *classQueue[T], caller string, i int) {
	q.itemsByCaller[caller] = slices.Delete(q.itemsByCaller[caller], i, i+1)
	if len(q.itemsByCaller[caller]) == 0 {
		delete(q.itemsByCaller, caller)
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
	ownWaiting := len(q.itemsByCaller[caller])
	for name, items := range q.itemsByCaller {
		if name == caller {
			ahead += ownWaiting
		} else {
			ahead += min(len(items), ownWaiting+1)
		}
	}
	return ahead
}

// selectVictim returns the item to drop for a new item of the given class and
// caller. Among the classes that are less urgent and have items, it chooses the
// least urgent one, and returns the newest item of the caller with the most
// items in it. If there is no such class, it returns the newest item of the
// caller with the most items in the new item's own class, but only if that
// caller has at least two more items there than the new item's caller.
func (f *fairQueue[T]) selectVictim(class structs.Class, caller string) (T, bool) {
	for i := classCount - 1; i > max(int(class), 0); i-- {
		if item, _, ok := f.classes[i].newestOfLongestQueue(); ok {
			return item, true
		}
	}
	q := f.queueOf(class)
	item, length, ok := q.newestOfLongestQueue()
	return item, ok && length > len(q.itemsByCaller[caller])+1
}

// newestOfLongestQueue returns the newest item of the caller with the most
// items, and the number of that caller's items.
func (q *classQueue[T]) newestOfLongestQueue() (item T, length int, ok bool) {
	for _, caller := range q.turnOrder {
		if items := q.itemsByCaller[caller]; len(items) > length {
			item, length, ok = items[len(items)-1], len(items), true
		}
	}
	return item, length, ok
}
