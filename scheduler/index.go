package scheduler

// roomIndex groups nodes by their free processors, so that a placement visits
// a bounded number of nodes instead of all of them.
type roomIndex struct {
	buckets  [][]int32
	position []int32
	bucket   []int32
}

const (
	bucketMilli = 1000 // one core to a bucket
	bucketCount = 129  // larger rooms share the last bucket
)

func bucketOf(cpuMilli int64) int32 {
	return int32(min(max(cpuMilli, 0)/bucketMilli, bucketCount-1))
}

func newRoomIndex(nodes []Node) *roomIndex {
	x := &roomIndex{
		buckets:  make([][]int32, bucketCount),
		position: make([]int32, len(nodes)),
		bucket:   make([]int32, len(nodes)),
	}
	for i := range nodes {
		x.insert(int32(i), bucketOf(nodes[i].Room.CPUMilli))
	}
	return x
}

func (x *roomIndex) insert(node, bucket int32) {
	x.position[node] = int32(len(x.buckets[bucket]))
	x.bucket[node] = bucket
	x.buckets[bucket] = append(x.buckets[bucket], node)
}

// move puts a node into the bucket of its present room.
func (x *roomIndex) move(node int32, cpuMilli int64) {
	to := bucketOf(cpuMilli)
	from := x.bucket[node]
	if to == from {
		return
	}
	list := x.buckets[from]
	last := list[len(list)-1]
	list[x.position[node]] = last
	x.position[last] = x.position[node]
	x.buckets[from] = list[:len(list)-1]
	x.insert(node, to)
}

// ascend visits nodes from the least room that may hold cpuMilli to the most,
// until visit returns false. The start within a bucket turns with offset, so
// that bounded visits do not always see the same nodes.
func (x *roomIndex) ascend(cpuMilli int64, offset int, visit func(node int32) bool) {
	for b := int(bucketOf(cpuMilli)); b < bucketCount; b++ {
		if !visitFrom(x.buckets[b], offset, visit) {
			return
		}
	}
}

// descend visits nodes from the most room downwards.
func (x *roomIndex) descend(cpuMilli int64, offset int, visit func(node int32) bool) {
	for b := bucketCount - 1; b >= int(bucketOf(cpuMilli)); b-- {
		if !visitFrom(x.buckets[b], offset, visit) {
			return
		}
	}
}

func visitFrom(list []int32, offset int, visit func(node int32) bool) bool {
	n := len(list)
	for i := range n {
		if !visit(list[(i+offset)%n]) {
			return false
		}
	}
	return true
}
