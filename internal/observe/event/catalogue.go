package event

import (
	"maps"
	"slices"

	"github.com/phuslu/log"
)

// Catalogue returns all defined event numbers in ascending order.
func Catalogue() []Number {
	return slices.Sorted(maps.Keys(names))
}

// warnings lists the events that may require action by an operator.
var warnings = []Number{
	NodeNotReady, SettingsRefused, ListenerFailed, QueryIncomplete, SearcherEjected, LinkSilent,
	PoisonSuspected, PoisonQuarantined, PlatformDown, PlatformThrottled, PlatformUnsure, VMListStale,
	ConfigRefused, ConfigUnsure, PeerSuspected, PeerDead, PeerRefused, WriteUnknown, HealthChanged,
	CanaryFailed, OperatorRefused, RequestFailed, KeyRefused, QuotaExceeded, EntryUnreadable, LeaseLost, ResponseAborted, ResponseInvalid,
}

// severity returns the log level of an event.
func severity(n Number) log.Level {
	switch {
	case n == InvariantBroken:
		return log.ErrorLevel
	case slices.Contains(warnings, n):
		return log.WarnLevel
	}
	return log.InfoLevel
}
