package instance

// fairShareThreshold is the share of the memory from which services are held to equal shares.
const fairShareThreshold = 0.5

// addBodyBytes counts bytes of bodies taken up for a service, or given back when n is
// negative.
func (st *EngineState) addBodyBytes(service uint64, n int64) {
	st.BodyBytes += n
	st.BodyBytesByService[service] += n
	if st.BodyBytesByService[service] == 0 {
		delete(st.BodyBytesByService, service)
	}
}

// hasMemory reports whether a service may take up n more bytes. While memory is
// crowded, a service gets its share of it among those that hold any, so that one
// cannot keep the others out.
func (st *EngineState) hasMemory(service uint64, n int64) bool {
	memory := st.Settings.MemoryLimit
	if st.BodyBytes+n > memory {
		return false
	}
	if len(st.Services) < 2 || float64(st.BodyBytes+n) <= fairShareThreshold*float64(memory) {
		return true
	}
	holders := len(st.BodyBytesByService)
	if st.BodyBytesByService[service] == 0 {
		holders++
	}
	// Room is left for one more service than hold any now.
	return st.BodyBytesByService[service]+n <= memory/int64(holders+1)
}
