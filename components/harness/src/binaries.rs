use std::path::{Path, PathBuf};

/// Paths of the programs that a fleet runs.
#[derive(Clone, Debug)]
pub struct Binaries {
    /// The data plane of an entry VM.
    pub entryd: PathBuf,
    /// The control plane's agent on an entry VM.
    pub controld: PathBuf,
    /// The stand-ins for the platform and for upstreams.
    pub standin: PathBuf,
}

impl Binaries {
    /// The programs in `directory`, under the names that cargo gives them.
    pub fn in_directory(directory: &Path) -> Binaries {
        Binaries {
            entryd: directory.join("entryd"),
            controld: directory.join("controld"),
            standin: directory.join("standin"),
        }
    }
}
