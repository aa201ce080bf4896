package instance

// crowded is the share of the memory from which services are held to equal shares.
const crowded = 0.5

// holdBytes counts bytes of bodies taken up for a service, or given back when n is
// negative.
func (b *EngineState) holdBytes(service uint64, n int64) {
	b.BodyBytes += n
	b.BodyBytesByService[service] += n
	if b.BodyBytesByService[service] == 0 {
		delete(b.BodyBytesByService, service)
	}
}

// hasMemory reports whether a service may take up n more bytes. While memory is
// crowded, a service gets its share of it among those that hold any, so that one
// cannot keep the others out.
func (b *EngineState) hasMemory(service uint64, n int64) bool {
	memory := b.Settings.MemoryLimit
	if b.BodyBytes+n > memory {
		return false
	}
	if len(b.Services) < 2 || float64(b.BodyBytes+n) <= crowded*float64(memory) {
		return true
	}
	holders := len(b.BodyBytesByService)
	if b.BodyBytesByService[service] == 0 {
		holders++
	}
	// Room is left for one more service than hold any now.
	return b.BodyBytesByService[service]+n <= memory/int64(holders+1)
}
