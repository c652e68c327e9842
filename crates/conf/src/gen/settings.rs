#![allow(clippy::redundant_closure_call)]
#![allow(clippy::needless_lifetimes)]
#![allow(clippy::match_single_binding)]
#![allow(clippy::clone_on_copy)]

#[doc = "Timing of the leases for groups of engines."]
#[derive(:: serde :: Deserialize, :: serde :: Serialize, Clone, Debug)]
#[serde(deny_unknown_fields)]
pub struct LeaseSettings {
    #[doc = "Time that a successor waits after the TTL before it may claim the lease, in ms."]
    #[serde(default = "defaults::default_u64::<u64, 1000>")]
    pub margin_ms: u64,
    #[doc = "Validity of a claim or renewal, in ms."]
    #[serde(default = "defaults::default_u64::<u64, 5000>")]
    pub ttl_ms: u64,
}
impl ::std::default::Default for LeaseSettings {
    fn default() -> Self {
        Self {
            margin_ms: defaults::default_u64::<u64, 1000>(),
            ttl_ms: defaults::default_u64::<u64, 5000>(),
        }
    }
}
#[doc = "Limits on the resources that callers may use at an instance."]
#[derive(:: serde :: Deserialize, :: serde :: Serialize, Clone, Debug)]
#[serde(deny_unknown_fields)]
pub struct Limits {
    #[doc = "Maximum size of a request body, in bytes."]
    #[serde(default = "defaults::default_u64::<u64, 1048576>")]
    pub body_bytes: u64,
    #[doc = "Timeout for receiving a request body, in ms."]
    #[serde(default = "defaults::default_u64::<u64, 5000>")]
    pub body_timeout_ms: u64,
    #[doc = "Maximum number of open connections."]
    #[serde(default = "defaults::default_u64::<u64, 4096>")]
    pub connections: u64,
    #[doc = "Time for which a stopping instance still accepts requests from callers that already have its address, in ms."]
    #[serde(default = "defaults::default_u64::<u64, 2000>")]
    pub stop_grace_ms: u64,
    #[doc = "Maximum number of tokens in one answer."]
    #[serde(default = "defaults::default_u64::<u64, 8192>")]
    pub stream_tokens: u64,
}
impl ::std::default::Default for Limits {
    fn default() -> Self {
        Self {
            body_bytes: defaults::default_u64::<u64, 1048576>(),
            body_timeout_ms: defaults::default_u64::<u64, 5000>(),
            connections: defaults::default_u64::<u64, 4096>(),
            stop_grace_ms: defaults::default_u64::<u64, 2000>(),
            stream_tokens: defaults::default_u64::<u64, 8192>(),
        }
    }
}
#[doc = "Timing of the heartbeats between instances."]
#[derive(:: serde :: Deserialize, :: serde :: Serialize, Clone, Debug)]
#[serde(deny_unknown_fields)]
pub struct Membership {
    #[doc = "Interval between heartbeats, in ms."]
    #[serde(default = "defaults::default_u64::<u64, 250>")]
    pub beat_ms: u64,
    #[doc = "Number of instances that each heartbeat is sent to."]
    #[serde(default = "defaults::default_u64::<u64, 3>")]
    pub fan_out: u64,
    #[doc = "Time without a heartbeat after which an instance is no longer offered to callers, in ms."]
    #[serde(default = "defaults::default_u64::<u64, 1500>")]
    pub suspect_ms: u64,
}
impl ::std::default::Default for Membership {
    fn default() -> Self {
        Self {
            beat_ms: defaults::default_u64::<u64, 250>(),
            fan_out: defaults::default_u64::<u64, 3>(),
            suspect_ms: defaults::default_u64::<u64, 1500>(),
        }
    }
}
#[doc = "An operator and the SHA-256 of the operator's key."]
#[derive(:: serde :: Deserialize, :: serde :: Serialize, Clone, Debug)]
#[serde(deny_unknown_fields)]
pub struct OperatorKey {
    #[doc = "Name of the operator in the audit trail."]
    pub operator: ::std::string::String,
    #[doc = "Hexadecimal SHA-256 of the key."]
    pub sha256: ::std::string::String,
}
#[doc = "Addresses of the platform's services."]
#[derive(:: serde :: Deserialize, :: serde :: Serialize, Clone, Debug)]
#[serde(deny_unknown_fields)]
pub struct Platform {
    #[doc = "IP and port of the instance list."]
    pub instances: ::std::string::String,
    #[doc = "IP and port of the log service."]
    pub log: ::std::string::String,
    #[doc = "Interval between reads of the log, in ms."]
    #[serde(default = "defaults::default_u64::<u64, 200>")]
    pub poll_ms: u64,
    #[doc = "Number of records after which a snapshot is written; must be far below the number that the log retains."]
    #[serde(default = "defaults::default_u64::<u64, 4096>")]
    pub snapshot_records: u64,
}
#[doc = "Settings of one entry instance, read once at startup."]
#[derive(:: serde :: Deserialize, :: serde :: Serialize, Clone, Debug)]
#[serde(deny_unknown_fields)]
pub struct Settings {
    #[doc = "IP and port on which callers and operators connect."]
    #[serde(default = "defaults::settings_caller_address")]
    pub caller_address: ::std::string::String,
    #[doc = "Name of this instance, unique in the deployment."]
    pub instance: ::std::string::String,
    #[serde(default = "defaults::settings_lease")]
    pub lease: LeaseSettings,
    #[serde(default = "defaults::settings_limits")]
    pub limits: Limits,
    #[serde(default = "defaults::settings_membership")]
    pub membership: Membership,
    #[doc = "Operators that may use the administration API."]
    #[serde(default, skip_serializing_if = "::std::vec::Vec::is_empty")]
    pub operator_key_sha256: ::std::vec::Vec<OperatorKey>,
    #[doc = "IP and port on which other instances connect."]
    #[serde(default = "defaults::settings_peer_address")]
    pub peer_address: ::std::string::String,
    pub platform: Platform,
    #[doc = "Region of the availability zone."]
    pub region: ::std::string::String,
    #[doc = "Availability zone this instance runs in."]
    pub zone: ::std::string::String,
}
#[doc = " Generation of default values for serde."]
pub mod defaults {
    pub(super) fn default_u64<T, const V: u64>() -> T
    where
        T: ::std::convert::TryFrom<u64>,
        <T as ::std::convert::TryFrom<u64>>::Error: ::std::fmt::Debug,
    {
        T::try_from(V).unwrap()
    }
    pub(super) fn settings_caller_address() -> ::std::string::String {
        "127.0.0.1:0".to_string()
    }
    pub(super) fn settings_lease() -> super::LeaseSettings {
        super::LeaseSettings {
            margin_ms: 1000_u64,
            ttl_ms: 5000_u64,
        }
    }
    pub(super) fn settings_limits() -> super::Limits {
        super::Limits {
            body_bytes: 1048576_u64,
            body_timeout_ms: 5000_u64,
            connections: 4096_u64,
            stop_grace_ms: 2000_u64,
            stream_tokens: 8192_u64,
        }
    }
    pub(super) fn settings_membership() -> super::Membership {
        super::Membership {
            beat_ms: 250_u64,
            fan_out: 3_u64,
            suspect_ms: 1500_u64,
        }
    }
    pub(super) fn settings_peer_address() -> ::std::string::String {
        "127.0.0.1:0".to_string()
    }
}
#[doc = " Error types."]
pub mod error {
    #[doc = r" Error from a `TryFrom` or `FromStr` implementation."]
    pub struct ConversionError(::std::borrow::Cow<'static, str>);
    impl ::std::error::Error for ConversionError {}
    impl ::std::fmt::Display for ConversionError {
        fn fmt(&self, f: &mut ::std::fmt::Formatter<'_>) -> Result<(), ::std::fmt::Error> {
            ::std::fmt::Display::fmt(&self.0, f)
        }
    }
    impl ::std::fmt::Debug for ConversionError {
        fn fmt(&self, f: &mut ::std::fmt::Formatter<'_>) -> Result<(), ::std::fmt::Error> {
            ::std::fmt::Debug::fmt(&self.0, f)
        }
    }
    impl From<&'static str> for ConversionError {
        fn from(value: &'static str) -> Self {
            Self(value.into())
        }
    }
    impl From<String> for ConversionError {
        fn from(value: String) -> Self {
            Self(value.into())
        }
    }
}
