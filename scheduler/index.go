package scheduler

// freeCPUIndex groups nodes into buckets by their free processors and links the
// nodes of each bucket in a circular list, so that a placement visits a bounded
// number of nodes instead of all of them.
type freeCPUIndex struct {
	head   [bucketCount]int32 // by bucket: the node at which the next visit starts
	next   []int32
	prev   []int32
	bucket []int32
}

const (
	bucketMilli = 1000 // one bucket for each free core
	bucketCount = 129  // nodes with 128 or more free cores share the last bucket
	noNode      = -1
)

func bucketOf(cpuMilli int64) int32 {
	return int32(min(max(cpuMilli, 0)/bucketMilli, bucketCount-1))
}

func newFreeCPUIndex(nodes []Node) *freeCPUIndex {
	n := len(nodes)
	links := make([]int32, 3*n)
	x := &freeCPUIndex{next: links[:n], prev: links[n : 2*n], bucket: links[2*n:]}
	for b := range x.head {
		x.head[b] = noNode
	}
	for i := range nodes {
		x.insert(int32(i), bucketOf(nodes[i].FreeCapacity.CPUMilli))
	}
	return x
}

// insert adds a node before the head of a bucket, so that it is visited last.
func (x *freeCPUIndex) insert(node, bucket int32) {
	x.bucket[node] = bucket
	head := x.head[bucket]
	if head == noNode {
		x.head[bucket], x.next[node], x.prev[node] = node, node, node
		return
	}
	last := x.prev[head]
	x.next[last], x.prev[node] = node, last
	x.next[node], x.prev[head] = head, node
}

func (x *freeCPUIndex) remove(node int32) {
	bucket := x.bucket[node]
	if x.next[node] == node {
		x.head[bucket] = noNode
		return
	}
	x.next[x.prev[node]] = x.next[node]
	x.prev[x.next[node]] = x.prev[node]
	if x.head[bucket] == node {
		x.head[bucket] = x.next[node]
	}
}

// move puts a node into the bucket that matches its present free processors.
func (x *freeCPUIndex) move(node int32, cpuMilli int64) {
	to := bucketOf(cpuMilli)
	if to == x.bucket[node] {
		return
	}
	x.remove(node)
	x.insert(node, to)
}

// ascend visits nodes from the smallest bucket that may fit cpuMilli up to the
// largest, until visit returns false.
func (x *freeCPUIndex) ascend(cpuMilli int64, visit func(node int32) bool) {
	for b := bucketOf(cpuMilli); b < bucketCount; b++ {
		if !x.visitBucket(b, visit) {
			return
		}
	}
}

// descend visits nodes from the largest bucket down to the smallest that may
// fit cpuMilli, until visit returns false.
func (x *freeCPUIndex) descend(cpuMilli int64, visit func(node int32) bool) {
	for b := int32(bucketCount - 1); b >= bucketOf(cpuMilli); b-- {
		if !x.visitBucket(b, visit) {
			return
		}
	}
}

// visitBucket visits the nodes of a bucket and reports whether it visited all
// of them; it stops when visit returns false. The next visit of the bucket then
// starts at the node where this one stopped, so that searches with a bounded
// number of visits do not always visit the same nodes.
func (x *freeCPUIndex) visitBucket(b int32, visit func(node int32) bool) bool {
	first := x.head[b]
	if first == noNode {
		return true
	}
	for node := first; ; {
		if !visit(node) {
			x.head[b] = node
			return false
		}
		if node = x.next[node]; node == first {
			return true
		}
	}
}
