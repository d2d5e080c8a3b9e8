//! The list of codes. Ranges: 0-9 general, 10-29 settings and configuration, 30-49 platform,
//! 50-59 process, 60-79 operators' command line; 200-229 packets and encapsulation, 230-259 flow
//! resolution, 260-289 load, 290-319 control traffic between balancers.

use crate::Entry;

macro_rules! codes {
    ($($number:literal $name:ident $label:literal: $meaning:literal; $action:literal.)*) => {
        /// A numbered result.
        #[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
        #[repr(u16)]
        pub enum Code {
            $(#[doc = $meaning] $name = $number,)*
        }

        /// Every code, by number.
        pub const TABLE: &[Entry] = &[
            $(Entry { code: Code::$name, meaning: $meaning, action: $action },)*
        ];

        impl Code {
            /// The name used in logs, metrics and the table.
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
    0 Success "success": "The command did what it was asked."; "Nothing to do".
    1 Failure "failure": "A failure that has no code of its own; the log line says which."; "Read the log line".
    2 Usage "usage": "The command line can't be understood."; "See --help".
    10 SettingsUnreadable "settings-unreadable": "The settings file can't be read."; "Check its path and permissions".
    11 SettingsInvalid "settings-invalid": "The settings hold at least one problem; each is listed."; "Mend each listed key".
    50 SocketFailed "socket-failed": "A socket can't be opened or bound."; "Check that the address is this machine's and the port is free".
    51 ServiceDied "service-died": "A service inside the process ended unexpectedly."; "Restart the process; report the log line before it".
    52 Forced "forced": "A second signal ended the process before its shutdown was complete."; "Expect flows handed over late to be lost".
    200 PacketTruncated "packet-truncated": "A packet ends before its headers or stated length do."; "Nothing, unless its rate rises".
    201 PacketMalformed "packet-malformed": "A packet's header contradicts itself."; "Nothing, unless its rate rises".
    202 PacketFragment "packet-fragment": "A fragment carries no ports to find its flow by."; "Check the path MTU towards callers".
    203 PacketUnsupported "packet-unsupported": "A transport protocol that is not carried."; "Nothing, unless its rate rises".
    204 PacketLooping "packet-looping": "A packet contains the encapsulation itself."; "Look for a route that leads back to the balancers".
    205 EncapTruncated "encap-truncated": "An encapsulation header is cut short."; "Check the fabric's encapsulation".
    206 EncapUnknown "encap-unknown": "An encapsulation version or field that is not used."; "Check the fabric's encapsulation".
    207 RedirectForged "redirect-forged": "A redirected packet carries no valid authenticator."; "Check that all balancers hold the same key; otherwise look for the sender".
    208 RedirectHops "redirect-hops": "A packet has passed more balancers than any legal path has."; "Compare the balancers' membership in acaciactl status".
    209 ServiceUnknown "service-unknown": "A packet for an address and port that no service has."; "Check the fabric's routes against the configuration".
    260 LoadShareUsed "load-share-used": "A new flow was refused: its class is beyond its share and nothing is left to borrow."; "Compare the class's demand with its share; add backend servers if paying callers are refused".
    261 LoadConnectionsUsed "load-connections-used": "A new flow was refused: its class's part of the connections is in use."; "Raise the class's share, or add backend servers".
    262 LoadNoServer "load-no-server": "A new flow was refused: its service has no backend server."; "Add a backend server to the service".
    290 ControlTruncated "control-truncated": "A control frame is cut short."; "Look for the sender".
    291 ControlOversized "control-oversized": "A control frame is longer than any legal one."; "Look for the sender".
    292 ControlForged "control-forged": "A control frame carries no valid authenticator."; "Check that all balancers hold the same key; otherwise look for the sender".
    293 ControlUndecodable "control-undecodable": "An authentic control frame can't be decoded."; "Check for balancers of different versions".
    294 ControlReplayed "control-replayed": "A control frame that was received before, or an older one."; "Nothing, unless its rate rises".
}
