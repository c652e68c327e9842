//! The command line's grammar.
#![allow(
    missing_docs,
    reason = "the help texts of the grammar are the documentation"
)]

xflags::xflags! {
    /// Publishes, rolls and withdraws bundles and drains engines, at any instance.
    ///
    /// Examples:
    ///   chicoryctl bundle check bundle.json
    ///   chicoryctl --address 10.0.0.4:8080 bundle publish bundle.json
    ///   chicoryctl bundle sign 4 && chicoryctl bundle roll 4
    ///   chicoryctl --json bundle status
    ///   chicoryctl engine drain grade-3
    ///
    /// Exit codes: 0 done, 1 refused, 2 wrong command line, 3 unreachable or unknown.
    cmd chicoryctl {
        /// IP address and port of an instance; CHICORYRACK_ADDRESS otherwise.
        optional --address address: String
        /// File that holds the operator's key; CHICORYRACK_KEY holds the key otherwise.
        optional --key-file file: String
        /// Machine-readable output.
        optional --json

        /// Bundles.
        cmd bundle {
            /// Checks a bundle and shows each wrong field.
            cmd check { required file: String }
            /// Publishes a bundle.
            cmd publish { required file: String }
            /// Signs a published bundle off.
            cmd sign { required version: u64 }
            /// Puts a signed bundle in force.
            cmd roll { required version: u64 }
            /// Takes back a bundle that is not in force.
            cmd withdraw { required version: u64 }
            /// Shows a bundle's text, or lists the bundles that are in force or newer.
            cmd show { optional version: u64 }
            /// Shows the version in force at every instance, and what each engine has loaded.
            cmd status { }
        }
        /// Engines.
        cmd engine {
            /// Lets an engine end what it holds and gives it nothing new.
            cmd drain { required engine: String }
            /// Takes an engine back into use.
            cmd undrain { required engine: String }
            /// Lists the engines.
            cmd list { }
        }
        /// Shows who changed what, and when.
        cmd audit {
            /// Entries before this log offset.
            optional --before offset: u64
        }
        /// Gathers what the logs of instances say of one request, in the order of time.
        cmd trace {
            /// The request's id.
            required request: String
            /// Log files; a name may stand before each, as in entry-1=FILE.
            repeated files: String
        }
        /// Lists workspaces and their limits.
        cmd workspaces {
            /// Only this member's.
            optional --member member: String
            /// Only those after this name.
            optional --after workspace: String
        }
    }
}
