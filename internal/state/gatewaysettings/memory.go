package gatewaysettings

const (
	// mb is the bytes of a MB.
	mb = 1 << 20
	// softLimitRatio is the share of the process's memory that is set as the Go runtime's soft
	// memory limit. Stacks and kernel buffers need the rest.
	softLimitRatio = 0.6
	// programMB is the memory in MB that the pages of the program itself take, which bounds the
	// limit of small processes.
	programMB = 24
	// minSoftLimitRatio keeps the limit of the smallest processes above what an idle gateway
	// uses, 4 MB.
	minSoftLimitRatio = 0.25
	// responseRatio and responseSoftRatio are the shares of the process's memory and of the soft
	// limit, of which the smaller holds, that responses of searchers, the store and other VMs
	// may take while they are read.
	responseRatio     = 0.125
	responseSoftRatio = 0.2
	// callerRatio is the share of the soft limit that callers may hold: connections, heads,
	// bodies, and responses that they have not read.
	callerRatio = 0.45
	// callerConnShare is the share of that which connections may take.
	callerConnShare = 0.6
	// ConnBytes is the memory in bytes that a connection of a client takes without a request.
	ConnBytes = 20 << 10
)

// SoftMemoryLimit returns the Go runtime's soft memory limit in bytes.
func (s Settings) SoftMemoryLimit() int64 {
	m := float64(s.MemoryMB)
	return int64(max(minSoftLimitRatio*m, min(softLimitRatio*m, m-programMB)) * mb)
}

// ResponseMemory returns the memory in bytes that responses of searchers, the store and other
// VMs may take while they are read.
func (s Settings) ResponseMemory() int64 {
	return int64(min(responseRatio*float64(s.MemoryMB)*mb, responseSoftRatio*float64(s.SoftMemoryLimit())))
}

// CallerMemory returns the memory in bytes that all callers together may hold.
func (s Settings) CallerMemory() int64 { return int64(callerRatio * float64(s.SoftMemoryLimit())) }

// connsInMemory returns the number of connections of clients for which there is memory.
func (s Settings) connsInMemory() int {
	return int(callerConnShare * float64(s.CallerMemory()) / ConnBytes)
}
