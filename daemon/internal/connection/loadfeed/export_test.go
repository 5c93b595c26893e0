package loadfeed

// Following returns the number of hosts that are followed.
func (r *Reader) Following() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return len(r.following)
}
