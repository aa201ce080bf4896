package instance

// crowded is the share of the memory from which services are held to equal shares.
const crowded = 0.5

// holdBytes counts bytes of bodies taken up for a service, or given back when n is
// negative.
func (b *Board) holdBytes(service uint64, n int64) {
	b.Bytes += n
	b.Bodies[service] += n
	if b.Bodies[service] == 0 {
		delete(b.Bodies, service)
	}
}

// hasMemory reports whether a service may take up n more bytes. While memory is
// crowded, a service gets its share of it among those that hold any, so that one
// cannot keep the others out.
func (b *Board) hasMemory(service uint64, n int64) bool {
	memory := b.Settings.Memory
	if b.Bytes+n > memory {
		return false
	}
	if len(b.Services) < 2 || float64(b.Bytes+n) <= crowded*float64(memory) {
		return true
	}
	holders := len(b.Bodies)
	if b.Bodies[service] == 0 {
		holders++
	}
	// Room is left for one more service than hold any now.
	return b.Bodies[service]+n <= memory/int64(holders+1)
}
