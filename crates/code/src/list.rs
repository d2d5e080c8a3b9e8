//! The list of result codes, by range:
//!
//! - 0-9: general
//! - 10-29: settings and configuration
//! - 30-49: platform
//! - 50-59: process
//! - 60-79: operators' command line
//! - 200-229: packets and encapsulation
//! - 230-259: flow resolution
//! - 260-289: load
//! - 290-319: control traffic between balancers

use crate::Entry;

macro_rules! codes {
    ($($number:literal $name:ident $label:literal: $meaning:literal; $action:literal.)*) => {
        /// A numbered result code.
        #[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
        #[repr(u16)]
        pub enum Code {
            $(#[doc = $meaning] $name = $number,)*
        }

        /// All result codes, sorted by number.
        pub const TABLE: &[Entry] = &[
            $(Entry { code: Code::$name, meaning: $meaning, action: $action },)*
        ];

        impl Code {
            /// Returns the name of the code in logs, metrics and the table.
            ///
            /// ```
            /// assert_eq!(acacia_code::Code::Usage.label(), "usage");
            /// ```
            #[must_use]
            pub const fn label(self) -> &'static str {
                match self { $(Code::$name => $label,)* }
            }
        }
    };
}

codes! {
    0 Success "success": "The command succeeded."; "Nothing to do".
    1 Failure "failure": "A failure without a code of its own; the log line describes it."; "Read the log line".
    2 Usage "usage": "The command line is invalid."; "See --help".
    10 SettingsUnreadable "settings-unreadable": "The settings file can't be read."; "Check its path and permissions".
    11 SettingsInvalid "settings-invalid": "The settings contain one or more errors; each is listed."; "Correct each listed key".
    12 ConfigUnreadable "config-unreadable": "The configuration text can't be read."; "Check the path and the reported line".
    13 ConfigInvalid "config-invalid": "The configuration contains one or more errors; each is listed."; "Correct each listed key".
    14 ConfigKeyUnknown "config-key-unknown": "The configuration contains an unknown section or key."; "Check its spelling".
    15 ConfigKeyMissing "config-key-missing": "A required key is missing."; "Add the key".
    16 ConfigValueInvalid "config-value-invalid": "A value can't be parsed as the type that its key requires."; "Use a value of the expected form".
    17 ConfigRangeExceeded "config-range-exceeded": "A value or a count is out of range."; "Use a value within the limits".
    18 ConfigDuplicate "config-duplicate": "An item that must be unique is defined twice."; "Remove or rename one of the two".
    19 ConfigReference "config-reference": "A name refers to an item that the configuration doesn't define."; "Define the item or correct the name".
    20 ConfigTooLarge "config-too-large": "The configuration exceeds the maximum size of one value in the platform's store."; "Merge address prefixes, shorten names or split the deployment".
    21 DocumentUndecodable "document-undecodable": "The document in the platform's store can't be decoded."; "Use acaciactl from the newer release, or restore the key from the platform's backup".
    30 PlatformUnreachable "platform-unreachable": "The platform is unreachable; the call had no effect."; "Check the address, or wait for the platform to recover".
    31 PlatformTimeout "platform-timeout": "The platform did not answer a read before the timeout."; "Wait for the platform to recover".
    32 PlatformUnknown "platform-unknown": "The response to a write was lost; the write may have taken effect."; "Read the value back before writing again".
    33 PlatformStale "platform-stale": "The platform returned a state older than one it returned before."; "The state in force is not rolled back; report it to the platform's operators".
    34 PlatformTooLarge "platform-too-large": "The platform's store rejected a value as too large."; "Reduce the size of the value".
    35 PlatformLeaseGone "platform-lease-gone": "A lease expired or was revoked."; "Nothing unless the rate rises".
    36 PlatformLimited "platform-limited": "The rate limit on platform calls was reached; the call was not made."; "Retry after the reported time".
    37 PlatformBusy "platform-busy": "The platform rejected a call because it is overloaded; the call was not executed."; "Wait; compare the number of calls with the platform's rate limits".
    38 PlatformHistoryGone "platform-history-gone": "The store no longer holds the requested history; all data is read again."; "Nothing unless the rate rises".
    39 PlatformMalformed "platform-malformed": "A response from the platform can't be parsed."; "Check which service answers at the platform's address".
    40 PlatformUnsupported "platform-unsupported": "The platform does not support a call."; "Check that the settings name the right kind of platform".
    41 EntryMalformed "entry-malformed": "An entry in the store can't be parsed, or stands at a server's key and is of a service that no configuration has named; what was known of the server holds."; "Find out what wrote the entry named in the log line".
    42 ObjectiveAbsurd "objective-absurd": "A route's latency objective or priority is invalid; the route applies without it."; "Correct the route named in the log line".
    43 WarmupAbsurd "warmup-absurd": "A service's warm-up configuration for newly started servers is invalid; the service applies without a warm-up limit."; "Correct the service named in the log line".
    44 TablesUndecodable "tables-undecodable": "The bucket tables in the platform's store can't be decoded."; "Remove the key acaciatrack/tables; the balancers rewrite it from the tables in force".
    45 TablesLater "tables-later": "The bucket tables were written by a later version of the balancer."; "Finish updating the balancers, or remove the key acaciatrack/tables after a rollback".
    46 TablesInconsistent "tables-inconsistent": "The bucket tables in the platform's store are inconsistent."; "Remove the key acaciatrack/tables; the balancers rewrite it from the tables in force".
    47 TablesTooLarge "tables-too-large": "The configuration's bucket tables exceed the maximum size of one value in the platform's store; the configuration is not in force."; "Split the deployment, or shorten names".
    48 TablesNumbersUsed "tables-numbers-used": "All backend server numbers of a service's address have been used; new backend servers receive no traffic."; "Move the service to another address or port".
    49 TablesFamily "tables-family": "A service has an IPv6 address, which the balancers do not support."; "Use an IPv4 address".
    50 SocketFailed "socket-failed": "A socket can't be opened or bound."; "Check that the address belongs to this machine and the port is free".
    51 ServiceDied "service-died": "A service within the process terminated unexpectedly."; "Restart the process; report the preceding log line".
    52 Forced "forced": "A second signal terminated the process before its shutdown was complete."; "Expect to lose flows that had not been handed over".
    53 ServiceDuplicate "service-duplicate": "Two services in one process have the same name."; "Report it as a bug in how the program is assembled".
    54 ServiceMissing "service-missing": "A service depends on one that the process doesn't contain."; "Report it as a bug in how the program is assembled".
    55 ServiceCycle "service-cycle": "The services of a process have a circular dependency."; "Report it as a bug in how the program is assembled".
    56 ServiceType "service-type": "A service looked up by name has an unexpected type."; "Report it as a bug in how the program is assembled".
    57 ServiceStartFailed "service-start-failed": "A service of the process failed to start; the log line gives the reason."; "Correct the cause given in the log line and restart".
    58 PlatformAnswerTooLong "platform-answer-too-long": "A response from the platform is longer than the balancer reads; it reads the newest state in its place."; "Nothing unless the rate rises".
    60 ApplyConflict "apply-conflict": "Another operator's change was applied first; nothing was written."; "Review the difference shown, then apply again".
    61 ApplyUnknown "apply-unknown": "The platform does not answer, so it is unknown whether the change took effect."; "Run acaciactl history once the platform answers; look for the change id".
    63 WaitTimeout "wait-timeout": "The change was accepted, but not every balancer has confirmed that it is in force."; "Check the listed balancers".
    64 BalancerUnreachable "balancer-unreachable": "A balancer does not answer."; "Check the balancer and the network path to it".
    65 NothingInForce "nothing-in-force": "Neither the store nor any balancer has a configuration."; "Apply a first configuration, or check the addresses of the store and the balancers".
    66 ServerUnknown "server-unknown": "The configuration in force contains no backend server of that name."; "Check the name with acaciactl status".
    200 PacketTruncated "packet-truncated": "A packet is shorter than its headers or its stated length."; "Nothing unless the rate rises".
    201 PacketMalformed "packet-malformed": "A packet's header is inconsistent."; "Nothing unless the rate rises".
    202 PacketFragment "packet-fragment": "A fragment carries no ports, so its flow can't be looked up."; "Check the path MTU towards callers".
    203 PacketUnsupported "packet-unsupported": "A packet uses an unsupported transport protocol."; "Nothing unless the rate rises".
    204 PacketLooping "packet-looping": "A packet is already encapsulated."; "Look for a route that leads back to the balancers".
    205 EncapTruncated "encap-truncated": "An encapsulation header is truncated."; "Check the fabric's encapsulation".
    206 EncapUnknown "encap-unknown": "An encapsulation header has an unsupported version or field."; "Check the fabric's encapsulation".
    207 RedirectForged "redirect-forged": "A redirected packet has no valid authenticator."; "Check that all balancers hold the same key; otherwise trace the sender".
    208 RedirectHops "redirect-hops": "A packet was redirected through more balancers than any valid path contains."; "Compare the balancers' membership in acaciactl status".
    209 ServiceUnknown "service-unknown": "A packet is addressed to an address and port that belong to no service."; "Check the fabric's routes against the configuration".
    230 OpeningWithData "opening-with-data": "An opening packet carries data, which could be processed twice; it is dropped and the caller's transport retransmits without data."; "Nothing".
    231 OwnersUnreachable "owners-unreachable": "No balancer that knows the packet's flow is reachable."; "Compare the balancers' membership in acaciactl status".
    232 OwnersDisagree "owners-disagree": "Two balancers each consider the other the flow's owner; this lasts while a membership change propagates."; "Nothing unless it lasts for seconds".
    233 OwnerIncomplete "owner-incomplete": "The flow's owner has not yet taken over the pins of balancers that stopped responding."; "Look for balancers that are disconnected".
    234 NotOwner "not-owner": "A balancer that has just resumed or joined received a request meant for an owner."; "Nothing unless it lasts for seconds".
    235 FlowUnknown "flow-unknown": "A packet of an established flow has no pin, and its address previously belonged to another service."; "Nothing; the flow belongs to the removed service".
    236 FlowServerUnknown "flow-server-unknown": "The flow's server does not belong to the service."; "Nothing unless it lasts for seconds after a configuration change".
    237 ServerNone "server-none": "No backend server of the service accepts new flows."; "Check the service's backend servers".
    238 FlowUnsettled "flow-unsettled": "A new flow must wait until every balancer has learned of a change."; "Nothing unless it lasts for seconds".
    239 PortsReused "ports-reused": "A new flow reuses the ports of one that has just ended and waits until no balancer holds state for the old flow."; "Nothing".
    240 PinsFull "pins-full": "The pin table is full."; "Look for a flood; otherwise add balancers".
    241 FlowServerGone "flow-server-gone": "The flow's server was removed or has failed; the caller is notified."; "Nothing unless the server should be available".
    242 ServersBusy "servers-busy": "A new flow was rejected: no backend server of its service would answer in time, or the most urgent flows alone exceed the capacity of these servers."; "Compare the service's demand with its capacity; nothing for a short burst, add backend servers if it persists".
    243 ServersCold "servers-cold": "A new flow was rejected: all backend servers of its service have just started and can't take more load yet."; "Nothing unless it outlasts the warm-up time".
    244 LessUrgent "less-urgent": "A new flow was rejected: the demand of all data centres for its service exceeds the capacity of the backend servers, and higher-priority flows come first."; "Look which data centre's demand has risen; nothing for a short burst, add backend servers if it persists".
    260 LoadShareUsed "load-share-used": "A new flow was rejected: its class exceeds its share and no spare capacity can be borrowed."; "Compare the class's demand with its share; add backend servers if paying callers are rejected".
    261 LoadConnectionsUsed "load-connections-used": "A new flow was rejected: its class's share of the connections is in use."; "Raise the class's share, or add backend servers".
    262 LoadNoServer "load-no-server": "A new flow was rejected: its service has no backend server."; "Add a backend server to the service".
    263 ServerSilent "server-silent": "A backend server returns almost no responses while others do; it is temporarily ejected from the pool."; "Check the backend server".
    290 ControlTruncated "control-truncated": "A control frame is truncated."; "Trace the sender".
    291 ControlOversized "control-oversized": "A control frame exceeds the maximum length."; "Trace the sender".
    292 ControlForged "control-forged": "A control frame has no valid authenticator."; "Check that all balancers hold the same key; otherwise trace the sender".
    293 ControlUndecodable "control-undecodable": "An authenticated control frame can't be decoded."; "Check for balancers of different versions".
    294 ControlReplayed "control-replayed": "A control frame is a duplicate or older than one already received."; "Nothing unless the rate rises".
    295 ControlMisaddressed "control-misaddressed": "An authenticated control frame is addressed to another balancer."; "Compare the balancers' ids and addresses; otherwise trace the sender".
    296 ControlQueueFull "control-queue-full": "A control message was dropped because its queue was full."; "Check the control budget and that the peer is reachable".
    297 ControlSilent "control-silent": "A peer stopped echoing frames on a control connection; the connection was replaced."; "Check the network between the two balancers if it recurs".
    298 ControlClosed "control-closed": "The control transport is closed."; "Nothing".
    299 MemberReplayed "member-replayed": "A heartbeat is a duplicate or from an older incarnation."; "Nothing unless the rate rises".
    300 MemberFrozen "member-frozen": "This balancer was suspended and rejoins with a new incarnation."; "Check for pauses or overload of its VM".
    301 MemberOutdated "member-outdated": "Peers know a later incarnation of this balancer than its own, so it takes a new one."; "Check the VM's clock; look for two balancers with the same id".
    302 MemberUnheard "member-unheard": "No heartbeat from a member arrived within the time limit."; "Check the member and the network path to it".
    303 MemberDead "member-dead": "A member is dead: no reachable balancer receives its heartbeats."; "Nothing if it was replaced".
    304 MemberLimit "member-limit": "A balancer was refused membership because the group has its maximum size."; "Use fewer balancers for the address".
}
