package instance

// fairShareThreshold is the share of the memory limit in use above which each service is
// limited to its share.
const fairShareThreshold = 0.5

// addBodyBytes adds n, which may be negative, to the bytes of bodies that a service
// holds in memory.
func (st *EngineState) addBodyBytes(service uint64, n int64) {
	st.BodyBytes += n
	st.BodyBytesByService[service] += n
	if st.BodyBytesByService[service] == 0 {
		delete(st.BodyBytesByService, service)
	}
}

// hasMemory reports whether a service may hold n more bytes. Above fairShareThreshold
// each service is limited to an equal share, so that one service can't use up the memory
// that the others need.
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
	// One share stays free for a service that holds nothing yet.
	return st.BodyBytesByService[service]+n <= memory/int64(holders+1)
}
