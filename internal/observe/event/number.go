package event

// Event numbers, in ranges of one hundred by area. A number is never reused.
const (
	NodeStarted     Number = 100
	NodeReady       Number = 101
	NodeNotReady    Number = 102
	NodeDraining    Number = 103
	NodeStopped     Number = 104
	SettingsRefused Number = 105
	ListenerFailed  Number = 106
	InvariantBroken Number = 107
	SettingsChanged Number = 108
	ClientRefused   Number = 109

	QueryIncomplete Number = 200
	QueryRestarted  Number = 201
	AnswerDropped   Number = 202
	QueryRefused    Number = 203
	BudgetSpent     Number = 204
	RequestServed   Number = 205
	RequestFailed   Number = 206
	KeyRefused      Number = 207
	QuotaExceeded   Number = 208

	SearcherFound     Number = 300
	SearcherGone      Number = 301
	SearcherDraining  Number = 302
	SearcherReturned  Number = 303
	SearcherEjected   Number = 304
	LinkSilent        Number = 305
	LinkLost          Number = 306
	LinkRefused       Number = 307
	PoisonSuspected   Number = 308
	PoisonQuarantined Number = 309
	LimitLowered      Number = 310
	ContractChanged   Number = 311
	VersionAppeared   Number = 312
	VersionRetired    Number = 313
	SearcherLimited   Number = 314
	SearcherUnlimited Number = 315
	LimitUnreadable   Number = 316
	SearcherWaiting   Number = 317
	WaitUnreadable    Number = 318
	PoisonHeard       Number = 319
	PoisonCleared     Number = 320
	PoisonEnded       Number = 321
	SearcherLost      Number = 322
	EntryOutdated     Number = 323
	ResponseAborted   Number = 324
	ResponseInvalid   Number = 325
	DomainEvacuated   Number = 326
	DomainReturned    Number = 327

	PlatformDown      Number = 400
	PlatformBack      Number = 401
	PlatformThrottled Number = 402
	PlatformUnsure    Number = 403
	VMListStale       Number = 404
	HistoryLost       Number = 405
	EntryUnreadable   Number = 406
	LeaseLost         Number = 407
	VMsCounted        Number = 408
	RelayChanged      Number = 409
	RelayLost         Number = 410
	SharingFailed     Number = 411
	SnapshotTaken     Number = 412
	CopyOutdated      Number = 413
	CopyCurrent       Number = 414
	StoreRestored     Number = 415
	HandoverFailed    Number = 416
	QuotaCoordinator  Number = 420
	QuotaCallFailed   Number = 421

	ConfigAdopted  Number = 500
	ConfigRefused  Number = 501
	ConfigAccepted Number = 502
	ConfigConflict Number = 503
	ConfigUnsure   Number = 504
	ConfigFromPeer Number = 505
	WatcherStarted Number = 506
	WatcherStopped Number = 507

	PeerJoined    Number = 600
	PeerSuspected Number = 601
	PeerRefuted   Number = 602
	PeerDead      Number = 603
	PeerLeft      Number = 604
	PeerRefused   Number = 605

	WriteClaimed  Number = 700
	WriteRepeated Number = 701
	WriteRefused  Number = 702
	WriteUnknown  Number = 703
	WriteRecorded Number = 704
	BucketDeleted Number = 705

	HealthChanged Number = 800
	CanaryFailed  Number = 801

	OperatorChanged Number = 900
	OperatorRefused Number = 901
)

// names maps each number to its name in snake case.
var names = map[Number]string{
	NodeStarted: "node_started", NodeReady: "node_ready", NodeNotReady: "node_not_ready",
	NodeDraining: "node_draining", NodeStopped: "node_stopped", SettingsRefused: "settings_refused",
	ListenerFailed: "listener_failed", InvariantBroken: "invariant_broken", SettingsChanged: "settings_changed", ClientRefused: "client_refused",

	QueryIncomplete: "query_incomplete", QueryRestarted: "query_restarted",
	AnswerDropped: "answer_dropped", QueryRefused: "query_refused", BudgetSpent: "budget_spent",
	RequestServed: "request_served", RequestFailed: "request_failed",
	KeyRefused: "key_refused", QuotaExceeded: "quota_exceeded",

	SearcherFound: "searcher_found", SearcherGone: "searcher_gone", SearcherDraining: "searcher_draining",
	SearcherReturned: "searcher_returned", SearcherEjected: "searcher_ejected", LinkSilent: "link_silent",
	LinkLost: "link_lost", LinkRefused: "link_refused", PoisonSuspected: "poison_suspected",
	PoisonQuarantined: "poison_quarantined", LimitLowered: "limit_lowered",
	ContractChanged: "contract_changed", VersionAppeared: "version_appeared", VersionRetired: "version_retired",

	PlatformDown: "platform_down", PlatformBack: "platform_back", PlatformThrottled: "platform_throttled",
	PlatformUnsure: "platform_unsure", VMListStale: "vm_list_stale", HistoryLost: "history_lost",
	EntryUnreadable: "entry_unreadable", LeaseLost: "lease_lost", VMsCounted: "vms_counted",
	RelayChanged: "relay_changed", RelayLost: "relay_lost", SharingFailed: "sharing_failed", SnapshotTaken: "snapshot_taken",
	SearcherLimited: "searcher_limited", SearcherUnlimited: "searcher_unlimited", LimitUnreadable: "limit_unreadable",
	SearcherWaiting: "searcher_waiting", WaitUnreadable: "wait_unreadable",
	PoisonHeard: "poison_heard", PoisonCleared: "poison_cleared", PoisonEnded: "poison_ended", SearcherLost: "searcher_lost", EntryOutdated: "entry_outdated", ResponseAborted: "response_aborted", ResponseInvalid: "response_invalid",
	DomainEvacuated: "domain_evacuated", DomainReturned: "domain_returned",
	CopyOutdated: "copy_outdated", CopyCurrent: "copy_current", StoreRestored: "store_restored", HandoverFailed: "handover_failed",
	QuotaCoordinator: "quota_coordinator", QuotaCallFailed: "quota_call_failed",

	ConfigAdopted: "config_adopted", ConfigRefused: "config_refused", ConfigAccepted: "config_accepted",
	ConfigConflict: "config_conflict", ConfigUnsure: "config_unsure", ConfigFromPeer: "config_from_peer",
	WatcherStarted: "watcher_started", WatcherStopped: "watcher_stopped",

	PeerJoined: "peer_joined", PeerSuspected: "peer_suspected", PeerRefuted: "peer_refuted",
	PeerDead: "peer_dead", PeerLeft: "peer_left", PeerRefused: "peer_refused",

	WriteClaimed: "write_claimed", WriteRepeated: "write_repeated", WriteRefused: "write_refused",
	WriteUnknown: "write_unknown", WriteRecorded: "write_recorded", BucketDeleted: "bucket_deleted",

	HealthChanged: "health_changed", CanaryFailed: "canary_failed",

	OperatorChanged: "operator_changed", OperatorRefused: "operator_refused",
}

// Name returns the name of n in snake case, or "unknown" if n is not defined.
func (n Number) Name() string {
	if s, ok := names[n]; ok {
		return s
	}
	return "unknown"
}
