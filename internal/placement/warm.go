package placement

import "container/list"

// warmObjects tracks which objects a server handled recently, as far as this entry VM sent them. A server keeps a
// limited number of objects; beyond that the least recently used one is assumed to be cold again.
type warmObjects struct {
	capacity int
	order    *list.List // front: most recently used; values are uint64
	elements map[uint64]*list.Element
}

func newWarmObjects(capacity int) *warmObjects {
	return &warmObjects{capacity: capacity, order: list.New(), elements: make(map[uint64]*list.Element)}
}

// contains reports whether the object is assumed to be warm.
func (w *warmObjects) contains(object uint64) bool { return w.elements[object] != nil }

// isEmpty reports whether the server handled no object.
func (w *warmObjects) isEmpty() bool { return w.order.Len() == 0 }

// touch records that the server handles the object.
func (w *warmObjects) touch(object uint64) {
	if element := w.elements[object]; element != nil {
		w.order.MoveToFront(element)
		return
	}
	w.elements[object] = w.order.PushFront(object)
	if w.order.Len() <= w.capacity {
		return
	}
	oldest := w.order.Back()
	w.order.Remove(oldest)
	delete(w.elements, oldest.Value.(uint64))
}

// remove removes one object.
func (w *warmObjects) remove(object uint64) {
	if element := w.elements[object]; element != nil {
		w.order.Remove(element)
		delete(w.elements, object)
	}
}

// clear removes all objects.
func (w *warmObjects) clear() {
	w.order.Init()
	clear(w.elements)
}
