#![allow(clippy::redundant_closure_call)]
#![allow(clippy::needless_lifetimes)]
#![allow(clippy::match_single_binding)]
#![allow(clippy::clone_on_copy)]

#[doc = "What a deployment serves, to whom and on which upstreams."]
#[derive(:: serde :: Deserialize, :: serde :: Serialize, Clone, Debug)]
#[serde(deny_unknown_fields)]
pub struct Bundle {
    #[doc = "Version that this bundle replaces; 0 for the first bundle."]
    pub base: u64,
    pub classes: ::std::vec::Vec<Class>,
    #[doc = "Engines that may not take every role."]
    #[serde(default, skip_serializing_if = "::std::vec::Vec::is_empty")]
    pub engine_roles: ::std::vec::Vec<EngineRoles>,
    pub members: ::std::vec::Vec<Member>,
    pub models: ::std::vec::Vec<Model>,
    #[serde(default = "defaults::bundle_policy")]
    pub policy: PolicySettings,
    #[serde(default, skip_serializing_if = "::std::vec::Vec::is_empty")]
    pub services: ::std::vec::Vec<Service>,
    #[doc = "Version of this bundle; must be base + 1."]
    pub version: u64,
}
#[doc = "A request class."]
#[derive(:: serde :: Deserialize, :: serde :: Serialize, Clone, Debug)]
#[serde(deny_unknown_fields)]
pub struct Class {
    #[doc = "Default deadline for the complete answer, in ms."]
    pub deadline_ms: u64,
    #[doc = "Name that callers use."]
    pub name: ::std::string::String,
    #[doc = "Priority; 0 is the highest."]
    pub rank: u32,
}
#[doc = "Roles that an engine may take."]
#[derive(:: serde :: Deserialize, :: serde :: Serialize, Clone, Debug)]
#[serde(deny_unknown_fields)]
pub struct EngineRoles {
    #[doc = "Name of the engine in the instance list."]
    pub engine: ::std::string::String,
    pub roles: ::std::vec::Vec<Role>,
}
#[doc = "A member with its workspaces."]
#[derive(:: serde :: Deserialize, :: serde :: Serialize, Clone, Debug)]
#[serde(deny_unknown_fields)]
pub struct Member {
    #[doc = "Name of the member."]
    pub name: ::std::string::String,
    #[doc = "Weight of the member when members compete for capacity."]
    pub share: u32,
    pub workspaces: ::std::vec::Vec<Workspace>,
}
#[doc = "A model, the version in use and its adapters."]
#[derive(:: serde :: Deserialize, :: serde :: Serialize, Clone, Debug)]
#[serde(deny_unknown_fields)]
pub struct Model {
    #[doc = "Adapters loaded with the weights."]
    #[serde(default, skip_serializing_if = "::std::vec::Vec::is_empty")]
    pub adapters: ::std::vec::Vec<::std::string::String>,
    #[doc = "Name that callers use."]
    pub name: ::std::string::String,
    #[doc = "Version of the weights."]
    pub version: ::std::string::String,
}
#[doc = "Preferences of the deployment for placement and roles."]
#[derive(:: serde :: Deserialize, :: serde :: Serialize, Clone, Debug)]
#[serde(deny_unknown_fields)]
pub struct PolicySettings {
    #[doc = "Cost of a role change: at 0 any gain in goodput justifies one, at 1 almost none does."]
    #[serde(default = "defaults::policy_settings_role_change_weight")]
    pub role_change_weight: f64,
}
impl ::std::default::Default for PolicySettings {
    fn default() -> Self {
        Self {
            role_change_weight: defaults::policy_settings_role_change_weight(),
        }
    }
}
#[doc = "Stages that an engine serves: prefill, decode or both (mixed)."]
#[derive(
    :: serde :: Deserialize,
    :: serde :: Serialize,
    Clone,
    Copy,
    Debug,
    Eq,
    Hash,
    Ord,
    PartialEq,
    PartialOrd,
)]
pub enum Role {
    #[serde(rename = "mixed")]
    Mixed,
    #[serde(rename = "prefill")]
    Prefill,
    #[serde(rename = "decode")]
    Decode,
}
impl ::std::fmt::Display for Role {
    fn fmt(&self, f: &mut ::std::fmt::Formatter<'_>) -> ::std::fmt::Result {
        match *self {
            Self::Mixed => f.write_str("mixed"),
            Self::Prefill => f.write_str("prefill"),
            Self::Decode => f.write_str("decode"),
        }
    }
}
impl ::std::str::FromStr for Role {
    type Err = self::error::ConversionError;
    fn from_str(value: &str) -> ::std::result::Result<Self, self::error::ConversionError> {
        match value {
            "mixed" => Ok(Self::Mixed),
            "prefill" => Ok(Self::Prefill),
            "decode" => Ok(Self::Decode),
            _ => Err("invalid value".into()),
        }
    }
}
impl ::std::convert::TryFrom<&str> for Role {
    type Error = self::error::ConversionError;
    fn try_from(value: &str) -> ::std::result::Result<Self, self::error::ConversionError> {
        value.parse()
    }
}
impl ::std::convert::TryFrom<::std::string::String> for Role {
    type Error = self::error::ConversionError;
    fn try_from(
        value: ::std::string::String,
    ) -> ::std::result::Result<Self, self::error::ConversionError> {
        value.parse()
    }
}
#[doc = "A plain service."]
#[derive(:: serde :: Deserialize, :: serde :: Serialize, Clone, Debug)]
#[serde(deny_unknown_fields)]
pub struct Service {
    #[doc = "Default deadline for the complete answer, in ms."]
    #[serde(default = "defaults::default_u64::<u64, 2000>")]
    pub deadline_ms: u64,
    #[doc = "Name of the service in the instance list and in the path."]
    pub name: ::std::string::String,
    #[doc = "Paths whose calls must run at most once."]
    #[serde(default, skip_serializing_if = "::std::vec::Vec::is_empty")]
    pub once_paths: ::std::vec::Vec<::std::string::String>,
}
#[doc = "A workspace of a member."]
#[derive(:: serde :: Deserialize, :: serde :: Serialize, Clone, Debug)]
#[serde(deny_unknown_fields)]
pub struct Workspace {
    #[doc = "Class of requests that do not name one; if empty, the class with the highest rank number."]
    #[serde(default)]
    pub class: ::std::string::String,
    #[doc = "Maximum number of the workspace's requests in flight at one instance."]
    #[serde(default = "defaults::default_u64::<u32, 256>")]
    pub in_flight: u32,
    #[doc = "Hexadecimal SHA-256 of the workspace's API key."]
    pub key_sha256: ::std::string::String,
    #[doc = "Name of the workspace."]
    pub name: ::std::string::String,
}
#[doc = " Generation of default values for serde."]
pub mod defaults {
    pub(super) fn default_i64<T, const V: i64>() -> T
    where
        T: ::std::convert::TryFrom<i64>,
        <T as ::std::convert::TryFrom<i64>>::Error: ::std::fmt::Debug,
    {
        T::try_from(V).unwrap()
    }
    pub(super) fn default_u64<T, const V: u64>() -> T
    where
        T: ::std::convert::TryFrom<u64>,
        <T as ::std::convert::TryFrom<u64>>::Error: ::std::fmt::Debug,
    {
        T::try_from(V).unwrap()
    }
    pub(super) fn bundle_policy() -> super::PolicySettings {
        super::PolicySettings {
            role_change_weight: 0.3_f64,
        }
    }
    pub(super) fn policy_settings_role_change_weight() -> f64 {
        0.3_f64
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
