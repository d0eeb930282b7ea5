package scheduler

// roomIndex groups nodes by their free processors in circular lists, so that a
// placement visits a bounded number of nodes instead of all of them.
type roomIndex struct {
	head   [bucketCount]int32 // where the next visit of a bucket starts
	next   []int32
	prev   []int32
	bucket []int32
}

const (
	bucketMilli = 1000 // one core to a bucket
	bucketCount = 129  // larger rooms share the last bucket
	noNode      = -1
)

func bucketOf(cpuMilli int64) int32 {
	return int32(min(max(cpuMilli, 0)/bucketMilli, bucketCount-1))
}

func newRoomIndex(nodes []Node) *roomIndex {
	n := len(nodes)
	links := make([]int32, 3*n)
	x := &roomIndex{next: links[:n], prev: links[n : 2*n], bucket: links[2*n:]}
	for b := range x.head {
		x.head[b] = noNode
	}
	for i := range nodes {
		x.insert(int32(i), bucketOf(nodes[i].Room.CPUMilli))
	}
	return x
}

// insert puts a node before the head of a bucket, so that it is visited last.
func (x *roomIndex) insert(node, bucket int32) {
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

func (x *roomIndex) remove(node int32) {
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

// move puts a node into the bucket of its present room.
func (x *roomIndex) move(node int32, cpuMilli int64) {
	to := bucketOf(cpuMilli)
	if to == x.bucket[node] {
		return
	}
	x.remove(node)
	x.insert(node, to)
}

// ascend visits nodes from the least room that may hold cpuMilli to the most,
// until visit returns false.
func (x *roomIndex) ascend(cpuMilli int64, visit func(node int32) bool) {
	for b := bucketOf(cpuMilli); b < bucketCount; b++ {
		if !x.visitBucket(b, visit) {
			return
		}
	}
}

// descend visits nodes from the most room downwards.
func (x *roomIndex) descend(cpuMilli int64, visit func(node int32) bool) {
	for b := int32(bucketCount - 1); b >= bucketOf(cpuMilli); b-- {
		if !x.visitBucket(b, visit) {
			return
		}
	}
}

// visitBucket stops when visit returns false. The next visit of the bucket
// then starts where this one stopped, so that bounded visits do not always see
// the same nodes.
func (x *roomIndex) visitBucket(b int32, visit func(node int32) bool) bool {
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
