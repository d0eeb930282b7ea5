package admission

import (
	"slices"

	"bergamotstile/structs"
)

const classes = int(structs.ClassLow) + 1

// fairQueue holds items in a queue for each caller. It serves the most urgent
// class first, and the callers of a class in turn.
type fairQueue[T comparable] struct {
	classes [classes]classQueue[T]
	callers map[string]int // items of each caller, over all classes
	total   int
}

type classQueue[T comparable] struct {
	turns   []string // callers with items, in the order of their next turn
	callers map[string][]T
	total   int
}

func (f *fairQueue[T]) class(c structs.Class) *classQueue[T] {
	return &f.classes[min(max(int(c), 0), classes-1)]
}

func (f *fairQueue[T]) len() int {
	return f.total
}

func (f *fairQueue[T]) callerLen(caller string) int {
	return f.callers[caller]
}

func (f *fairQueue[T]) push(class structs.Class, caller string, item T) {
	q := f.class(class)
	if q.callers == nil {
		q.callers = map[string][]T{}
	}
	if len(q.callers[caller]) == 0 {
		q.turns = append(q.turns, caller)
	}
	q.callers[caller] = append(q.callers[caller], item)
	q.total++
	f.count(caller, 1)
}

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

// peek returns the item that pop would return.
func (f *fairQueue[T]) peek() (T, bool) {
	for i := range f.classes {
		if q := &f.classes[i]; q.total > 0 {
			return q.callers[q.turns[0]][0], true
		}
	}
	var none T
	return none, false
}

// pop removes the next item and moves its caller to the end of the turns.
func (f *fairQueue[T]) pop() (T, bool) {
	for i := range f.classes {
		if q := &f.classes[i]; q.total > 0 {
			caller := q.turns[0]
			item := q.callers[caller][0]
			q.turns = append(q.turns[1:], caller)
			f.drop(q, caller, 0)
			return item, true
		}
	}
	var none T
	return none, false
}

// remove takes out one item and reports whether it was there.
func (f *fairQueue[T]) remove(class structs.Class, caller string, item T) bool {
	q := f.class(class)
	i := slices.Index(q.callers[caller], item)
	if i < 0 {
		return false
	}
	f.drop(q, caller, i)
	return true
}

// drop removes item i of a caller, and the caller's turn with its last item.
func (f *fairQueue[T]) drop(q *classQueue[T], caller string, i int) {
	q.callers[caller] = slices.Delete(q.callers[caller], i, i+1)
	if len(q.callers[caller]) == 0 {
		delete(q.callers, caller)
		t := slices.Index(q.turns, caller)
		q.turns = slices.Delete(q.turns, t, t+1)
	}
	q.total--
	f.count(caller, -1)
}

// ahead returns how many items would be served before a new one: all that are
// more urgent, and of each other caller of the class as many as the new
// item's own caller has, with the new one.
func (f *fairQueue[T]) ahead(class structs.Class, caller string) int {
	n := 0
	for i := range min(max(int(class), 0), classes-1) {
		n += f.classes[i].total
	}
	q := f.class(class)
	own := len(q.callers[caller])
	for name, items := range q.callers {
		if name == caller {
			n += own
		} else {
			n += min(len(items), own+1)
		}
	}
	return n
}

// victim returns the item to drop for a new one of a class and caller: the
// newest of the longest queue in the least urgent class below the new one's,
// or else of a caller in its class that has at least two more than its own.
func (f *fairQueue[T]) victim(class structs.Class, caller string) (T, bool) {
	for i := classes - 1; i > max(int(class), 0); i-- {
		if item, _, ok := f.classes[i].newestOfLongest(); ok {
			return item, true
		}
	}
	q := f.class(class)
	item, length, ok := q.newestOfLongest()
	return item, ok && length > len(q.callers[caller])+1
}

func (q *classQueue[T]) newestOfLongest() (item T, length int, ok bool) {
	for _, caller := range q.turns {
		if items := q.callers[caller]; len(items) > length {
			item, length, ok = items[len(items)-1], len(items), true
		}
	}
	return item, length, ok
}
