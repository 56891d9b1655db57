package event

import (
	"maps"
	"slices"

	"github.com/phuslu/log"
)

// Catalogue returns every event number in order.
func Catalogue() []Number {
	return slices.Sorted(maps.Keys(names))
}

// warnings are the events that an operator should look at.
var warnings = []Number{
	NodeNotReady, SettingsRefused, ListenerFailed, QueryIncomplete, SearcherEjected, LinkSilent,
	PoisonSuspected, PoisonQuarantined, PlatformDown, PlatformThrottled, PlatformUnsure, VMListStale,
	ConfigRefused, ConfigUnsure, PeerSuspected, PeerDead, PeerRefused, WriteUnknown, HealthChanged,
	CanaryFailed, OperatorRefused, RequestFailed, EntryUnreadable, LeaseLost,
}

// level is the severity that an event is logged with.
func level(n Number) log.Level {
	switch {
	case n == InvariantBroken:
		return log.ErrorLevel
	case slices.Contains(warnings, n):
		return log.WarnLevel
	}
	return log.InfoLevel
}
