//! Grammar of the command line.
#![allow(
    missing_docs,
    reason = "the help texts of the grammar are the documentation"
)]

xflags::xflags! {
    /// Manages the bundles and engines of a deployment through any of its instances.
    ///
    /// Examples:
    ///   chicoryctl bundle check bundle.json
    ///   chicoryctl --address 10.0.0.4:8080 bundle publish bundle.json
    ///   chicoryctl bundle sign 4 && chicoryctl bundle roll 4
    ///   chicoryctl --json bundle status
    ///   chicoryctl engine drain grade-3
    ///
    /// Exit codes: 0 done, 1 refused, 2 invalid command line or file, 3 unreachable or outcome unknown.
    cmd chicoryctl {
        /// IP address and port of an instance; defaults to CHICORYRACK_ADDRESS.
        optional --address address: String
        /// File with the operator's key; the key itself defaults to CHICORYRACK_KEY.
        optional --key-file file: String
        /// Prints JSON.
        optional --json

        /// Manages bundles.
        cmd bundle {
            /// Validates a bundle and lists its invalid fields.
            cmd check { required file: String }
            /// Publishes a bundle.
            cmd publish { required file: String }
            /// Approves a published bundle.
            cmd sign { required version: u64 }
            /// Puts an approved bundle in force.
            cmd roll { required version: u64 }
            /// Withdraws a bundle that is not in force.
            cmd withdraw { required version: u64 }
            /// Shows the text of a bundle, or lists the bundles that are in force or newer.
            cmd show { optional version: u64 }
            /// Shows the bundle version in force at each instance and what each engine has loaded.
            cmd status { }
        }
        /// Manages engines.
        cmd engine {
            /// Stops sending new requests to an engine; those it has may finish.
            cmd drain { required engine: String }
            /// Ends the drain of an engine.
            cmd undrain { required engine: String }
            /// Lists the engines.
            cmd list { }
        }
        /// Shows the audit trail: who changed what, and when.
        cmd audit {
            /// Only entries before this log offset.
            optional --before offset: u64
        }
        /// Collects the log lines about one request from several instances, in order of time.
        cmd trace {
            /// ID of the request.
            required request: String
            /// Log files, each with the name of its instance in front if wanted, as in entry-1=FILE.
            repeated files: String
        }
        /// Lists workspaces and their limits.
        cmd workspaces {
            /// Only workspaces of this member.
            optional --member member: String
            /// Only workspaces after this name.
            optional --after workspace: String
        }
    }
}
